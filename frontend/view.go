// Package frontend serves callers and trainers: it joins the forwarding of requests
// with the keeping of lots. Its methods run on request goroutines; what they know of
// control state is what control has published.
package frontend

import (
	"sync/atomic"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/lot"
)

// Runners is the published knowledge of the processes that run lots.
type Runners struct {
	p atomic.Pointer[map[string]command.Runner]
}

// Publish replaces what is known.
func (r *Runners) Publish(c command.PublishRunners) { r.p.Store(&c.Runners) }

// runner returns the process that should run the next lot of a model.
func (r *Runners) runner(model string) (command.Runner, bool) {
	known := r.p.Load()
	if known == nil {
		return command.Runner{}, false
	}
	runner, ok := (*known)[model]
	return runner, ok
}

// Peers is the published knowledge of the other hosts.
type Peers struct {
	p atomic.Pointer[map[string]string] // addresses by name
}

// Publish replaces what is known.
func (h *Peers) Publish(c command.PublishPeers) { h.p.Store(&c.Addresses) }

// address returns where a host answers others.
func (h *Peers) address(host string) (string, bool) {
	known := h.p.Load()
	if known == nil {
		return "", false
	}
	address, ok := (*known)[host]
	return address, ok
}

// Lots is the published state of lots.
type Lots struct{ p atomic.Pointer[lotsSnapshot] }

type lotsSnapshot struct {
	lots    map[string]lot.StoredHead
	changed chan struct{} // closed by the next publication
}

// NewLots returns a view without lots.
func NewLots() *Lots {
	v := &Lots{}
	v.p.Store(&lotsSnapshot{changed: make(chan struct{})})
	return v
}

// Publish replaces the state of all lots and wakes those that wait.
func (v *Lots) Publish(c command.PublishLots) {
	old := v.p.Swap(&lotsSnapshot{lots: c.Lots, changed: make(chan struct{})})
	close(old.changed)
}

// lot returns the head of a lot and a channel that is closed by the next
// publication.
func (v *Lots) lot(id string) (head lot.StoredHead, known bool, changed <-chan struct{}) {
	p := v.p.Load()
	head, known = p.lots[id]
	return head, known, p.changed
}
