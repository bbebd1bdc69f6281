package handler

import (
	"context"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/configstore"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Names of the counters of the platform executors.
const (
	// CounterRetries counts repeated calls, with the tags command and reason.
	CounterRetries = "platform_retries"
	// CounterMalformedRows counts rows that could not be decoded, with the tag
	// kind.
	CounterMalformedRows = "malformed_rows"
	// CounterObjectsNotDeleted counts objects that could not be deleted, with
	// the tag reason.
	CounterObjectsNotDeleted = "objects_not_deleted"
)

// Limits of the platform executors.
const (
	// readTimeout bounds a read. A failed read is repeated in the next period.
	readTimeout = 2 * time.Second
	// writeTimeout bounds a write, including the read that resolves an unknown
	// outcome. It is shorter than the minimum time before a lease is taken over
	// (8 s), so that no other holder changes the rows while copies of the write
	// are still being sent.
	writeTimeout = 5 * time.Second
	// leaseTimeout bounds the write of a lease. It is shorter than the lease TTL
	// (6 s), because a later renewal has no effect.
	leaseTimeout = 4 * time.Second
	// deleteTimeout bounds the deletion of the objects of one command.
	deleteTimeout = 30 * time.Second

	// Maximum numbers of concurrent commands of each kind.
	defaultMaxConcurrent     = 1
	maxConcurrentCommits     = 16
	maxConcurrentLeaseWrites = 16
	maxConcurrentLoads       = 4
	maxConcurrentDeletes     = 2
)

// PlatformDeps holds the dependencies of the platform executors.
type PlatformDeps struct {
	Tables  tablestore.Tables
	Objects tablestore.Objects
	Hosts   tablestore.HostList
	// Clock returns the monotonic time since process start.
	Clock func() time.Duration
	// NewOpID returns a unique id for a table service operation, see
	// tablestore.OpIDs.
	NewOpID func() string
	// Random returns a number in [0, 1). It is safe for concurrent use.
	Random func() float64
	// Count, if not nil, increments a counter. It is safe for concurrent use.
	Count func(counter string, tags map[string]string)
}

// RegisterPlatform adds the executors of all commands that call the platform.
func RegisterPlatform(dispatcher *control.Dispatcher, deps PlatformDeps) {
	p := &deps
	control.Handle(dispatcher, defaultMaxConcurrent, p.readHostList)
	control.Handle(dispatcher, defaultMaxConcurrent, p.readHostRows)
	control.Handle(dispatcher, defaultMaxConcurrent, p.writeHostRow)
	control.Handle(dispatcher, defaultMaxConcurrent, p.readConfig)
	control.Handle(dispatcher, defaultMaxConcurrent, p.commitConfig)
	control.Handle(dispatcher, defaultMaxConcurrent, p.readLeases)
	control.Handle(dispatcher, maxConcurrentLeaseWrites, p.writeLease)
	control.Handle(dispatcher, maxConcurrentLoads, p.loadTrainer)
	control.Handle(dispatcher, maxConcurrentCommits, p.commitRows)
	control.Handle(dispatcher, maxConcurrentDeletes, p.deleteObjects)
	control.Handle(dispatcher, defaultMaxConcurrent, p.readWeights)
	control.Handle(dispatcher, defaultMaxConcurrent, p.sweepClaims)
}

func (p *PlatformDeps) count(counter string, tags map[string]string) {
	if p.Count != nil {
		p.Count(counter, tags)
	}
}

// resolveOptions returns the retry options for the table service calls of the
// named command.
func (p *PlatformDeps) resolveOptions(name string) tablestore.ResolveOptions {
	return tablestore.ResolveOptions{
		Random: p.Random,
		Count: func(reason verdict.Reason) {
			p.count(CounterRetries, map[string]string{"command": name, "reason": string(reason)})
		},
	}
}

func (p *PlatformDeps) readHostList(ctx context.Context, _ command.ReadHostList) event.Event {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := p.Hosts.Hosts(ctx)
	return event.HostListRead{Hosts: list, Failure: event.FailureOf(err)}
}

func (p *PlatformDeps) configStore(name string) *configstore.Store {
	return &configstore.Store{Tables: p.Tables, NewOpID: p.NewOpID, Resolve: p.resolveOptions(name)}
}

func (p *PlatformDeps) deleteObjects(ctx context.Context, c command.DeleteObjects) event.Event {
	ctx, cancel := context.WithTimeout(ctx, deleteTimeout)
	defer cancel()
	for _, key := range c.Keys {
		if err := p.Objects.Delete(ctx, key); err != nil {
			p.count(CounterObjectsNotDeleted, map[string]string{"reason": string(verdict.ReasonOf(err))})
		}
	}
	return nil
}
