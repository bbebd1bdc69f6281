// Package relay implements a store client that calls the store through another host while
// the store does not serve this host but serves others.
package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// directTimeout bounds a direct call before other hosts are tried. A slow store
	// responds within 250 ms.
	directTimeout = 450 * time.Millisecond
	// relayTimeout bounds a call through another host, which itself allows directTimeout
	// for its call.
	relayTimeout = 600 * time.Millisecond
	// probeTimeout bounds a probe of the store. A slow store responds within 250 ms.
	probeTimeout = 350 * time.Millisecond
	// probeResultTTL is the time for which the result of a probe is reused.
	probeResultTTL = 100 * time.Millisecond
	// probeInterval is the interval between probes of the store while it does not serve
	// this host.
	probeInterval = 400 * time.Millisecond
	// peerBackoff is the time for which no other host is called after one could not reach
	// the store either.
	peerBackoff = 300 * time.Millisecond
	// maxPeersPerCall bounds the number of other hosts that one call tries.
	maxPeersPerCall = 2
	// minRateLimitedCalls and minRateLimitedDuration are the number of consecutive calls
	// that the store refused because of its rate limit, and the time that they must span,
	// for the store to be considered unavailable to this host. When the store is
	// overloaded by all hosts, some calls of each still succeed.
	minRateLimitedCalls    = 4
	minRateLimitedDuration = 500 * time.Millisecond
)

// PeerStore is the subset of store.Client that can be called through another host.
type PeerStore interface {
	Commit(ctx context.Context, c store.Commit) (version uint64, err error)
	Read(ctx context.Context, table, part, from string, limit int) (store.Range, error)
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (store.Range, error)
}

// Client calls the store directly, or through other hosts while direct calls fail. It
// implements store.Client and is safe for concurrent use.
type Client struct {
	store.Client                                   // calls the store directly
	Probe          func(ctx context.Context) error // checks directly that the store serves this host
	Dial           func(address string) PeerStore  // returns a client of another host
	OnDirectChange func(down bool, cause error)    // called when direct access is lost or restored

	peers            atomic.Pointer[[]string] // addresses of the other hosts
	lastGoodPeer     atomic.Pointer[string]   // address of the peer that responded last
	down             atomic.Pointer[outage]   // nil while the store serves this host
	peerBackoffUntil atomic.Int64             // Unix nanoseconds
	rateLimits       rateLimitStreak

	mu       sync.Mutex // held during a probe, so that all waiting calls share its result
	probedAt time.Time
	probeErr error
}

// outage is a time in which the store does not serve this host.
type outage struct {
	ctx context.Context // ends with the outage
	end context.CancelFunc
}

// SetPeers sets the addresses of the other hosts.
func (c *Client) SetPeers(addresses []string) { c.peers.Store(&addresses) }

// HostCount returns the number of known hosts, including this one.
func (c *Client) HostCount() int {
	peers := c.peers.Load()
	if peers == nil {
		return 1
	}
	return 1 + len(*peers)
}

// Commit implements store.Client. A commit may be sent twice, because its conditions no
// longer hold for the second copy.
func (c *Client) Commit(ctx context.Context, commit store.Commit) (version uint64, err error) {
	err = c.call(ctx, 0, func(ctx context.Context, s PeerStore) (err error) {
		version, err = s.Commit(ctx, commit)
		return err
	})
	return version, err
}

// Read implements store.Client.
func (c *Client) Read(ctx context.Context, table, part, from string, limit int) (r store.Range, err error) {
	err = c.call(ctx, 0, func(ctx context.Context, s PeerStore) (err error) {
		r, err = s.Read(ctx, table, part, from, limit)
		return err
	})
	return r, err
}

// Changes implements store.Client.
func (c *Client) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (r store.Range, err error) {
	err = c.call(ctx, wait, func(ctx context.Context, s PeerStore) (err error) {
		r, err = s.Changes(ctx, table, after, wait)
		return err
	})
	return r, err
}

// call calls the store directly, unless direct access is down, and then through other hosts.
// While direct access is down, it makes a direct call as the last attempt. The verdict of
// the error is not run only if no attempt may have had an effect.
func (c *Client) call(ctx context.Context, wait time.Duration, do func(context.Context, PeerStore) error) error {
	var errs callErrors
	tryDirectly := c.down.Load() != nil // after the other hosts
	if !tryDirectly {
		err := callWithTimeout(ctx, directTimeout+wait, c.Client, do)
		if rateLimited(err) {
			if !c.rateLimits.add(time.Now()) {
				return err // further calls, also through other hosts, would add to the overload
			}
		} else if c.rateLimits.reset(); storeAnswered(err) || ctx.Err() != nil || c.storeReachable(ctx) {
			return err // the store serves this host, although perhaps not this partition
		}
		c.switchToPeers(ctx, err)
		errs.add(err)
	}
	// The outage may end during a call through another host, which is then abandoned: both
	// may have been cut off, and the call would last until its timeout.
	current := c.down.Load()
	for _, address := range c.candidatePeers() {
		err := current.callUntilEnd(ctx, relayTimeout+wait, c.Dial(address), do)
		if storeAnswered(err) {
			c.lastGoodPeer.Store(&address)
			return err
		}
		errs.add(err)
		if current.over() {
			tryDirectly = true
			break
		}
		c.lastGoodPeer.Store(nil)
		c.peerBackoffUntil.Store(time.Now().Add(peerBackoff).UnixNano())
	}
	if tryDirectly && ctx.Err() == nil {
		err := callWithTimeout(ctx, directTimeout+wait, c.Client, do)
		if storeAnswered(err) {
			return err
		}
		errs.add(err)
	}
	return errs.err()
}

