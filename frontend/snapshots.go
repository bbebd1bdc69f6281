// Package frontend serves callers and trainers: it forwards requests and stores and reads
// lots. Its methods run on request goroutines, which read control state only from the
// snapshots that control publishes.
package frontend

import (
	"sync/atomic"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/lot"
)

// Runners is the published snapshot of the processes that run the lots of each model.
type Runners struct {
	p atomic.Pointer[map[string]command.Runner] // by model
}

// Publish replaces the snapshot.
func (r *Runners) Publish(c command.PublishRunners) { r.p.Store(&c.Runners) }

// runner returns the process that runs the lots of a model.
func (r *Runners) runner(model string) (command.Runner, bool) {
	runners := r.p.Load()
	if runners == nil {
		return command.Runner{}, false
	}
	runner, ok := (*runners)[model]
	return runner, ok
}

// Peers is the published snapshot of the other hosts.
type Peers struct {
	p atomic.Pointer[map[string]string] // addresses by host name
}

// Publish replaces the snapshot.
func (p *Peers) Publish(c command.PublishPeers) { p.p.Store(&c.Addresses) }

// address returns the address at which a host serves other hosts.
func (p *Peers) address(host string) (string, bool) {
	addresses := p.p.Load()
	if addresses == nil {
		return "", false
	}
	address, ok := (*addresses)[host]
	return address, ok
}

// Lots is the published snapshot of the heads of lots.
type Lots struct{ p atomic.Pointer[lotsSnapshot] }

type lotsSnapshot struct {
	lots    map[string]lot.StoredHead // by lot id
	changed chan struct{}             // closed by the next publication
}

// NewLots returns an empty snapshot.
func NewLots() *Lots {
	l := &Lots{}
	l.p.Store(&lotsSnapshot{changed: make(chan struct{})})
	return l
}

// Publish replaces the snapshot and wakes all waiting readers.
func (l *Lots) Publish(c command.PublishLots) {
	old := l.p.Swap(&lotsSnapshot{lots: c.Lots, changed: make(chan struct{})})
	close(old.changed)
}

// lot returns the head of a lot, whether the lot is known, and a channel that is closed by
// the next call of Publish.
func (l *Lots) lot(id string) (head lot.StoredHead, known bool, changed <-chan struct{}) {
	p := l.p.Load()
	head, known = p.lots[id]
	return head, known, p.changed
}
