package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/oklog/run"

	"github.com/lavenderstand/lavenderstand/event"
)

// hostRowTimeout bounds the removal of the host row at the end of a graceful shutdown. If the
// row is not removed, other processes ignore it once it is too old.
const hostRowTimeout = 5 * time.Second

// hostRowRemoval lets the graceful shutdown wait until the control loop has removed the host
// row.
type hostRowRemoval struct {
	once sync.Once
	done chan struct{} // closed when the host row has been deleted
}

func newHostRowRemoval() *hostRowRemoval { return &hostRowRemoval{done: make(chan struct{})} }

func (r *hostRowRemoval) markDone() { r.once.Do(func() { close(r.done) }) }

// AddStop adds the graceful shutdown. The first SIGTERM or SIGINT begins it; later signals
// have no effect. It also begins when begun is closed, because an operator's request reaches
// the control loop without a signal; begun may be nil. finish must return when all work has
// ended. Its error becomes the error of the process.
func (b *Base) AddStop(g *run.Group, begun <-chan struct{}, finish func(ctx context.Context) error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	g.Add(func() error {
		select {
		case <-signals:
			return b.Stop(finish)
		case <-begun:
			return b.Stop(finish)
		case <-b.Ctx.Done():
			return nil
		}
	}, func(error) { b.Cancel() })
}

// Stop runs the graceful shutdown: it begins draining, calls finish and removes the host row.
// The drain limit bounds the time until finish returns, hostRowTimeout the removal.
func (b *Base) Stop(finish func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(b.Ctx, Seconds(b.Settings.Timing.DrainLimitSeconds))
	defer cancel()
	if err := b.Inbox.Deliver(ctx, event.DrainRequested{}); err != nil {
		return fmt.Errorf("begin graceful shutdown: %w", err)
	}
	err := finish(ctx)
	b.removeHostRow()
	return err
}

// removeHostRow asks the control loop to remove the host row and waits for the removal.
func (b *Base) removeHostRow() {
	ctx, cancel := context.WithTimeout(b.Ctx, hostRowTimeout)
	defer cancel()
	if b.Inbox.Deliver(ctx, event.DrainFinished{}) != nil {
		return
	}
	select {
	case <-b.rowRemoval.done:
	case <-ctx.Done():
	}
}
