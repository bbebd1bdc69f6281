package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/lavenderstand/lavenderstand/engine"
)

// chunkWriter writes the chunks of one completion as server-sent events and
// applies the stream faults to them.
type chunkWriter struct {
	engine *Engine
	w      http.ResponseWriter
	faults EngineFaults
	sent   int           // chunks written
	held   *engine.Chunk // held back by the reorder fault until its successor is written
}

// stream writes the chunks of a completion until the completion or ctx ends. It
// cancels the completion if ctx ends first.
func (c *chunkWriter) stream(ctx context.Context, s *sequence) {
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.WriteHeader(http.StatusOK)
	flush(c.w)
	for {
		select {
		case <-ctx.Done():
			c.engine.cancel(s.request.RequestID)
			return
		case chunk, ok := <-s.chunks:
			if !ok {
				c.writeHeld()
				return
			}
			c.writeWithFaults(ctx, chunk)
		}
	}
}

// writeWithFaults writes a chunk and applies the truncate, reorder and duplicate
// faults.
func (c *chunkWriter) writeWithFaults(ctx context.Context, chunk engine.Chunk) {
	if c.faults.Truncate && chunk.Done {
		return
	}
	if c.faults.Reorder && c.held == nil {
		c.held = &chunk
		return
	}
	c.write(ctx, chunk)
	c.writeHeld()
	if c.faults.DuplicateChunks {
		c.write(ctx, chunk)
	}
}

// writeHeld writes the chunk that was held back, if there is one.
func (c *chunkWriter) writeHeld() {
	if c.held != nil {
		held := *c.held
		c.held = nil
		c.write(context.Background(), held)
	}
}

func (c *chunkWriter) write(ctx context.Context, chunk engine.Chunk) {
	if c.faults.CutAfterChunks > 0 && c.sent >= c.faults.CutAfterChunks {
		panic(http.ErrAbortHandler) // closes the connection
	}
	pause(ctx, c.faults.delay())
	data, _ := json.Marshal(c.alter(chunk))
	_, _ = fmt.Fprintf(c.w, "data: %s\n\n", data)
	flush(c.w)
	c.sent++
	c.engine.countChunk(ctx)
}

// alter applies the faults that change the request ID or the version of a chunk.
func (c *chunkWriter) alter(chunk engine.Chunk) engine.Chunk {
	if c.faults.ForeignRequestID != "" {
		chunk.RequestID = c.faults.ForeignRequestID
	}
	if c.faults.WrongVersion != 0 {
		chunk.Version = c.faults.WrongVersion
	}
	if c.faults.OmitVersion {
		chunk.Version = 0
	}
	return chunk
}

// countChunk counts a chunk for the crash fault and exits the process when the
// count is reached.
func (e *Engine) countChunk(ctx context.Context) {
	e.do(ctx, func(t *engineTables) {
		if t.faults.CrashAfterChunks > 0 {
			if t.faults.CrashAfterChunks--; t.faults.CrashAfterChunks == 0 {
				e.options.Exit(1)
			}
		}
	})
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// pause waits until d has passed or ctx ends.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
