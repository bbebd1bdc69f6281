package demo

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/lavenderstand/lavenderstand/standin"
)

// VerifyRun compares the answers that clients received with the ledgers of the stand-ins. It
// prints the problems and, as the last line, the result. It returns an error unless the run
// passed.
func VerifyRun(dir string) error {
	var received standin.Received
	data, err := os.ReadFile(filepath.Join(dir, "received.json"))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, &received); err != nil {
		return err
	}
	entries, err := readLedgers(dir)
	if err != nil {
		return err
	}
	result := standin.Verify(received, entries)
	for _, problem := range result.Problems {
		fmt.Println(problem)
	}
	line, err := json.Marshal(result)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	if !result.Passed() {
		return errors.New("the run did not pass")
	}
	return nil
}

// readLedgers returns the entries of all ledgers of a run.
func readLedgers(dir string) ([]standin.JournalEntry, error) {
	files, err := filepath.Glob(filepath.Join(dir, "ledgers", "*.jsonl"))
	if err != nil {
		return nil, err
	}
	var all []standin.JournalEntry
	for _, file := range files {
		entries, err := standin.ReadJournal(file)
		if err != nil {
			return nil, err
		}
		all = append(all, entries...)
	}
	return all, nil
}
