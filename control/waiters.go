package control

import (
	"context"
	"sync"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
)

// Waiters match the answers of systems to the calls of edges that wait for
// them. A call delivers an event with a request id; the system answers later
// with a command that carries the same id.
type Waiters struct {
	mu      sync.Mutex
	pending map[string]chan command.Command
}

// NewWaiters returns an empty set.
func NewWaiters() *Waiters { return &Waiters{pending: make(map[string]chan command.Command)} }

// Call delivers e and waits for the answer with the given request id. If ctx
// ends first it posts event.RequestAbandoned and returns the context's error.
func (w *Waiters) Call(ctx context.Context, inbox *Inbox, id string, e event.Event) (command.Command, error) {
	answer := make(chan command.Command, 1)
	w.mu.Lock()
	w.pending[id] = answer
	w.mu.Unlock()
	defer w.remove(id)
	if err := inbox.Deliver(ctx, e); err != nil {
		return nil, err
	}
	select {
	case c := <-answer:
		return c, nil
	case <-ctx.Done():
		inbox.Post(event.RequestAbandoned{RequestID: id})
		return nil, ctx.Err()
	}
}

// Answer completes the call with the given id; an unknown id is ignored because
// its caller has gone. It never blocks.
func (w *Waiters) Answer(id string, c command.Command) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer, ok := w.pending[id]; ok {
		answer <- c
		delete(w.pending, id)
	}
}

func (w *Waiters) remove(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.pending, id)
}
