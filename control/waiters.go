package control

import (
	"context"
	"sync"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
)

// Waiters matches the answers of systems with the calls that wait for them. A call
// delivers an event with a request id to the control loop. A system answers later with a
// command that carries the same id.
type Waiters struct {
	mu      sync.Mutex
	pending map[string]chan command.Command
}

// NewWaiters returns a Waiters without calls.
func NewWaiters() *Waiters { return &Waiters{pending: make(map[string]chan command.Command)} }

// Call delivers e to the inbox and waits for the answer with the given request id. If ctx
// ends before the answer arrives, Call posts event.RequestAbandoned and returns the error
// of ctx.
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

// Answer completes the call with the given id. It ignores an unknown id, because the call
// has already ended. It never blocks.
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
