package traffic

import "sync"

// TextLimit limits the total bytes of the sample texts that wait to be stored.
type TextLimit struct {
	mu    sync.Mutex
	bytes int
	limit int
}

// NewTextLimit returns a TextLimit of limit bytes.
func NewTextLimit(limit int) *TextLimit { return &TextLimit{limit: limit} }

// Full reports whether the limit is reached, so that no further text should be
// generated.
func (l *TextLimit) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes >= l.limit
}

// Acquire reserves n bytes. It returns false, and reserves nothing, if they would
// exceed the limit.
func (l *TextLimit) Acquire(n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bytes+n > l.limit {
		return false
	}
	l.bytes += n
	return true
}

// Release gives back n bytes that Acquire reserved.
func (l *TextLimit) Release(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes -= n
}
