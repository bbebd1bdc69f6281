// Package relay reaches a store that turns this host away and serves others: calls go
// through another host until the store serves this one again.
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
	// directTimeout bounds a direct call before another way is tried. A slow store
	// answers within 250 ms.
	directTimeout = 450 * time.Millisecond
	// relayTimeout bounds a call through another host, which has directTimeout itself.
	relayTimeout = 600 * time.Millisecond
	// probeTimeout bounds a probe. A slow store answers within 250 ms.
	probeTimeout = 350 * time.Millisecond
	// probeResultTTL is how long the result of a probe is used.
	probeResultTTL = 100 * time.Millisecond
	// probeInterval is the period at which the direct way is tried while it is down.
	probeInterval = 400 * time.Millisecond
	// peerBackoff is the time for which no other host is asked after those that were
	// asked could not reach the store either.
	peerBackoff = 300 * time.Millisecond
	// maxPeersPerCall is the number of other hosts that one call tries.
	maxPeersPerCall = 2
	// minRateLimitedCalls and refusedFor are the calls in a row that the store refused by its
	// rate, and their time, after which it counts as turning this host away. Under load
	// from all hosts some calls get through.
	minRateLimitedCalls    = 4
	minRateLimitedDuration = 500 * time.Millisecond
)

// PeerStore is the part of the store that can be relayed.
type PeerStore interface {
	Commit(ctx context.Context, c store.Commit) (version uint64, err error)
	Read(ctx context.Context, table, part, from string, limit int) (store.Range, error)
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (store.Range, error)
}

// Client calls the store directly, or through other hosts while that fails. It
// implements store.Client.
type Client struct {
	store.Client   // direct
	Probe          func(ctx context.Context) error
	Dial           func(address string) PeerStore
	OnDirectChange func(down bool, cause error) // the direct way was lost or regained

	peers            atomic.Pointer[[]string]
	lastGoodPeer     atomic.Pointer[string] // peer that answered last
	down             atomic.Bool
	peerBackoffUntil atomic.Int64 // Unix nanoseconds
	rateLimits       rateLimitStreak

	mu       sync.Mutex // held during a probe, so that one probe serves all that wait
	probedAt time.Time
	probeErr error
}

// SetPeers replaces the addresses of the other hosts.
func (c *Client) SetPeers(addresses []string) { c.peers.Store(&addresses) }

// HostCount returns the number of known hosts, this one included.
func (c *Client) HostCount() int {
	peers := c.peers.Load()
	if peers == nil {
		return 1
	}
	return 1 + len(*peers)
}

// Commit implements store.Client. It is safe to send a commit twice, because a second
// copy does not meet its conditions.
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

// call tries the direct way first unless it is down, then other hosts. The verdict is
// not run only if no try may have had an effect.
func (c *Client) call(ctx context.Context, wait time.Duration, do func(context.Context, PeerStore) error) error {
	var failures callErrors
	down := c.down.Load()
	if !down {
		err := callWithTimeout(ctx, directTimeout+wait, c.Client, do)
		if rateLimited(err) {
			if !c.rateLimits.add(time.Now()) {
				return err // more calls, through others too, would make it worse
			}
		} else if c.rateLimits.reset(); storeAnswered(err) || ctx.Err() != nil || c.storeReachable(ctx) {
			return err // the store serves this host, perhaps not this part of its data
		}
		c.switchToPeers(ctx, err)
		failures.add(err)
	}
	for _, address := range c.candidatePeers() {
		err := callWithTimeout(ctx, relayTimeout+wait, c.Dial(address), do)
		if storeAnswered(err) {
			c.lastGoodPeer.Store(&address)
			return err
		}
		failures.add(err)
		c.lastGoodPeer.Store(nil)
		c.peerBackoffUntil.Store(time.Now().Add(peerBackoff).UnixNano())
	}
	if down && ctx.Err() == nil {
		err := callWithTimeout(ctx, directTimeout+wait, c.Client, do)
		if storeAnswered(err) {
			return err
		}
		failures.add(err)
	}
	return failures.err()
}

// rateLimitStreak are the calls in a row that the store refused by its rate.
type rateLimitStreak struct {
	mu    sync.Mutex
	calls int
	since time.Time
}

// add reports whether the store turns this host away.
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

// callErrors joins the errors of the tries of one call.
type callErrors struct {
	first      error
	mayHaveRun bool
}

func (f *callErrors) add(err error) {
	if f.first == nil {
		f.first = err
	}
	f.mayHaveRun = f.mayHaveRun || verdict.Of(err) != verdict.NotRun
}

func (f *callErrors) err() error {
	v := verdict.NotRun
	if f.mayHaveRun {
		v = verdict.MayHaveRun
	}
	return verdict.Wrap(f.first, v, verdict.ReasonStoreUnavailable, "the store is not reachable, directly or through another host")
}

func callWithTimeout(ctx context.Context, timeout time.Duration, s PeerStore, do func(context.Context, PeerStore) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return do(ctx, s)
}

// storeAnswered reports whether the store itself answered.
func storeAnswered(err error) bool {
	var conflict *store.Conflict
	return err == nil || errors.As(err, &conflict) || errors.Is(err, store.ErrHistoryGone) ||
		verdict.ReasonOf(err) == verdict.ReasonBadAnswer
}

// candidatePeers returns the hosts to ask: the one that answered last, else random ones.
func (c *Client) candidatePeers() []string {
	peers := c.peers.Load()
	if peers == nil || len(*peers) == 0 || time.Now().UnixNano() < c.peerBackoffUntil.Load() {
		return nil
	}
	var chosen []string
	if good := c.lastGoodPeer.Load(); good != nil {
		chosen = append(chosen, *good)
	}
	for range 2 * maxPeersPerCall {
		address := (*peers)[rand.IntN(len(*peers))]
		if len(chosen) < maxPeersPerCall && (len(chosen) == 0 || chosen[0] != address) {
			chosen = append(chosen, address)
		}
	}
	return chosen
}

// storeReachable tells whether the store serves this host at all. A result is used for
// probeLife by all calls that failed.
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

// switchToPeers turns to other hosts and tries the direct way until it works again.
func (c *Client) switchToPeers(ctx context.Context, cause error) {
	if !c.down.CompareAndSwap(false, true) {
		return
	}
	c.OnDirectChange(true, cause)
	ctx = context.WithoutCancel(ctx)
	go func() {
		for {
			time.Sleep(probeInterval)
			if c.probe(ctx) == nil {
				c.down.Store(false)
				c.peerBackoffUntil.Store(0)
				c.rateLimits.reset()
				c.OnDirectChange(false, nil)
				return
			}
		}
	}()
}
