package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/oklog/run"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/settings"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
)

// controller holds the parts of the process that its files wire together.
type controller struct {
	settings settings.Process
	start    time.Time
	inbox    *control.Inbox
	pool     *control.Pool
	waiters  *control.Waiters
	dialer   *peer.Dialer
	drained  chan struct{}
}

// now is the monotonic offset from process start.
func (c *controller) now() time.Duration { return time.Since(c.start) }

func serve(s settings.Process) error {
	if s.Training.Partitions <= 0 {
		return errors.New("training.partitions must be positive")
	}
	token, err := readToken(s.Identity.ProcessTokenFile)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := &controller{
		settings: s, start: time.Now(), inbox: control.NewInbox(control.InboxSize),
		waiters: control.NewWaiters(), dialer: peer.NewDialer(token), drained: make(chan struct{}),
	}
	defer c.dialer.Close()
	c.pool = control.NewPool(ctx, c.inbox, func(command.Command) {})
	c.registerExecutors()
	loop := control.NewLoop(control.Options{
		Tables: table.New(c.self()), Systems: c.systems(), Inbox: c.inbox, Executor: c.pool, Clock: c.now,
	})
	var g run.Group
	// The group ends its members in this order: calls end before the loop that
	// answers them.
	if err := c.addGRPC(&g); err != nil {
		return err
	}
	g.Add(func() error { return loop.Run(ctx) }, func(error) { cancel() })
	c.addStop(ctx, &g)
	return g.Run()
}

// self describes the process. Its id is unique per start, because a restarted
// process knows nothing of the leases of the one before.
func (c *controller) self() table.Self {
	s := c.settings
	return table.Self{
		ID:   fmt.Sprintf("%s-controller-%x", s.Host.Name, c.start.UnixNano()),
		Host: s.Host.Name, Zone: s.Host.Zone, Role: table.RoleController, Address: s.Listen.GRPC,
	}
}

func (c *controller) systems() []system.Named {
	timing := c.settings.Timing
	background := system.Background(system.LeaseOptions{
		Partitions: c.settings.Training.Partitions,
		Length:     seconds(timing.LeaseSeconds),
		Margin:     seconds(timing.LeaseMarginSeconds),
		Order:      seconds(timing.OrderSeconds),
	})
	membership := system.Named{Name: "membership", Run: system.Membership(seconds(timing.HostListSeconds))}
	// The leases system stays first: it notices a lapsed lease before any other
	// decision of the tick.
	return append([]system.Named{background[0], membership}, background[1:]...)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// readToken reads the token of this process, empty without a file.
func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read process token: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}
