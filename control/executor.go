package control

import (
	"context"
	"sync"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
)

// Pool is the Executor of a process. It passes each command to the handler registered for
// its name. Handlers must be registered before the loop starts.
type Pool struct {
	ctx      context.Context
	inbox    *Inbox
	handlers map[string]func(command.Command)
	unknown  func(command.Command)
	running  sync.WaitGroup
}

// NewPool returns a pool whose handlers are canceled when ctx ends. unknown is called with
// commands that have no handler.
func NewPool(ctx context.Context, inbox *Inbox, unknown func(command.Command)) *Pool {
	return &Pool{
		ctx:      ctx,
		inbox:    inbox,
		handlers: make(map[string]func(command.Command)),
		unknown:  unknown,
	}
}

// Execute implements Executor.
func (p *Pool) Execute(c command.Command) {
	if handler, ok := p.handlers[c.Name()]; ok {
		handler(c)
		return
	}
	p.unknown(c)
}

// Wait blocks until all running handlers have returned.
func (p *Pool) Wait() { p.running.Wait() }

// Handle registers a handler that may block. Each call runs in its own goroutine. At most
// limit calls run at once; further calls wait. The event that fn returns, if not nil, is
// delivered to the inbox.
func Handle[C command.Command](p *Pool, limit int, fn func(context.Context, C) event.Event) {
	slots := make(chan struct{}, limit)
	var zero C
	p.handlers[zero.Name()] = func(c command.Command) {
		p.running.Add(1)
		go func() {
			defer p.running.Done()
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
			case <-p.ctx.Done():
				return
			}
			if e := fn(p.ctx, c.(C)); e != nil {
				_ = p.inbox.Deliver(p.ctx, e)
			}
		}()
	}
}

// HandleNow registers a handler that runs on the control goroutine and therefore must not
// block. Examples are publishing a plan, counting and answering a waiting call.
func HandleNow[C command.Command](p *Pool, fn func(C)) {
	var zero C
	p.handlers[zero.Name()] = func(c command.Command) { fn(c.(C)) }
}

// Registered reports whether commands with the given name have a handler.
func (p *Pool) Registered(name string) bool {
	_, ok := p.handlers[name]
	return ok
}
