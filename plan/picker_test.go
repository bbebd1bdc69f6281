package plan

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

func newPool(n int) *Pool {
	pool := &Pool{Next: new(atomic.Uint64)}
	for i := range n {
		pool.Backends = append(pool.Backends, Backend{
			Name: fmt.Sprintf("b%d", i), Zone: string(rune('a' + i%3)), Version: 1,
			Report: Report{Running: i % 7, Slots: 8}, Counters: new(Counters),
		})
	}
	return pool
}

var policies = []RoutingPolicy{RoundRobin, LeastReported, LeastCorrected}

// TestPickSkipsExcludedBackends guards against picking a backend that the request has
// already tried, against a second concurrent probe and against training requests beyond
// their share of slots.
func TestPickSkipsExcludedBackends(t *testing.T) {
	for _, policy := range policies {
		p, pool := &Plan{Routing: policy, Hosts: 1}, newPool(4)
		pool.Backends[1].Probe = true
		require.True(t, p.Begin(&pool.Backends[1], &Query{}))
		require.False(t, p.Begin(&pool.Backends[1], &Query{}))
		pool.Backends[2].Counters.TrainingInFlight.Store(4)
		for range 100 {
			q := &Query{Tried: []string{"b0"}, Random: rand.Uint64(), Training: true, TrainingShare: 0.5}
			require.Equal(t, "b3", p.Pick(pool, q).Name, policy)
		}
		require.False(t, p.Begin(&pool.Backends[2], &Query{Training: true, TrainingShare: 0.5}))
		require.EqualValues(t, 4, pool.Backends[2].Counters.TrainingInFlight.Load())
		p.End(&pool.Backends[1], &Query{})
		require.Nil(t, p.Pick(pool, &Query{Tried: []string{"b0", "b1", "b2", "b3"}}))
		require.Nil(t, p.Pick(&Pool{Next: new(atomic.Uint64)}, &Query{}))
	}
}

// TestCorrectedCountsOwnRequests guards against sending every request to the server that
// was idle at the last report, and against treating a server that stopped reporting as
// still idle.
func TestCorrectedCountsOwnRequests(t *testing.T) {
	p, pool := &Plan{Routing: LeastCorrected, Hosts: 2}, newPool(2)
	pool.Backends[0].Zone, pool.Backends[1].Zone = "a", "a"
	pool.Backends[1].Report.Running = 3
	q := &Query{Zone: "a", Random: 1}
	require.Equal(t, "b0", p.Pick(pool, q).Name)
	pool.Backends[0].Counters.Sent.Store(2) // counts as 2 requests from each of the 2 hosts
	require.Equal(t, "b1", p.Pick(pool, q).Name)
	pool.Backends[0].Counters.Done.Store(2)
	pool.Backends[0].SentAtReport = 2
	require.Equal(t, "b0", p.Pick(pool, q).Name)
	pool.Backends[0].Stale = true
	require.Equal(t, "b1", p.Pick(pool, q).Name)
}

// TestCorrectedPrefersCachedPrefix guards against ignoring the set of cached prefixes.
func TestCorrectedPrefersCachedPrefix(t *testing.T) {
	p, pool := &Plan{Routing: LeastCorrected}, newPool(2)
	pool.Backends[1].Prefixes = &PrefixSet{Hashes: map[uint64]struct{}{1: {}, 2: {}}}
	require.Equal(t, "b1", p.Pick(pool, &Query{Zone: "a", Hashes: []uint64{1, 2}}).Name)
	require.Equal(t, "b0", p.Pick(pool, &Query{Zone: "a", Hashes: []uint64{3, 4}}).Name)
}

// TestPickDoesNotAllocate guards against heap allocations on every request.
func TestPickDoesNotAllocate(t *testing.T) {
	pool := newPool(100)
	for _, policy := range policies {
		p, q := &Plan{Routing: policy}, &Query{Zone: "a", Hashes: []uint64{1, 2, 3}, Tried: []string{"b7"}, Random: 99}
		require.Zero(t, testing.AllocsPerRun(100, func() { p.Pick(pool, q) }), policy)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, policy := range policies {
		for _, n := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("%s/%d", policy, n), func(b *testing.B) {
				p, pool, q := &Plan{Routing: policy, Hosts: 10}, newPool(n), &Query{Zone: "a", Hashes: []uint64{1, 2, 3}}
				random := rand.New(rand.NewPCG(1, 2))
				b.ReportAllocs()
				for b.Loop() {
					q.Random = random.Uint64()
					p.Pick(pool, q)
				}
			})
		}
	}
}
