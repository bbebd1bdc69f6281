package telemetry

import (
	"io"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxQueuedLines bounds the number of log lines in the queue while the reader of the output is
// slow. They take about 1 MB.
const maxQueuedLines = 4096

// AsyncWriter writes log lines in a separate goroutine. If its queue is full, it drops the
// line and counts it, so that logging never blocks a request.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    sync.WaitGroup
}

// NewAsyncWriter returns an AsyncWriter that writes to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines)}
	a.done.Go(func() { a.run(w) })
	return a
}

// run writes all queued lines in one call.
func (a *AsyncWriter) run(w io.Writer) {
	for line := range a.lines {
		for len(a.lines) > 0 {
			next, ok := <-a.lines
			if !ok {
				break
			}
			line = append(line, next...)
		}
		_, _ = w.Write(line) // there is no other output to which a failure could be reported
	}
}

// Write implements io.Writer. It copies p and never fails.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case a.lines <- line:
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing.
func (a *AsyncWriter) Sync() error { return nil }

// Dropped returns the number of lines that were dropped because the queue was full.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Close writes the queued lines and stops the goroutine. Write must not be called afterwards.
func (a *AsyncWriter) Close() {
	close(a.lines)
	a.done.Wait()
}

// NewAsyncLogger returns a logger that writes JSON lines to w.
func NewAsyncLogger(w zapcore.WriteSyncer, level zapcore.Level) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.EpochMillisTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), w, level))
}
