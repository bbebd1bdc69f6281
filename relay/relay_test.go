package relay_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/relay"
	"github.com/lavenderstand/lavenderstand/standin/pamoja"
	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// hostView is the store as seen by one host. Calls fail if unavailable returns true for
// their partitions.
type hostView struct {
	*pamoja.Store
	unavailable func(parts ...string) bool
}

func (v *hostView) check(parts ...string) error {
	if v.unavailable(parts...) {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "unavailable")
	}
	return nil
}

func (v *hostView) Commit(ctx context.Context, c store.Commit) (uint64, error) {
	if err := v.check(c.Put[0].Part); err != nil {
		return 0, err
	}
	return v.Store.Commit(ctx, c)
}

func (v *hostView) Read(ctx context.Context, table, part, from string, limit int) (store.Range, error) {
	if err := v.check(part); err != nil {
		return store.Range{}, err
	}
	return v.Store.Read(ctx, table, part, from, limit)
}

func newClient(direct *hostView, peer relay.PeerStore) *relay.Client {
	c := &relay.Client{
		Client: direct, OnDirectChange: func(bool, error) {},
		Probe: func(ctx context.Context) error { _, err := direct.Read(ctx, "t", "", "", 1); return err },
		Dial:  func(string) relay.PeerStore { return peer },
	}
	c.SetPeers([]string{"peer"})
	return c
}

func put(part string) store.Commit {
	return store.Commit{Put: []store.Row{{Key: store.Key{Table: "t", Part: part, Name: "k"}}}}
}

// TestCallsGoThroughPeer guards against a host that fails because the store does not serve
// it, although the store serves other hosts, and against one that does not return to direct
// calls when the store serves it again.
func TestCallsGoThroughPeer(t *testing.T) {
	rows := pamoja.NewStore()
	var down atomic.Bool
	down.Store(true)
	direct := &hostView{Store: rows, unavailable: func(...string) bool { return down.Load() }}
	var served atomic.Int32
	c := newClient(direct, &hostView{Store: rows, unavailable: func(...string) bool { served.Add(1); return false }})
	_, err := c.Commit(context.Background(), put(""))
	require.NoError(t, err)
	require.EqualValues(t, 1, served.Load())
	down.Store(false)
	require.Eventually(t, func() bool {
		before := served.Load()
		_, err := c.Commit(context.Background(), put(""))
		return err == nil && served.Load() == before
	}, 5*time.Second, 20*time.Millisecond)
}

// TestCallEndsWithOutage guards against a call that goes on through a host that does not
// respond after the store serves this host again. A host that had been cut off from all others
// learned of removed servers up to 3 s late.
func TestCallEndsWithOutage(t *testing.T) {
	rows := pamoja.NewStore()
	var down atomic.Bool
	down.Store(true)
	direct := &hostView{Store: rows, unavailable: func(...string) bool { return down.Load() }}
	c := newClient(direct, silentPeer{})
	_, err := c.Commit(context.Background(), put(""))
	require.Error(t, err)
	time.Sleep(500 * time.Millisecond) // no longer than hosts are left alone after a failure
	time.AfterFunc(200*time.Millisecond, func() { down.Store(false) })
	rows.Set("t", "k", nil)
	start := time.Now()
	const wait = 5 * time.Second // of a read that is held while there are no changes
	_, err = c.Changes(context.Background(), "t", 0, wait)
	require.NoError(t, err)
	require.Less(t, time.Since(start), 2*time.Second)
}

// silentPeer is a host that does not respond.
type silentPeer struct{}

func (silentPeer) Commit(ctx context.Context, _ store.Commit) (uint64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func (silentPeer) Read(ctx context.Context, _, _, _ string, _ int) (store.Range, error) {
	<-ctx.Done()
	return store.Range{}, ctx.Err()
}

func (silentPeer) Changes(ctx context.Context, _ string, _ uint64, _ time.Duration) (store.Range, error) {
	<-ctx.Done()
	return store.Range{}, ctx.Err()
}

// TestUnavailablePartitionKeepsDirectAccess guards against the failure of one partition that
// makes a host send all its calls through other hosts. In a simulation, all submissions then
// failed.
func TestUnavailablePartitionKeepsDirectAccess(t *testing.T) {
	unavailable := func(parts ...string) bool { return parts[0] == "gone" }
	rows := pamoja.NewStore()
	relayed := 0
	c := newClient(&hostView{Store: rows, unavailable: unavailable}, &hostView{Store: rows, unavailable: func(...string) bool { relayed++; return true }})
	_, err := c.Commit(context.Background(), put("gone"))
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	_, err = c.Commit(context.Background(), put("there"))
	require.NoError(t, err)
	require.Zero(t, relayed)
}

// TestStoreUnavailableToAllHosts guards against the verdict "not run" for a write that one
// of the attempts may have carried out.
func TestStoreUnavailableToAllHosts(t *testing.T) {
	rows := pamoja.NewStore()
	all := func(...string) bool { return true }
	c := newClient(&hostView{Store: rows, unavailable: all}, &hostView{Store: rows, unavailable: all})
	_, err := c.Commit(context.Background(), put(""))
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	require.Equal(t, verdict.ReasonStoreUnavailable, verdict.ReasonOf(err))
}

// busyView is a store that refuses reads because of its rate limit while busy returns true.
type busyView struct {
	*pamoja.Store
	busy func() bool
}

func (v *busyView) Read(ctx context.Context, table, part, from string, limit int) (store.Range, error) {
	if v.busy() {
		return store.Range{}, verdict.New(verdict.NotRun, verdict.ReasonRateLimited, "busy")
	}
	return v.Store.Read(ctx, table, part, from, limit)
}

// TestRateLimitKeepsDirectAccess guards against hosts that respond to each refusal of a store
// at its rate limit with further calls: with 300 hosts, one refusal led to five probes and
// two calls through other hosts. It also guards against a host that keeps calling a store
// directly that refuses only this host.
func TestRateLimitKeepsDirectAccess(t *testing.T) {
	rows := pamoja.NewStore()
	calls, relayed := 0, 0
	busy := func() bool { calls++; return calls%3 != 0 }
	peer := &hostView{Store: rows, unavailable: func(...string) bool { relayed++; return false }}
	c := &relay.Client{
		Client: &busyView{rows, busy}, OnDirectChange: func(bool, error) {}, Dial: func(string) relay.PeerStore { return peer },
		Probe: func(context.Context) error { calls += 5; return nil },
	}
	c.SetPeers([]string{"peer"})
	start := time.Now()
	for tries := 0; time.Since(start) < time.Second; tries++ {
		_, _ = c.Read(context.Background(), "t", "", "", 1) // two of three are refused
		require.LessOrEqual(t, calls, tries+1)
		time.Sleep(10 * time.Millisecond)
	}
	require.Zero(t, relayed)

	c.Client = &busyView{rows, func() bool { return true }}
	c.Probe = func(context.Context) error { return verdict.New(verdict.NotRun, verdict.ReasonRateLimited, "busy") }
	require.Eventually(t, func() bool {
		_, err := c.Read(context.Background(), "t", "", "", 1)
		return err == nil && relayed > 0
	}, 5*time.Second, 20*time.Millisecond)
}
