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

// hostView is the store as one host reaches it.
type hostView struct {
	*pamoja.Store
	away func(parts ...string) bool
}

func (v *hostView) lost(parts ...string) error {
	if v.away(parts...) {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "away")
	}
	return nil
}

func (v *hostView) Commit(ctx context.Context, c store.Commit) (uint64, error) {
	if err := v.lost(c.Put[0].Part); err != nil {
		return 0, err
	}
	return v.Store.Commit(ctx, c)
}

func (v *hostView) Read(ctx context.Context, table, part, from string, limit int) (store.Range, error) {
	if err := v.lost(part); err != nil {
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

// TestOtherHostIsAsked guards against a host that stops because the store turns only
// that host away, and one that does not return to the direct way.
func TestOtherHostIsAsked(t *testing.T) {
	rows := pamoja.NewStore()
	var away atomic.Bool
	away.Store(true)
	direct := &hostView{Store: rows, away: func(...string) bool { return away.Load() }}
	var served atomic.Int32
	c := newClient(direct, &hostView{Store: rows, away: func(...string) bool { served.Add(1); return false }})
	_, err := c.Commit(context.Background(), put(""))
	require.NoError(t, err)
	require.EqualValues(t, 1, served.Load())
	away.Store(false)
	require.Eventually(t, func() bool {
		before := served.Load()
		_, err := c.Commit(context.Background(), put(""))
		return err == nil && served.Load() == before
	}, 5*time.Second, 20*time.Millisecond)
}

// TestPartThatIsAwayForAllLeavesTheDirectWay guards against a failure of one part of
// the store that turns every call of the host to others: in a played day all
// submissions then failed.
func TestPartThatIsAwayForAllLeavesTheDirectWay(t *testing.T) {
	away := func(parts ...string) bool { return parts[0] == "gone" }
	rows := pamoja.NewStore()
	asked := 0
	c := newClient(&hostView{Store: rows, away: away}, &hostView{Store: rows, away: func(...string) bool { asked++; return true }})
	_, err := c.Commit(context.Background(), put("gone"))
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	_, err = c.Commit(context.Background(), put("there"))
	require.NoError(t, err)
	require.Zero(t, asked)
}

// TestAllAway guards against "not run" for a write that may have been carried out on
// one of the ways.
func TestAllAway(t *testing.T) {
	rows := pamoja.NewStore()
	all := func(...string) bool { return true }
	c := newClient(&hostView{Store: rows, away: all}, &hostView{Store: rows, away: all})
	_, err := c.Commit(context.Background(), put(""))
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	require.Equal(t, verdict.ReasonStoreUnavailable, verdict.ReasonOf(err))
}

// busyView is a store that refuses calls by its rate.
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

// TestRefusalByRateLeavesTheDirectWay guards against hosts that answer each refusal of a
// store at its limit with further calls (a site of 300 hosts: one refusal led to five
// probes and two calls through others), and against one that stays with a store which
// refuses this host only.
func TestRefusalByRateLeavesTheDirectWay(t *testing.T) {
	rows := pamoja.NewStore()
	calls, relayed := 0, 0
	every := func() bool { calls++; return calls%3 != 0 }
	peer := &hostView{Store: rows, away: func(...string) bool { relayed++; return false }}
	c := &relay.Client{
		Client: &busyView{rows, every}, OnDirectChange: func(bool, error) {}, Dial: func(string) relay.PeerStore { return peer },
		Probe: func(context.Context) error { calls += 5; return nil },
	}
	c.SetPeers([]string{"peer"})
	begun := time.Now()
	for tries := 0; time.Since(begun) < time.Second; tries++ {
		_, _ = c.Read(context.Background(), "t", "", "", 1) // most are refused
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
