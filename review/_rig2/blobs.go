package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the store in the settings of the pages.
const (
	blobTime      = 25 * time.Millisecond // platform.blobMs
	blobPerSecond = 80e6                  // platform.blobMbPerS, in bytes
)

// blobPace gives calls for objects the times that the pages state: each takes blobTime, and all
// share blobPerSecond.
type blobPace struct {
	next http.Handler

	mu   sync.Mutex
	free time.Time // when the shared rate has room again
}

// ServeHTTP implements http.Handler.
func (p *blobPace) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/v1/blob-") {
		p.next.ServeHTTP(w, r)
		return
	}
	time.Sleep(blobTime)
	if r.ContentLength > 0 {
		p.take(r.ContentLength)
		p.next.ServeHTTP(w, r)
		return
	}
	counted := &sizedWriter{ResponseWriter: w, pace: p}
	p.next.ServeHTTP(counted, r)
}

func (p *blobPace) take(bytes int64) {
	p.mu.Lock()
	now := time.Now()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(bytes) / blobPerSecond * float64(time.Second)))
	until := p.free
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

// sizedWriter delays the body of an answer by the shared rate.
type sizedWriter struct {
	http.ResponseWriter
	pace *blobPace
}

// Write implements io.Writer.
func (w *sizedWriter) Write(data []byte) (int, error) {
	w.pace.take(int64(len(data)))
	return w.ResponseWriter.Write(data)
}
