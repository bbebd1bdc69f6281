package control

import (
	"context"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
)

// CallFunc returns Call for one inbox. Edges take it as a function, because they may
// not import a package that reaches the tables.
func (w *Waiters) CallFunc(inbox *Inbox) func(context.Context, string, event.Event) (command.Command, error) {
	return func(ctx context.Context, id string, e event.Event) (command.Command, error) {
		return w.Call(ctx, inbox, id, e)
	}
}
