// Package leaving tells other hosts of backend servers that said in an answer that they leave,
// also while the store cannot be reached.
package leaving

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/rendezvous"
)

const (
	// callTimeout bounds the call of one host.
	callTimeout = 500 * time.Millisecond
	// maxConcurrentCalls bounds the calls that are under way for one report.
	maxConcurrentCalls = 32
	// askedHosts is the number of hosts that a new process asks. More than one, because one may
	// have ended or may be new itself.
	askedHosts = 3
)

// Receiver is another host. Share tells it of starts of servers that leave. Without starts, it
// answers with those that it knows.
type Receiver interface {
	Share(ctx context.Context, host string, starts []registry.Start) ([]registry.Start, error)
}

// Reporter calls the other hosts. It is safe for concurrent use.
type Reporter struct {
	Self string // name of this host
	Dial func(address string) Receiver
	// OnFailure is called for each host that a call did not reach.
	OnFailure func(host string, err error)

	peers atomic.Pointer[map[string]string] // addresses of the other hosts by name
}

// SetPeers replaces the addresses of the other hosts by name.
func (r *Reporter) SetPeers(addresses map[string]string) { r.peers.Store(&addresses) }

// Send tells all other hosts once.
func (r *Reporter) Send(ctx context.Context, starts []registry.Start) {
	if len(starts) > 0 {
		r.call(ctx, r.hosts(), starts)
	}
}

// Ask returns the starts that some other hosts know.
func (r *Reporter) Ask(ctx context.Context) []registry.Start {
	hosts := r.hosts()
	return r.call(ctx, hosts[:min(askedHosts, len(hosts))], nil)
}

// hosts returns the other hosts in an order that differs between hosts.
func (r *Reporter) hosts() []string {
	peers := r.peers.Load()
	if peers == nil {
		return nil
	}
	return slices.DeleteFunc(rendezvous.Order(r.Self, r.Self, *peers), func(h string) bool { return h == r.Self })
}

// call calls hosts and returns what they answer.
func (r *Reporter) call(ctx context.Context, hosts []string, starts []registry.Start) []registry.Start {
	var mu sync.Mutex
	var answers []registry.Start
	slots := make(chan struct{}, maxConcurrentCalls)
	var pending sync.WaitGroup
	peers := r.peers.Load()
	for _, host := range hosts {
		address := (*peers)[host]
		if address == "" {
			continue
		}
		slots <- struct{}{}
		pending.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			answer, err := r.Dial(address).Share(ctx, r.Self, starts)
			if err != nil {
				r.OnFailure(host, err)
				return
			}
			mu.Lock()
			answers = append(answers, answer...)
			mu.Unlock()
		})
	}
	pending.Wait()
	return answers
}
