package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/spf13/cobra"

	"github.com/lavenderstand/lavenderstand/api"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/platform"
	"github.com/lavenderstand/lavenderstand/settings"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/traffic"
)

const (
	platformTimeout = 2 * time.Second
	shutdownLimit   = 10 * time.Second
	maxAnswerBytes  = 8 << 20
)

func newCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:          "lavender-entry",
		Short:        "Serve callers, trainers and operators on one host",
		SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			return serve(s)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "path of the TOML settings file")
	_ = c.MarkFlagRequired("settings")
	return c
}

func serve(s settings.Process) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := time.Now()
	inbox := control.NewInbox(control.InboxSize)
	plans := new(plan.Cell)
	loop := control.NewLoop(control.Options{
		Tables:   table.New(table.Self{ID: s.Host.Name, Host: s.Host.Name, Zone: s.Host.Zone, Role: table.RoleEntry}),
		Systems:  systems(s),
		Inbox:    inbox,
		Executor: newExecutor(ctx, s, inbox, plans),
		Clock:    func() time.Duration { return time.Since(start) },
	})
	var g run.Group
	g.Add(func() error { return loop.Run(ctx) }, func(error) { cancel() })
	if err := addHTTP(&g, s, plans); err != nil {
		return err
	}
	g.Add(run.SignalHandler(ctx, syscall.SIGINT, syscall.SIGTERM))
	return ignoreSignal(g.Run())
}

func systems(s settings.Process) []system.Named {
	period := seconds(s.Timing.HostListSeconds)
	return []system.Named{
		{Name: "membership", Run: system.Membership(period)},
		{Name: "load", Run: system.Load(seconds(s.Timing.StateReportSeconds))},
		{Name: "departure", Run: system.Departure()},
		{Name: "ejection", Run: system.Ejection()},
		{Name: "classes", Run: system.Classes()},
		{Name: "prefixes", Run: system.Prefixes()},
		{Name: "drain", Run: system.Drain(seconds(s.Timing.DrainDelaySeconds))},
		{Name: "routing", Run: system.Routing(system.RoutingOptions{})},
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func newExecutor(ctx context.Context, s settings.Process, inbox *control.Inbox, plans *plan.Cell) *control.Pool {
	pool := control.NewPool(ctx, inbox, func(command.Command) {})
	hosts := platform.NewHostListClient(s.Platform.Hosts, &http.Client{Timeout: platformTimeout})
	control.Handle(pool, 1, func(ctx context.Context, _ command.ReadHostList) event.Event {
		list, err := hosts.Hosts(ctx)
		return event.HostListRead{Hosts: list, Failure: event.FailureOf(err)}
	})
	control.HandleNow(pool, func(c command.PublishPlan) { plans.Publish(c.Plan) })
	return pool
}

func addHTTP(g *run.Group, s settings.Process, plans *plan.Cell) error {
	listener, err := net.Listen("tcp", s.Listen.HTTP)
	if err != nil {
		return err
	}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	router := &traffic.Router{Plans: plans, Sender: &traffic.Sender{Client: &http.Client{}, MaxAnswerBytes: maxAnswerBytes}}
	api.RegisterServices(e, router, s.Limits.BodyBytes)
	server := &http.Server{Handler: e, MaxHeaderBytes: s.Limits.HeaderBytes, ReadHeaderTimeout: platformTimeout}
	g.Add(func() error { return server.Serve(listener) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	return nil
}

// ignoreSignal turns the end by a signal into success.
func ignoreSignal(err error) error {
	var signal run.SignalError
	if errors.As(err, &signal) {
		return nil
	}
	return err
}
