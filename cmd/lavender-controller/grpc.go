package main

import (
	"context"
	"net"
	"time"

	"github.com/oklog/run"
	"google.golang.org/grpc"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
)

// shutdownLimit bounds the end of calls after all partitions were handed over.
const shutdownLimit = 10 * time.Second

func (c *controller) addGRPC(g *run.Group) error {
	listener, err := net.Listen("tcp", c.settings.Listen.GRPC)
	if err != nil {
		return err
	}
	server := grpc.NewServer()
	peerpb.RegisterControllerServer(server, peer.NewControllerServer(c.call))
	g.Add(func() error { return server.Serve(listener) }, func(error) {
		timer := time.AfterFunc(shutdownLimit, server.Stop)
		defer timer.Stop()
		server.GracefulStop()
	})
	return nil
}

// call delivers an event and waits for its answer.
func (c *controller) call(ctx context.Context, id string, e event.Event) (command.Command, error) {
	return c.waiters.Call(ctx, c.inbox, id, e)
}
