package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/standin"
)

// completion is a completion request and the answer that the caller received.
type completion struct {
	model, prompt string
	maxTokens     int
	stream        bool
	onlyVersion   ledger.Version
	reply         reply
}

// longPrompts returns n prompts whose completions are cut at the limit, so that each
// has exactly the given number of tokens.
func longPrompts(label string, n, tokens int) []string {
	var prompts []string
	for i := 0; len(prompts) < n; i++ {
		prompt := fmt.Sprintf("%s %d", label, i)
		if _, limited := standin.CompletionLength(prompt, tokens); limited {
			prompts = append(prompts, prompt)
		}
	}
	return prompts
}

// sendCompletions sends n completion requests concurrently to the entry hosts in turn,
// every second one as a stream, and returns them with their answers.
func (d *deployment) sendCompletions(model, label string, n, tokens int, onlyVersion ledger.Version) []*completion {
	var all []*completion
	var wg sync.WaitGroup
	for i, prompt := range longPrompts(label, n, tokens) {
		c := &completion{model: model, prompt: prompt, maxTokens: tokens, stream: i%2 == 0, onlyVersion: onlyVersion}
		all = append(all, c)
		wg.Go(func() { c.reply = d.sendCompletion(i%len(d.plan.Entries), c) })
	}
	wg.Wait()
	return all
}

func (d *deployment) sendCompletion(entry int, c *completion) reply {
	body, _ := json.Marshal(map[string]any{
		"model": c.model, "prompt": c.prompt, "max_tokens": c.maxTokens, "stream": c.stream,
	})
	headers := []string{"X-Class", "live"}
	if c.onlyVersion != 0 {
		headers = append(headers, "X-Only-Version", fmt.Sprint(c.onlyVersion))
	}
	return d.call(entry, "app", http.MethodPost, "/v1/completions", string(body), headers...)
}

// parseReply returns the text and the version ranges of an answer, and whether the
// answer ended as a complete one does.
func (c *completion) parseReply() (text string, ranges []ledger.Range, complete bool) {
	parts := []string{c.reply.body}
	complete = c.reply.err == nil && c.reply.status == http.StatusOK
	if strings.HasPrefix(c.reply.header.Get("Content-Type"), "text/event-stream") {
		parts, complete = nil, false
		reader := engine.NewEventReader(strings.NewReader(c.reply.body), engine.MaxEventBytes)
		for data, err := reader.Next(); err == nil && !complete; data, err = reader.Next() {
			complete = string(data) == "[DONE]"
			parts = append(parts, string(data))
		}
	}
	for _, part := range parts {
		var answer struct {
			Choices  []struct{ Text string }
			Lavender struct{ Ranges []ledger.Range }
		}
		if json.Unmarshal([]byte(part), &answer) == nil {
			for _, choice := range answer.Choices {
				text += choice.Text
			}
			ranges = append(ranges, answer.Lavender.Ranges...)
		}
	}
	return text, ranges, complete
}

// verifyCompletions requires each answer to be either complete, with version labels
// that match the ledgers of the engines, or a prefix that does not end as a complete
// answer does. It returns the number of complete answers.
func (d *deployment) verifyCompletions(all []*completion) (complete int) {
	d.t.Helper()
	runs := standin.Runs(d.engineLedgers())
	for _, c := range all {
		want := standin.CompletionText(c.prompt, c.maxTokens)
		text, ranges, ok := c.parseReply()
		if !ok {
			require.True(d.t, strings.HasPrefix(want, text), "prompt %s: incomplete answer %q is not a prefix of %q", c.prompt, text, want)
			continue
		}
		complete++
		require.Equal(d.t, want, text, "text of a complete answer, stream %v", c.stream)
		tokens, _ := standin.CompletionLength(c.prompt, c.maxTokens)
		require.NoError(d.t, standin.CheckLabels(runs[standin.PromptID(c.prompt)], ranges, tokens))
		if c.onlyVersion != 0 {
			require.Equal(d.t, []ledger.Range{{From: 0, To: tokens, Version: c.onlyVersion}}, ranges)
		}
	}
	return complete
}

// engineLedgers returns the entries of the ledgers of all engines.
func (d *deployment) engineLedgers() []standin.JournalEntry {
	d.t.Helper()
	files, err := filepath.Glob(filepath.Join(d.dir, "ledgers", "engine-*.jsonl"))
	require.NoError(d.t, err)
	var all []standin.JournalEntry
	for _, file := range files {
		entries, err := standin.ReadJournal(file)
		require.NoError(d.t, err)
		all = append(all, entries...)
	}
	return all
}

// startedCompletions returns the number of completions that an engine has started.
func (d *deployment) startedCompletions(engine string) (n int) {
	d.t.Helper()
	entries, err := standin.ReadJournal(filepath.Join(d.dir, "ledgers", engine+".jsonl"))
	require.NoError(d.t, err)
	for _, e := range entries {
		if e.Kind == standin.EntryStart {
			n++
		}
	}
	return n
}

// requireComplete fails at the first answer that is not complete.
func requireComplete(t *testing.T, all []*completion, label string) {
	t.Helper()
	for _, c := range all {
		_, _, ok := c.parseReply()
		require.True(t, ok, "%s: incomplete answer, stream %v: status %d, error %v, body %s", label, c.stream, c.reply.status, c.reply.err, c.reply.body)
	}
}
