package standin

import (
	"slices"
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/engine"
)

// engineSystems are the systems of an engine in the order in which each tick
// runs them.
var engineSystems = []func(e *Engine, now time.Duration, t *engineTables){
	activateAndLoad, expire, admit, decode, removeEnded, renewReport,
}

// accept adds a completion to the queue, or returns the reason for which it is
// refused.
func (e *Engine) accept(t *engineTables, r engine.GenerateRequest) (*sequence, string) {
	if reason := e.refuse(t, r); reason != "" {
		return nil, reason
	}
	t.arrivals++
	total, limited := CompletionLength(r.Prompt, r.MaxTokens)
	s := &sequence{
		runID: e.bootID + "/" + strconv.FormatUint(t.arrivals, 10), request: r, arrival: t.arrivals,
		totalTokens: total, lengthLimited: limited, produced: len(r.PrefixTokens),
		chunks: make(chan engine.Chunk, total+1),
	}
	if r.DeadlineMS > 0 {
		s.deadline = time.Since(e.start) + time.Duration(r.DeadlineMS)*time.Millisecond
	}
	e.options.Journal.Add(JournalEntry{
		Kind: EntryStart, Run: s.runID, RequestID: r.RequestID, Prompt: PromptID(r.Prompt), From: s.produced,
	})
	t.sequences = append(t.sequences, s)
	return s, ""
}

// refuse returns the reason for which a completion is refused, or "".
func (e *Engine) refuse(t *engineTables, r engine.GenerateRequest) string {
	switch {
	case t.faults.takeRefusal():
		return "fault"
	case t.faults.Leaving:
		return engine.ReasonLeaving
	case r.Model != e.options.Model:
		return "unknown_model"
	case t.active == 0:
		return "not_loaded"
	case r.OnlyVersion != 0 && r.OnlyVersion != t.active:
		return "version_mismatch"
	case len(t.sequences) >= e.options.Slots+e.options.QueueLimit:
		return "queue_full"
	default:
		return ""
	}
}

// expire ends completions whose deadline has passed.
func expire(e *Engine, now time.Duration, t *engineTables) {
	for _, s := range t.sequences {
		if s.deadline > 0 && now > s.deadline {
			e.end(s, false, "deadline")
		}
	}
}

// admit assigns free slots to the waiting completions in order of priority, then
// of arrival.
func admit(e *Engine, now time.Duration, t *engineTables) {
	free := e.options.Slots - t.running()
	if free <= 0 {
		return
	}
	slices.SortStableFunc(t.sequences, func(a, b *sequence) int {
		if a.request.Priority != b.request.Priority {
			return b.request.Priority - a.request.Priority
		}
		return int(a.arrival) - int(b.arrival)
	})
	for _, s := range t.sequences {
		if free == 0 {
			return
		}
		if !s.running && !s.ended {
			s.running = true
			s.readyAt = now + e.prefill(now, t, s.request.Prompt)
			free--
		}
	}
}

// prefill adds a prompt to the prefix cache and returns the time that its
// uncached part takes.
func (e *Engine) prefill(now time.Duration, t *engineTables, prompt string) time.Duration {
	hashes := engine.PrefixHashes(nil, prompt)
	hit := t.cache.use(hashes, now, func() bool { return t.random.Float64() < e.options.EventLossShare })
	fresh := len(prompt) - hit*engine.PrefixBlockBytes
	return time.Duration(float64(fresh) / e.options.PrefillBytesPerSecond * float64(time.Second))
}

// decode produces the tokens that are due for the time since the last tick.
func decode(e *Engine, now time.Duration, t *engineTables) {
	if t.faults.Hang {
		return
	}
	for _, s := range t.sequences {
		if !s.running || s.ended || now < s.readyAt {
			continue
		}
		if s.request.OnlyVersion != 0 && s.request.OnlyVersion != t.active {
			e.end(s, false, "version_changed")
			continue
		}
		since := now - max(t.lastTick, s.readyAt)
		s.credit += e.options.TokensPerSecond * t.faults.speed() * since.Seconds()
		e.produce(t, s)
	}
}

// produce emits chunks as long as the completion has credit for a whole chunk.
func (e *Engine) produce(t *engineTables, s *sequence) {
	for !s.ended {
		count := min(e.options.ChunkTokens, s.totalTokens-s.produced)
		if s.credit < float64(count) {
			return
		}
		s.credit -= float64(count)
		e.emit(t, s, count)
	}
}

// emit records the next tokens of a completion in the ledger and sends them.
func (e *Engine) emit(t *engineTables, s *sequence, count int) {
	chunk := engine.Chunk{
		RequestID: s.request.RequestID, BootID: e.bootID, Offset: s.produced,
		Tokens: make([]int, count), Version: t.active,
	}
	for i := range chunk.Tokens {
		chunk.Tokens[i] = Token(s.request.Prompt, s.produced+i)
	}
	chunk.Text = TextOf(chunk.Tokens)
	s.produced += count
	if chunk.Done = s.produced >= s.totalTokens; chunk.Done {
		chunk.FinishReason = "stop"
		if s.lengthLimited {
			chunk.FinishReason = "length"
		}
	}
	if count > 0 {
		e.options.Journal.Add(JournalEntry{Kind: EntryTokens, Run: s.runID, From: chunk.Offset, To: s.produced, Version: t.active})
	}
	s.chunks <- chunk
	if chunk.Done {
		e.end(s, true, "")
	}
}

func (e *Engine) end(s *sequence, completed bool, reason string) {
	if s.ended {
		return
	}
	s.ended = true
	e.options.Journal.Add(JournalEntry{Kind: EntryEnd, Run: s.runID, Completed: completed, Reason: reason})
	close(s.chunks)
}

func removeEnded(_ *Engine, _ time.Duration, t *engineTables) {
	t.sequences = slices.DeleteFunc(t.sequences, func(s *sequence) bool { return s.ended })
}

// renewReport replaces the report that GET /v1/state returns once it has reached
// MaxReportAge.
func renewReport(e *Engine, now time.Duration, t *engineTables) {
	if t.hasReport && (t.faults.FreezeReports || now-t.reportedAt < e.options.MaxReportAge) {
		return
	}
	t.hasReport, t.reportedAt = true, now
	running := t.running()
	t.report = engine.State{
		Name: e.options.Name, BootID: e.bootID, Model: e.options.Model,
		Active: t.active, Loaded: slices.Clone(t.loaded), Loading: t.loading, LoadFailures: t.loadFailures,
		Fence: t.fence, Running: running, Queued: len(t.sequences) - running, Slots: e.options.Slots,
		TokensPerSecond: e.options.TokensPerSecond * float64(e.options.Slots) * t.faults.speed(),
		Leaving:         t.faults.Leaving,
	}
}