// over reports whether the outage has ended.
func (o *outage) over() bool { return o == nil || o.ctx.Err() != nil }

// callUntilEnd is like callWithTimeout, but also ends the call at the end of the outage.
func (o *outage) callUntilEnd(ctx context.Context, timeout time.Duration, s PeerStore, do func(context.Context, PeerStore) error) error {
	if o == nil {
		return callWithTimeout(ctx, timeout, s, do)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(o.ctx, cancel)()
	return callWithTimeout(ctx, timeout, s, do)
}

// rateLimitStreak counts consecutive calls that the store refused because of its rate limit.
type rateLimitStreak struct {
	mu    sync.Mutex
	calls int
	since time.Time
}

// add records a refused call. It reports whether the refusals show that the store does not
// serve this host.
func (r *rateLimitStreak) add(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls == 0 {
		r.since = now
	}
	r.calls++
	return r.calls >= minRateLimitedCalls && now.Sub(r.since) >= minRateLimitedDuration
}

func (r *rateLimitStreak) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = 0
}

func rateLimited(err error) bool {
	return err != nil && verdict.ReasonOf(err) == verdict.ReasonRateLimited
}

// callErrors collects the errors of the attempts of one call.
type callErrors struct {
	first      error
	mayHaveRun bool
}

func (e *callErrors) add(err error) {
	if e.first == nil {
		e.first = err
	}
	e.mayHaveRun = e.mayHaveRun || verdict.Of(err) != verdict.NotRun
}

func (e *callErrors) err() error {
	v := verdict.NotRun
	if e.mayHaveRun {
		v = verdict.MayHaveRun
	}
	return verdict.Wrap(e.first, v, verdict.ReasonStoreUnavailable, "the store cannot be reached directly or through another host")
}

func callWithTimeout(ctx context.Context, timeout time.Duration, s PeerStore, do func(context.Context, PeerStore) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return do(ctx, s)
}

// storeAnswered reports whether err shows that the store itself answered the call.
func storeAnswered(err error) bool {
	var conflict *store.Conflict
	return err == nil || errors.As(err, &conflict) || errors.Is(err, store.ErrHistoryGone) ||
		verdict.ReasonOf(err) == verdict.ReasonBadAnswer || verdict.ReasonOf(err) == verdict.ReasonStoreRejected
}

// candidatePeers returns the addresses of the hosts to try: the one that responded last, if
// any, then random ones.
func (c *Client) candidatePeers() []string {
	peers := c.peers.Load()
	if peers == nil || len(*peers) == 0 || time.Now().UnixNano() < c.peerBackoffUntil.Load() {
		return nil
	}
	var chosen []string
	if peer := c.lastGoodPeer.Load(); peer != nil {
		chosen = append(chosen, *peer)
	}
	for range 2 * maxPeersPerCall {
		address := (*peers)[rand.IntN(len(*peers))]
		if len(chosen) < maxPeersPerCall && (len(chosen) == 0 || chosen[0] != address) {
			chosen = append(chosen, address)
		}
	}
	return chosen
}

// storeReachable reports whether the store serves this host at all. It probes the store
// unless another probe ended within probeResultTTL.
func (c *Client) storeReachable(ctx context.Context) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.probedAt) >= probeResultTTL {
		c.probeErr = c.probe(ctx)
		c.probedAt = time.Now()
	}
	return c.probeErr == nil
}

func (c *Client) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	return c.Probe(ctx)
}

// switchToPeers marks direct access as down and probes the store in the background until
// direct access works again.
func (c *Client) switchToPeers(ctx context.Context, cause error) {
	current := new(outage)
	current.ctx, current.end = context.WithCancel(context.Background())
	if !c.down.CompareAndSwap(nil, current) {
		current.end()
		return
	}
	c.OnDirectChange(true, cause)
	ctx = context.WithoutCancel(ctx)
	go func() {
		for {
			time.Sleep(probeInterval)
			if c.probe(ctx) == nil {
				c.down.Store(nil)
				current.end()
				c.peerBackoffUntil.Store(0)
				c.rateLimits.reset()
				c.OnDirectChange(false, nil)
				return
			}
		}
	}()
}
