package main

import (
	"time"

	"go.uber.org/zap"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/executor"
	"github.com/lavenderstand/lavenderstand/platform"
	"github.com/lavenderstand/lavenderstand/readbudget"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/store"
)

// newFeed returns a feed of a table of the store. A failed read closes the idle connections
// to the store, because some of them may have stopped responding.
func (h *host) newFeed(name, tableName string, parts []string, share float64, coalesceDelay time.Duration, decode func([]store.Row, bool, uint64) []event.Event) *executor.Feed {
	return &executor.Feed{
		Name: name, Table: tableName, Parts: parts, Store: h.store, Decode: decode, CoalesceDelay: coalesceDelay, LongPollWait: feedLongPollWait,
		MinInterval: func() time.Duration {
			return readbudget.MinInterval(h.currentSettings().StoreReads, h.store.HostCount(), share)
		},
		Now: h.clock.Now, Deliver: h.inbox.Deliver, OnReadFailure: h.storeHTTP.CloseIdleConnections,
	}
}

// decodeOperators converts rows written by operators and trainers to events. A row that
// cannot be parsed is logged; the last known state stays in force.
func (h *host) decodeOperators(rows []store.Row, _ bool, _ uint64) []event.Event {
	var events []event.Event
	for _, r := range rows {
		state, ok, err := platform.ParseDesired(r)
		if ok && err == nil {
			h.operatorsFeed.LongPollWait = operatorsWait(state) // only the goroutine of the feed, which calls this, reads it
			events = append(events, event.DesiredRead{State: state})
			continue
		}
		model, version, named, namedErr := platform.ParseNamedVersion(r)
		if named && namedErr == nil {
			events = append(events, event.VersionNamed{Model: model, Version: version})
			continue
		}
		if err != nil || namedErr != nil {
			h.log.Warn("cannot parse row of the operators table", zap.String("row", r.Name), zap.Uint64("row_version", r.Version),
				zap.NamedError("desired_error", err), zap.NamedError("version_error", namedErr))
		}
	}
	return events
}

// operatorsWait returns the time for which the store holds a read of the operators' table.
func operatorsWait(s *desired.State) time.Duration {
	if s.Organisations == nil {
		return feedLongPollWait
	}
	return operatorsLongPollWait
}

// decodeServers converts rows of the servers table to one event.
func decodeServers(rows []store.Row, full bool, _ uint64) []event.Event {
	changes := make([]registry.Change, len(rows))
	for i, r := range rows {
		changes[i] = platform.ParseServer(r)
	}
	return []event.Event{event.ServersRead{Changes: changes, Full: full}}
}
