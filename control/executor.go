package control

import (
	"context"
	"sync"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
)

// Pool is the Executor of a process. Handlers are registered before the loop
// starts and never change afterwards.
type Pool struct {
	ctx      context.Context
	inbox    *Inbox
	handlers map[string]func(command.Command)
	unknown  func(command.Command)
	running  sync.WaitGroup
}

// NewPool returns a pool whose handlers end when ctx does. unknown receives
// commands without a handler.
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

// Wait blocks until every handler that was started has returned.
func (p *Pool) Wait() { p.running.Wait() }

// Handle registers a handler that may block. At most limit calls run at once;
// more wait. The returned event is delivered to the inbox; nil delivers none.
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

// HandleNow registers a handler that runs on the control goroutine and must not
// block: publishing a plan, counting, answering a waiting call.
func HandleNow[C command.Command](p *Pool, fn func(C)) {
	var zero C
	p.handlers[zero.Name()] = func(c command.Command) { fn(c.(C)) }
}

// Registered reports whether a command of this name has a handler.
func (p *Pool) Registered(name string) bool {
	_, ok := p.handlers[name]
	return ok
}
