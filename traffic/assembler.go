package traffic

import (
	"slices"
	"strings"

	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// maxPendingChunks bounds the number of chunks that are buffered while an earlier
// chunk is missing.
const maxPendingChunks = 64

// Assembler puts the chunks of one completion in order. The chunks come from one
// engine stream or, after an interruption, from several. The Assembler keeps the
// accepted prefix, from which the next stream resumes.
type Assembler struct {
	maxTokens   int
	onlyVersion ledger.Version // 0 accepts any version

	tokens       []int
	text         strings.Builder
	ranges       []ledger.Range
	finishReason string
	done         bool

	// The fields below belong to the current stream. Chunks are keyed by their
	// token offset.
	requestID string
	bootID    string
	accepted  map[int]engine.Chunk
	pending   map[int]engine.Chunk
}

// NewAssembler returns an assembler for at most maxTokens tokens. If onlyVersion is
// not 0, all tokens must be of that weight version.
func NewAssembler(maxTokens int, onlyVersion ledger.Version) *Assembler {
	return &Assembler{maxTokens: maxTokens, onlyVersion: onlyVersion}
}

// Begin starts a stream that continues the accepted prefix. The chunks of the
// stream must carry requestID.
func (a *Assembler) Begin(requestID string) {
	a.requestID, a.bootID = requestID, ""
	a.accepted, a.pending = make(map[int]engine.Chunk), make(map[int]engine.Chunk)
}

// Reset discards the accepted prefix and the current stream.
func (a *Assembler) Reset() { *a = Assembler{maxTokens: a.maxTokens, onlyVersion: a.onlyVersion} }

// Tokens returns the accepted tokens.
func (a *Assembler) Tokens() []int { return a.tokens }

// Text returns the accepted text.
func (a *Assembler) Text() string { return a.text.String() }

// Ranges returns the weight versions of the accepted tokens.
func (a *Assembler) Ranges() []ledger.Range { return slices.Clone(a.ranges) }

// FinishReason returns the finish reason stated in the final chunk.
func (a *Assembler) FinishReason() string { return a.finishReason }

// Add takes a chunk of the current stream and returns the chunks that are now in
// order. After an error, no further chunk of the stream may be added.
func (a *Assembler) Add(c engine.Chunk) ([]engine.Chunk, error) {
	if err := a.check(c); err != nil {
		return nil, err
	}
	if duplicate, err := a.duplicate(c); duplicate || err != nil {
		return nil, err
	}
	if a.done {
		return nil, badChunk(verdict.ReasonBadAnswer, "chunk at token %d follows the final chunk", c.Offset)
	}
	if c.Offset < len(a.tokens) {
		return nil, badChunk(verdict.ReasonBadAnswer, "chunk at token %d overlaps %d accepted tokens", c.Offset, len(a.tokens))
	}
	if c.Offset > len(a.tokens) {
		if len(a.pending) >= maxPendingChunks {
			return nil, badChunk(verdict.ReasonTruncatedAnswer, "more than %d chunks are buffered while token %d is missing", maxPendingChunks, len(a.tokens))
		}
		a.pending[c.Offset] = c
		return nil, nil
	}
	return a.accept(c)
}

// End returns an error unless the stream was complete.
func (a *Assembler) End() error {
	switch {
	case !a.done && len(a.pending) > 0:
		return badChunk(verdict.ReasonTruncatedAnswer, "stream ended with a gap at token %d", len(a.tokens))
	case !a.done:
		return badChunk(verdict.ReasonTruncatedAnswer, "stream ended without its final chunk")
	case len(a.pending) > 0:
		return badChunk(verdict.ReasonBadAnswer, "chunks follow the final chunk")
	default:
		return nil
	}
}

func (a *Assembler) check(c engine.Chunk) error {
	switch {
	case c.RequestID != a.requestID:
		return badChunk(verdict.ReasonForeignAnswer, "chunk belongs to request %q", c.RequestID)
	case c.BootID == "" || a.bootID != "" && c.BootID != a.bootID:
		return badChunk(verdict.ReasonUnlabelled, "boot id is missing or has changed: was %q, now %q", a.bootID, c.BootID)
	case c.Version <= 0 && len(c.Tokens) > 0:
		return badChunk(verdict.ReasonUnlabelled, "chunk at token %d has no weight version", c.Offset)
	case a.onlyVersion != 0 && len(c.Tokens) > 0 && c.Version != a.onlyVersion:
		return badChunk(verdict.ReasonVersionChanged, "chunk at token %d has weight version %d, expected %d", c.Offset, c.Version, a.onlyVersion)
	case c.Offset < 0 || c.Offset+len(c.Tokens) > a.maxTokens:
		return badChunk(verdict.ReasonBadAnswer, "chunk at token %d exceeds the limit of %d tokens", c.Offset, a.maxTokens)
	case len(c.Tokens) == 0 && (!c.Done || c.Text != ""):
		return badChunk(verdict.ReasonBadAnswer, "chunk at token %d has no tokens, but it has text or is not final", c.Offset)
	}
	a.bootID = c.BootID
	return nil
}

// duplicate reports whether c is an exact copy of an earlier chunk. Different content
// at the same offset is an error. No chunk may share the offset of a final chunk
// without tokens.
func (a *Assembler) duplicate(c engine.Chunk) (bool, error) {
	earlier, ok := a.accepted[c.Offset]
	if !ok {
		earlier, ok = a.pending[c.Offset]
	}
	if !ok {
		return false, nil
	}
	if earlier.Text != c.Text || earlier.Version != c.Version || earlier.Done != c.Done ||
		earlier.FinishReason != c.FinishReason || !slices.Equal(earlier.Tokens, c.Tokens) {
		return false, badChunk(verdict.ReasonBadAnswer, "two different chunks start at token %d", c.Offset)
	}
	return true, nil
}

func (a *Assembler) accept(c engine.Chunk) ([]engine.Chunk, error) {
	var ready []engine.Chunk
	for {
		delete(a.pending, c.Offset)
		a.accepted[c.Offset] = c
		a.tokens = append(a.tokens, c.Tokens...)
		a.text.WriteString(c.Text)
		a.ranges = ledger.AppendRange(a.ranges, len(c.Tokens), c.Version)
		a.done, a.finishReason = c.Done, c.FinishReason
		ready = append(ready, c)
		next, ok := a.pending[len(a.tokens)]
		if !ok || a.done {
			return ready, a.checkPending()
		}
		c = next
	}
}

// checkPending returns an error if a buffered chunk starts within the accepted tokens
// or follows the final chunk.
func (a *Assembler) checkPending() error {
	for offset := range a.pending {
		if offset < len(a.tokens) || a.done {
			return badChunk(verdict.ReasonBadAnswer, "chunk at token %d overlaps accepted tokens or follows the final chunk", offset)
		}
	}
	return nil
}

// badChunk returns an error with the verdict MayHaveRun, because the engine has worked
// on the request.
func badChunk(reason verdict.Reason, format string, args ...any) error {
	return verdict.New(verdict.MayHaveRun, reason, format, args...)
}
