package engine

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// TestEventReader guards against events that are lost, joined, or decoded from lines
// that are not data fields.
func TestEventReader(t *testing.T) {
	r := NewEventReader(strings.NewReader(": note\r\ndata: a\r\n\r\nevent: x\ndata:b\ndata: c\n\n\ndata: d\n"), 64)
	for _, want := range []string{"a", "b\nc"} {
		data, err := r.Next()
		require.NoError(t, err)
		require.Equal(t, want, string(data))
	}
	_, err := r.Next()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF, "an event without the blank line at its end is incomplete")
}

// TestReadChunksReasons guards against a malformed or truncated answer that is taken
// for complete, and against a wrong reason in its error.
func TestReadChunksReasons(t *testing.T) {
	cases := map[string]struct {
		stream string
		reason verdict.Reason
	}{
		"not json":   {"data: {\n\n", verdict.ReasonBadAnswer},
		"too large":  {"data: " + strings.Repeat("x", MaxEventBytes), verdict.ReasonBadAnswer},
		"negative":   {`data: {"request_id":"r","offset":-1}` + "\n\n", verdict.ReasonBadAnswer},
		"foreign":    {`data: {"request_id":"q","done":true}` + "\n\n", verdict.ReasonForeignAnswer},
		"no end":     {`data: {"request_id":"r"}` + "\n\n", verdict.ReasonTruncatedAnswer},
		"half event": {`data: {"request_id":"r","done":true}` + "\n", verdict.ReasonTruncatedAnswer},
		"empty":      {"", verdict.ReasonTruncatedAnswer},
	}
	for name, c := range cases {
		err := readChunks(strings.NewReader(c.stream), "r", func(Chunk) error { return nil })
		require.Error(t, err, name)
		require.Equal(t, c.reason, verdict.ReasonOf(err), name)
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err), name)
	}
}

// FuzzReadChunks guards against input that causes a panic, and against chunks of another
// request that are passed on.
func FuzzReadChunks(f *testing.F) {
	f.Add("data: {\"request_id\":\"r\",\"tokens\":[1],\"done\":true}\n\n")
	f.Add("data\n\n:\r\n\r\ndata: {}\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		done := false
		err := readChunks(strings.NewReader(stream), "r", func(c Chunk) error {
			require.Equal(t, "r", c.RequestID)
			require.GreaterOrEqual(t, c.Offset, 0)
			done = done || c.Done
			return nil
		})
		if err == nil {
			require.True(t, done)
		} else {
			require.False(t, errors.Is(err, io.EOF) && done)
		}
	})
}

// endless is a reader of the same bytes without end.
type endless string

func (e endless) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], e)
	}
	return n, nil
}

// TestEventReaderIsBounded guards against a reader that never returns because the server
// sends bytes without end that form no event.
func TestEventReaderIsBounded(t *testing.T) {
	for _, text := range []string{"x", "\n", "\r\n", ": comment\n", ": comment\n\n", "data: x\n"} {
		_, err := NewEventReader(endless(text), 1000).Next()
		require.ErrorIs(t, err, ErrEventTooLarge, "%q", text)
	}
}
