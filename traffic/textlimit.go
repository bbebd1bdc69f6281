package traffic

import "sync"

// TextLimit bounds the bytes of texts that wait to be stored.
type TextLimit struct {
	mu    sync.Mutex
	bytes int
	limit int
}

// NewTextLimit returns a limit in bytes.
func NewTextLimit(limit int) *TextLimit { return &TextLimit{limit: limit} }

// Full reports that no further text should be generated.
func (l *TextLimit) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes >= l.limit
}

// Acquire takes n bytes, unless they exceed the limit.
func (l *TextLimit) Acquire(n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bytes+n > l.limit {
		return false
	}
	l.bytes += n
	return true
}

// Release returns n bytes.
func (l *TextLimit) Release(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes -= n
}
