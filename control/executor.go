package control

import (
	"context"
	"sync"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
)

// Dispatcher is the Executor of a process. It passes each command to the handler registered
// for its name. Handlers must be registered before the loop starts.
type Dispatcher struct {
	ctx      context.Context
	inbox    *Inbox
	handlers map[string]func(command.Command)
	unknown  func(command.Command)
	running  sync.WaitGroup
}

// NewDispatcher returns a dispatcher whose handlers are canceled when ctx ends. unknown is
// called with commands that have no handler.
func NewDispatcher(ctx context.Context, inbox *Inbox, unknown func(command.Command)) *Dispatcher {
	return &Dispatcher{
		ctx:      ctx,
		inbox:    inbox,
		handlers: make(map[string]func(command.Command)),
		unknown:  unknown,
	}
}

// Execute implements Executor.
func (d *Dispatcher) Execute(c command.Command) {
	if handler, ok := d.handlers[c.Name()]; ok {
		handler(c)
		return
	}
	d.unknown(c)
}

// Wait blocks until all running handlers have returned.
func (d *Dispatcher) Wait() { d.running.Wait() }

// Handle registers a handler that may block. Each call runs in its own goroutine. At most
// limit calls run at once; further calls wait. The event that fn returns, if not nil, is
// delivered to the inbox.
func Handle[C command.Command](d *Dispatcher, limit int, fn func(context.Context, C) event.Event) {
	slots := make(chan struct{}, limit)
	var zero C
	d.handlers[zero.Name()] = func(c command.Command) {
		d.running.Add(1)
		go func() {
			defer d.running.Done()
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
			case <-d.ctx.Done():
				return
			}
			if e := fn(d.ctx, c.(C)); e != nil {
				_ = d.inbox.Deliver(d.ctx, e)
			}
		}()
	}
}

// HandleNow registers a handler that runs on the control goroutine and therefore must not
// block. Examples are publishing a plan, counting and answering a waiting call.
func HandleNow[C command.Command](d *Dispatcher, fn func(C)) {
	var zero C
	d.handlers[zero.Name()] = func(c command.Command) { fn(c.(C)) }
}

// Registered reports whether commands with the given name have a handler.
func (d *Dispatcher) Registered(name string) bool {
	_, ok := d.handlers[name]
	return ok
}
