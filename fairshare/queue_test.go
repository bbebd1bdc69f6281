package fairshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func served(q *Queue[string], n int, now time.Duration) (values []string) {
	for range min(n, q.Len()) {
		values = append(values, q.Pop(now).Value)
	}
	return values
}

// TestOrder guards against an order other than class, share, arrival, and against requests that
// cost their organisation a place although they were not served.
func TestOrder(t *testing.T) {
	fill := func(q *Queue[string]) (removed *Place[string]) {
		removed = q.Push(1, "a", "a0", 0)
		for i := range 3 {
			q.Push(1, "a", fmt.Sprint("a", i+1), 0)
		}
		q.Push(1, "b", "b1", 0)
		q.Push(0, "c", "c1", 0)
		return removed
	}
	q := new(Queue[string])
	removed := fill(q)
	require.Equal(t, 1, q.Ahead(0, "x"))
	require.Equal(t, 3, q.Ahead(1, "x"), "one of each organisation")
	require.Equal(t, 6, q.Ahead(1, "a"))
	q.Remove(removed, 0)
	q.Remove(removed, 0)
	require.Equal(t, 5, q.Len())
	require.Equal(t, []string{"c1", "a1", "b1"}, served(q, 3, 0))
	refused := q.Pop(0)
	require.Equal(t, "a2", refused.Value)
	q.Push(1, "b", "b2", 0)
	q.Return(refused, 0)
	require.Equal(t, []string{"a2", "b2", "a3"}, served(q, 5, 0))

	first := &Queue[string]{FirstCome: true}
	fill(first)
	require.Equal(t, []string{"a0", "a1", "a2", "a3", "b1", "c1"}, served(first, 6, 0))
}

// TestIdleOrganisation guards against a share that is kept while it is not used, and against an
// organisation that pays without bound for what others left.
func TestIdleOrganisation(t *testing.T) {
	q := new(Queue[string])
	q.Push(0, "b", "b", 0)
	for range 200 {
		q.Push(0, "a", "a", 0)
	}
	served(q, 100, 0)
	for range 10 {
		q.Push(0, "b", "b", time.Second)
	}
	count := map[string]int{}
	for _, v := range served(q, 12, time.Second) {
		count[v]++
	}
	require.GreaterOrEqual(t, count["a"], 4)
	require.GreaterOrEqual(t, count["b"], 6)
}

// TestBoundedState guards against state that grows with the names of organisations.
func TestBoundedState(t *testing.T) {
	q := new(Queue[string])
	for i := range 2 * maxFlows {
		q.Push(0, fmt.Sprint(i), "", 0)
	}
	require.LessOrEqual(t, len(q.flows), maxFlows+1)
	require.Len(t, served(q, 2*maxFlows, 0), 2*maxFlows)
	q.Remove(q.Push(0, "x", "", time.Minute), time.Minute)
	require.Len(t, q.flows, 1)
}

// TestWaitFollowsRate guards against a wait that does not follow from the rate of service, which
// is that of the organisation if others come before it.
func TestWaitFollowsRate(t *testing.T) {
	q, now := new(Queue[string]), time.Duration(0)
	require.Zero(t, q.Wait(0, "a", now))
	for i := range 100 {
		q.Push(0, "a", "a", now)
		q.Push(0, fmt.Sprint(i%10), "", now)
		now += 10 * time.Millisecond
		q.Pop(now)
	}
	require.InDelta(t, 10, float64(q.Wait(0, "new", now)/time.Millisecond)/float64(q.Ahead(0, "new")+1), 2)
	require.Greater(t, q.Wait(0, "a", now), 5*time.Second, "about a tenth of the rate, for 89 waiting requests")
	require.Greater(t, q.Wait(0, "new", now+time.Minute), 2*q.Wait(0, "new", now), "nothing is served any more")
}

// BenchmarkPushPop measures a request that waits beside 83 other organisations.
func BenchmarkPushPop(b *testing.B) {
	q := new(Queue[string])
	for i := range 83 {
		q.Push(0, fmt.Sprint(i), "", 0)
	}
	now := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond
		q.Wait(0, "large", now)
		q.Push(0, fmt.Sprint(i%83), "", now)
		q.Pop(now)
	}
}
