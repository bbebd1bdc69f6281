package main

import (
	"context"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/api"
	"github.com/lavenderstand/lavenderstand/configstore"
	"github.com/lavenderstand/lavenderstand/daemon"
	"github.com/lavenderstand/lavenderstand/handler"
	"github.com/lavenderstand/lavenderstand/identity"
	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/status"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// maxAnswerBytes bounds the response body of a backend server.
	maxAnswerBytes = 8 << 20
	// statusInterval is the interval between two publications of the status snapshot.
	statusInterval = time.Second
)

func (e *entry) newEcho() *echo.Echo {
	server := e.NewEcho(e.ready)
	e.addCallers(server)
	e.addTrainers(server)
	e.addOperators(server)
	return server
}

// authenticated returns middleware that admits principals with one of the roles, within
// the rate limit of each principal.
func (e *entry) authenticated(roles ...identity.Role) []echo.MiddlewareFunc {
	l := e.Settings.Limits
	return []echo.MiddlewareFunc{
		e.Principals.Middleware(), identity.RequireRole(roles...),
		e.Principals.RateLimit(l.RequestsPerSecond, l.Burst),
	}
}

func (e *entry) addCallers(server *echo.Echo) {
	callers := &api.CallerHandlers{
		Router: e.router, MaxBodyBytes: e.Settings.Limits.BodyBytes,
		RequestTimeout: daemon.Seconds(e.Settings.Limits.RequestSeconds),
	}
	callers.Register(server, e.authenticated(identity.RoleCaller)...)
}

func (e *entry) addTrainers(server *echo.Echo) {
	trainers := &api.TrainerHandlers{
		Controller: peer.NewControllerRouter(e.Dialer, &e.Platform, e.Settings.Training.Partitions),
		Objects:    e.Objects, MaxBodyBytes: e.Settings.Limits.BodyBytes,
	}
	trainers.Register(server, e.authenticated(identity.RoleTrainer)...)
}

func (e *entry) addOperators(server *echo.Echo) {
	api.RegisterOperators(server.Group("/v1", e.authenticated(identity.RoleOperator)...), &api.OperatorHandlers{
		Ask: e.Ask, Deliver: e.Inbox.Deliver, Status: e.status, Tables: e.Tables, NewOpID: e.NewOpID,
		History: e.history,
		Groups: func(ctx context.Context) ([]status.Group, error) {
			return peer.ListGroups(ctx, e.Dialer, controllerAddresses(e.status.Load()))
		},
	})
}

// history returns all versions of the configuration. Rows that cannot be parsed are left
// out and counted.
func (e *entry) history(ctx context.Context) ([]api.ConfigRecord, error) {
	store := &configstore.Store{Tables: e.Tables, NewOpID: e.NewOpID, Resolve: e.resolve("config_history")}
	records, malformed, err := store.History(ctx)
	if err != nil {
		return nil, err
	}
	for range malformed {
		e.Count(handler.CounterMalformedRows, map[string]string{"kind": "config_history"})
	}
	versions := make([]api.ConfigRecord, 0, len(records))
	for _, r := range records {
		versions = append(versions, api.ConfigRecord{Version: r.Version, Author: r.Author, Config: r.Body})
	}
	return versions, nil
}

func controllerAddresses(s *status.Snapshot) []string {
	var addresses []string
	for _, h := range s.Hosts {
		if h.Role == string(table.RoleController) {
			addresses = append(addresses, h.Address)
		}
	}
	return addresses
}
