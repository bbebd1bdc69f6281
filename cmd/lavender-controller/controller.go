package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oklog/run"
	"google.golang.org/grpc"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/daemon"
	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/settings"
	"github.com/lavenderstand/lavenderstand/table"
)

// sampleTimeout bounds the generation of one sample. The samples of a step must complete
// within 32 minutes, including the repetition of a sample that was lost.
const sampleTimeout = 10 * time.Minute

var errDrainLimit = errors.New("drain limit reached before all partitions were handed over")

// controller holds the components of a lavender-controller process.
type controller struct {
	*daemon.Base
	drained chan struct{} // closed when all partitions were handed over
}

func serve(s settings.Process) error {
	// The ID differs for each start, because a restarted process has no record of
	// the leases that the previous process held.
	id := fmt.Sprintf("%s-controller-%x", s.Host.Name, time.Now().UnixNano())
	base, err := daemon.New(s, table.Self{
		ID: id, Host: s.Host.Name, Zone: s.Host.Zone, Role: table.RoleController, Address: s.Listen.GRPC,
	})
	if err != nil {
		return err
	}
	defer base.Close()
	c := &controller{Base: base, drained: make(chan struct{})}
	c.registerExecutors()
	return c.run()
}

func (c *controller) run() error {
	var g run.Group
	// The run group stops its actors in this order: the servers stop before the
	// control loop, which answers their calls.
	if err := c.AddHTTP(&g, c.NewEcho(func() error { return nil })); err != nil {
		return err
	}
	if err := c.AddGRPC(&g, c.registerGRPC); err != nil {
		return err
	}
	c.AddControl(&g, c.systems())
	c.AddStop(&g, nil, c.finish)
	return g.Run()
}

func (c *controller) registerExecutors() {
	generator := peer.Generator{Dialer: c.Dialer, Timeout: sampleTimeout}
	control.Handle(c.Dispatcher, peer.MaxConcurrentSamples, generator.Run)
	control.HandleNow(c.Dispatcher, func(command.DrainFinished) { close(c.drained) })
	// Only entry hosts use readiness and routing plans.
	control.HandleNow(c.Dispatcher, func(command.SetReady) {})
}

// controllerServer implements the Controller service. It adds the configuration methods
// to peer.ControllerServer.
type controllerServer struct {
	*peer.ControllerServer
	config *peer.ConfigServer
}

// Announce implements peerpb.ControllerServer.
func (s controllerServer) Announce(ctx context.Context, r *peerpb.AnnounceRequest) (*peerpb.AnnounceResponse, error) {
	return s.config.Announce(ctx, r)
}

func (c *controller) registerGRPC(s *grpc.Server) {
	peerpb.RegisterControllerServer(s, controllerServer{
		ControllerServer: peer.NewControllerServer(c.Ask),
		config:           &peer.ConfigServer{Ask: c.Ask, Deliver: c.Inbox.Deliver},
	})
}

// finish waits until all partitions are handed over.
func (c *controller) finish(ctx context.Context) error {
	select {
	case <-c.drained:
		return nil
	case <-ctx.Done():
		return errDrainLimit
	}
}
