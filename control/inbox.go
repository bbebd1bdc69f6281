package control

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/lavenderstand/lavenderstand/event"
)

// InboxSize is the maximum number of events that wait for the next tick.
const InboxSize = 16384

// Inbox is the queue of events from servers, executors and the request path to the
// control loop.
type Inbox struct {
	events        chan event.Event
	dropped       atomic.Uint64
	droppedByKind sync.Map // event name to *atomic.Uint64
}

// NewInbox returns an inbox that holds at most size events.
func NewInbox(size int) *Inbox { return &Inbox{events: make(chan event.Event, size)} }

// Post adds an event without blocking. If the inbox is full, the event is dropped and
// counted, and Post returns false. Use it only for reports that the next report
// supersedes.
func (b *Inbox) Post(e event.Event) bool {
	select {
	case b.events <- e:
		return true
	default:
		b.dropped.Add(1)
		kind, _ := b.droppedByKind.LoadOrStore(e.Name(), new(atomic.Uint64))
		kind.(*atomic.Uint64).Add(1)
		return false
	}
}

// Deliver adds an event and blocks while the inbox is full. It returns an error only if
// ctx ends first.
func (b *Inbox) Deliver(ctx context.Context, e event.Event) error {
	select {
	case b.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Dropped returns the number of events that Post dropped.
func (b *Inbox) Dropped() uint64 { return b.dropped.Load() }

// DroppedByKind returns the number of events that Post dropped, by event name.
func (b *Inbox) DroppedByKind() map[string]uint64 {
	counts := make(map[string]uint64)
	b.droppedByKind.Range(func(kind, n any) bool {
		counts[kind.(string)] = n.(*atomic.Uint64).Load()
		return true
	})
	return counts
}
