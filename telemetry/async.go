package telemetry

import (
	"io"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxQueuedLines bounds the log lines that wait for a slow reader of the output: about
// 1 MB.
const maxQueuedLines = 4096

// AsyncWriter writes log lines from a goroutine of its own. A line that finds the
// queue full is dropped and counted: logging never blocks a request.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    sync.WaitGroup
}

// NewAsyncWriter returns a writer to w. Close writes what waits.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines)}
	a.done.Go(func() { a.run(w) })
	return a
}

// run joins the lines that wait into one write.
func (a *AsyncWriter) run(w io.Writer) {
	for line := range a.lines {
		for len(a.lines) > 0 {
			next, ok := <-a.lines
			if !ok {
				break
			}
			line = append(line, next...)
		}
		_, _ = w.Write(line) // nothing is left to report a failing output to
	}
}

// Write implements io.Writer.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case a.lines <- line:
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (a *AsyncWriter) Sync() error { return nil }

// Dropped returns the number of lines lost to a full queue.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Close writes what waits. Nothing may be written afterwards.
func (a *AsyncWriter) Close() {
	close(a.lines)
	a.done.Wait()
}

// NewAsyncLogger returns a logger of JSON lines to w.
func NewAsyncLogger(w zapcore.WriteSyncer, level zapcore.Level) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.EpochMillisTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), w, level))
}
