package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"sync"

	"github.com/lavenderstand/lavenderstand/ledger"
)

// Kinds of journal entries.
const (
	EntryStart  = "start"  // an engine accepted a completion
	EntryTokens = "tokens" // an engine produced tokens From to To
	EntryEnd    = "end"    // a completion ended, whether Completed or not
	EntryOrder  = "order"  // an engine accepted or rejected an order
	EntryRun    = "run"    // a plain or scoring service executed a request
)

// JournalEntry is one entry in the ledger of a fake. Verify relies on it.
type JournalEntry struct {
	Kind      string         `json:"kind"`
	Run       string         `json:"run,omitempty"` // unique per accepted completion
	RequestID string         `json:"request_id,omitempty"`
	Key       string         `json:"key,omitempty"`    // Idempotency-Key, or the group of a scoring request
	Route     string         `json:"route,omitempty"`  // method and path
	Prompt    string         `json:"prompt,omitempty"` // PromptID of the prompt
	From      int            `json:"from,omitempty"`   // index of the first token
	To        int            `json:"to,omitempty"`     // index after the last token
	Version   ledger.Version `json:"version,omitempty"`
	Completed bool           `json:"completed,omitempty"`
	OrderID   string         `json:"order_id,omitempty"`
	Fence     uint64         `json:"fence,omitempty"`
	Obeyed    bool           `json:"obeyed,omitempty"`
	Reason    string         `json:"reason,omitempty"`
}

// Journal is the ledger of a fake. If it has a file, each entry is written before
// the work becomes visible to clients, so that no entry is lost when the process
// is killed.
type Journal struct {
	mu      sync.Mutex
	file    *os.File
	entries []JournalEntry
}

// OpenJournal returns a journal that appends to a file, or one that keeps its
// entries only in memory if path is empty.
func OpenJournal(path string) (*Journal, error) {
	j := new(Journal)
	if path == "" {
		return j, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	// Terminate a line that a killed process may have left incomplete.
	if _, err := file.WriteString("\n"); err != nil {
		return nil, err
	}
	j.file = file
	return j, nil
}

// Add records an entry. It panics if the entry cannot be written, because an
// incomplete ledger would make the results of Verify wrong.
func (j *Journal) Add(e JournalEntry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries = append(j.entries, e)
	if j.file == nil {
		return
	}
	line, err := json.Marshal(e)
	if err == nil {
		_, err = j.file.Write(append(line, '\n'))
	}
	if err != nil {
		panic(fmt.Sprintf("write ledger: %v", err))
	}
}

// Entries returns a copy of all entries since the start of the process.
func (j *Journal) Entries() []JournalEntry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]JournalEntry{}, j.entries...)
}

// ReadJournal reads a journal file. It skips incomplete lines, which a killed
// process may have left.
func ReadJournal(path string) ([]JournalEntry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var entries []JournalEntry
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		var e JournalEntry
		if json.Unmarshal(lines.Bytes(), &e) == nil && e.Kind != "" {
			entries = append(entries, e)
		}
	}
	return entries, lines.Err()
}
