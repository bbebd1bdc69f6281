// Package permit divides the request limits of backend servers among hosts. For each server
// with a limit one host grants the permits to all hosts, so that they keep to the limit
// together whichever of them receive the requests. A hash of the server and the host names
// selects that host, without an agreement among the hosts.
package permit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/rendezvous"
)

const (
	// askTimeout bounds the call of another host. It is far above the network delay between
	// hosts and a tick of a slow host.
	askTimeout = 100 * time.Millisecond
	// retryPeriod is the time for which a host that did not answer is not asked.
	retryPeriod = time.Second
	// gonePeriod is the time without an answer after which a host no longer counts. All other
	// hosts have noticed its failure by then.
	gonePeriod = 5 * time.Second
	// maxFailedAsks bounds the hosts that a request for a permit waits for in vain.
	maxFailedAsks = 2
	// standInShare is the part of a limit that the second host in the order of a server grants
	// while the first does not answer. Other hosts may still reach the first.
	standInShare = 0.2
)

// Request is a request for a permit to the host that grants the permits of its server.
type Request struct {
	forward.PermitRequest
	Share float64 // part of the limit that the host may grant, from 0 to 1
}

// Granter grants permits on behalf of one host.
type Granter interface {
	Grant(ctx context.Context, r Request) (forward.Permit, error)
}

// Client asks the host that grants the permits of a server. It is safe for concurrent use.
type Client struct {
	Self  string                       // name of this host
	Local Granter                      // grants on behalf of this host
	Dial  func(address string) Granter // returns the granter of another host
	// OnFailure is called when a host ceases to answer.
	OnFailure func(host string, err error)

	peers    atomic.Pointer[map[string]string] // addresses of the other hosts by name
	mu       sync.Mutex
	failures map[string]failure // hosts that did not answer, by name
}

// failure is the state of a host that did not answer.
type failure struct {
	since   time.Time // first of the consecutive failures
	retryAt time.Time // earliest time at which the host is asked again
}

var _ forward.Permits = (*Client)(nil)

// SetPeers replaces the addresses of the other hosts by name.
func (c *Client) SetPeers(addresses map[string]string) { c.peers.Store(&addresses) }

// Acquire implements forward.Permits. If the hosts that are responsible do not answer, this host
// grants itself an equal share of the limit.
func (c *Client) Acquire(ctx context.Context, r forward.PermitRequest) forward.Permit {
	hosts := c.order(r.Server)
	share, failed := 1.0, 0
	for _, host := range hosts {
		if share < standInShare || failed == maxFailedAsks {
			break
		}
		if !time.Now().Before(c.failure(host).retryAt) {
			if p, err := c.ask(ctx, host, Request{r, share}); err == nil {
				return p
			}
			failed++
		}
		if time.Since(c.failure(host).since) < gonePeriod {
			share *= standInShare
		}
	}
	p, err := c.Local.Grant(ctx, Request{r, 1 / float64(len(hosts))})
	if err != nil {
		return forward.Permit{Wait: askTimeout}
	}
	return p
}

// ask asks a host and records whether it answered.
func (c *Client) ask(ctx context.Context, host string, r Request) (forward.Permit, error) {
	if host == c.Self {
		return c.Local.Grant(ctx, r)
	}
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	p, err := c.Dial((*c.peers.Load())[host]).Grant(askCtx, r)
	c.record(host, err, ctx.Err() != nil)
	return p, err
}

// order returns the known hosts in the order in which they grant the permits of a server.
func (c *Client) order(server string) []string {
	peers := c.peers.Load()
	if peers == nil {
		return []string{c.Self}
	}
	return rendezvous.Order(server, c.Self, *peers)
}

func (c *Client) failure(host string) failure {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures[host]
}

// record records whether a host answered. An error after the request has ended says nothing
// about the host.
func (c *Client) record(host string, err error, requestEnded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		delete(c.failures, host)
		return
	}
	if requestEnded {
		return
	}
	if c.failures == nil {
		c.failures = make(map[string]failure)
	}
	now := time.Now()
	f, known := c.failures[host]
	if !known {
		f.since = now
		c.OnFailure(host, err)
	}
	f.retryAt = now.Add(retryPeriod)
	c.failures[host] = f
}
