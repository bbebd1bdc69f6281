package main

import (
	"time"

	"go.uber.org/zap"

	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/executor"
	"github.com/lavenderstand/lavenderstand/platform"
	"github.com/lavenderstand/lavenderstand/readbudget"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/store"
)

// newFeed follows a table of the store. After a failure, connections that may have
// gone silent are not used again.
func (h *host) newFeed(name, tableName string, parts []string, share float64, pause time.Duration, decode func([]store.Row, bool, uint64) []event.Event) *executor.Feed {
	return &executor.Feed{
		Name: name, Table: tableName, Parts: parts, Store: h.store, Decode: decode, CoalesceDelay: pause, LongPollWait: feedLongPollWait,
		MinInterval: func() time.Duration {
			return readbudget.MinInterval(h.currentSettings().StoreReads, h.store.HostCount(), share)
		},
		Deliver: h.inbox.Deliver, OnReadFailure: h.storeHTTP.CloseIdleConnections,
	}
}

// decodeOperators turns rows of operators and trainers into events. A row that
// cannot be read is logged and leaves what is known in force.
func (h *host) decodeOperators(rows []store.Row, _ bool, _ uint64) []event.Event {
	var events []event.Event
	for _, r := range rows {
		state, ok, err := platform.ParseDesired(r)
		if ok && err == nil {
			events = append(events, event.DesiredRead{State: state})
			continue
		}
		model, version, named, errNamed := platform.ParseNamedVersion(r)
		if named && errNamed == nil {
			events = append(events, event.VersionNamed{Model: model, Version: version})
			continue
		}
		if err != nil || errNamed != nil {
			h.log.Warn("row of the operator cannot be read", zap.String("row", r.Name), zap.Uint64("row_version", r.Version),
				zap.NamedError("desired_error", err), zap.NamedError("version_error", errNamed))
		}
	}
	return events
}

func decodeServers(rows []store.Row, full bool, _ uint64) []event.Event {
	changes := make([]registry.Change, len(rows))
	for i, r := range rows {
		changes[i] = platform.ParseServer(r)
	}
	return []event.Event{event.ServersRead{Changes: changes, Full: full}}
}
