package traffic

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/verdict"
)

func newChunk(offset, count int, version ledger.Version) engine.Chunk {
	c := engine.Chunk{RequestID: "r", BootID: "b", Offset: offset, Version: version}
	for i := range count {
		c.Tokens = append(c.Tokens, offset+i)
		c.Text += fmt.Sprintf("%d ", offset+i)
	}
	return c
}

func finalChunk(offset, count int, version ledger.Version) engine.Chunk {
	c := newChunk(offset, count, version)
	c.Done, c.FinishReason = true, "stop"
	return c
}

// TestAssemblerRefusesBadStreams guards against an answer that contains chunks of
// another request, process or weight version, and against an answer with a gap, an
// overlap or no final chunk.
func TestAssemblerRefusesBadStreams(t *testing.T) {
	foreign, rebooted, unlabelled := newChunk(2, 1, 1), newChunk(2, 1, 1), newChunk(2, 1, 0)
	foreign.RequestID, rebooted.BootID = "other", "b2"
	changed := newChunk(0, 2, 1)
	changed.Text = "x"
	for name, test := range map[string]struct {
		chunks []engine.Chunk
		reason verdict.Reason
	}{
		"foreign":       {[]engine.Chunk{newChunk(0, 2, 1), foreign}, verdict.ReasonForeignAnswer},
		"rebooted":      {[]engine.Chunk{newChunk(0, 2, 1), rebooted}, verdict.ReasonUnlabelled},
		"unlabelled":    {[]engine.Chunk{newChunk(0, 2, 1), unlabelled}, verdict.ReasonUnlabelled},
		"version":       {[]engine.Chunk{newChunk(0, 2, 1), newChunk(2, 1, 2)}, verdict.ReasonVersionChanged},
		"no end":        {[]engine.Chunk{newChunk(0, 2, 1)}, verdict.ReasonTruncatedAnswer},
		"gap":           {[]engine.Chunk{newChunk(0, 2, 1), finalChunk(3, 1, 1)}, verdict.ReasonTruncatedAnswer},
		"overlap":       {[]engine.Chunk{newChunk(0, 2, 1), newChunk(1, 2, 1)}, verdict.ReasonBadAnswer},
		"late overlap":  {[]engine.Chunk{newChunk(1, 2, 1), newChunk(0, 2, 1)}, verdict.ReasonBadAnswer},
		"conflict":      {[]engine.Chunk{newChunk(0, 2, 1), changed}, verdict.ReasonBadAnswer},
		"after the end": {[]engine.Chunk{finalChunk(0, 2, 1), newChunk(2, 1, 1)}, verdict.ReasonBadAnswer},
		"too long":      {[]engine.Chunk{newChunk(0, 9, 1)}, verdict.ReasonBadAnswer},
	} {
		a := NewAssembler(8, 1)
		a.Begin("r")
		var err error
		for _, c := range test.chunks {
			if _, err = a.Add(c); err != nil {
				break
			}
		}
		if err == nil {
			err = a.End()
		}
		require.Equal(t, test.reason, verdict.ReasonOf(err), name)
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err), name)
	}
}

// TestAssemblerOrdersAnyDelivery guards against a gap, an overlap or a wrong version
// label in the answer. Chunks arrive reordered and repeated, streams end early, and
// the completion resumes on an engine with another weight version.
func TestAssemblerOrdersAnyDelivery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 60).Draw(t, "total")
		a := NewAssembler(total, 0)
		var emitted []int
		var labels []ledger.Version
		for stream := 1; ; stream++ {
			a.Begin("r")
			chunks := drawChunks(t, len(a.Tokens()), total, ledger.Version(stream))
			cut := len(chunks)
			if stream < 4 {
				cut = rapid.IntRange(0, len(chunks)).Draw(t, "cut")
			}
			for _, c := range rapid.Permutation(chunks).Draw(t, "order")[:cut] {
				for range rapid.IntRange(1, 2).Draw(t, "copies") {
					ready, err := a.Add(c)
					if err != nil {
						t.Fatalf("chunk %+v: %v", c, err)
					}
					for _, r := range ready {
						emitted = append(emitted, r.Tokens...)
						for range r.Tokens {
							labels = append(labels, r.Version)
						}
					}
				}
			}
			if a.End() == nil {
				break
			}
		}
		require.Len(t, emitted, total)
		require.Equal(t, emitted, a.Tokens())
		require.NoError(t, ledger.CheckRanges(a.Ranges(), total))
		for _, r := range a.Ranges() {
			for i := r.From; i < r.To; i++ {
				require.Equal(t, i, emitted[i])
				require.Equal(t, labels[i], r.Version)
			}
		}
	})
}

// drawChunks draws a stream of chunks that continues at token from.
func drawChunks(t *rapid.T, from, total int, v ledger.Version) []engine.Chunk {
	var chunks []engine.Chunk
	for from < total {
		count := rapid.IntRange(1, total-from).Draw(t, "count")
		chunks = append(chunks, newChunk(from, count, v))
		from += count
	}
	if len(chunks) == 0 || rapid.Bool().Draw(t, "separate end") {
		return append(chunks, finalChunk(total, 0, v))
	}
	last := &chunks[len(chunks)-1]
	last.Done = true
	return chunks
}
