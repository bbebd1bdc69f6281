package control

import (
	"context"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
)

// CallFunc returns Call bound to one inbox. The packages that serve requests receive it
// as a function, because they must not import a package that depends on package table.
func (w *Waiters) CallFunc(inbox *Inbox) func(context.Context, string, event.Event) (command.Command, error) {
	return func(ctx context.Context, id string, e event.Event) (command.Command, error) {
		return w.Call(ctx, inbox, id, e)
	}
}
