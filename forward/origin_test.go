package forward_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// origins is a forward.Origins in memory.
type origins map[forward.StreamID]registry.Software

func (o origins) Began(s forward.StreamID, v registry.Software) { o[s] = v }

func (o origins) Find(_ context.Context, s forward.StreamID) (registry.Software, error) {
	if v, ok := o[s]; ok {
		return v, nil
	}
	return "", verdict.New(verdict.NotRun, verdict.ReasonSoftwareUnknown, "not known")
}

// versionedStreams is a Sender that also records the servers of the streams.
type versionedStreams struct {
	streams
	servers []string
}

func (s *versionedStreams) OpenStream(ctx context.Context, to *forward.Target, r *forward.Request, after int, remaining time.Duration) (forward.Stream, error) {
	s.servers = append(s.servers, to.ID)
	return s.streams.OpenStream(ctx, to, r, after, remaining)
}

// newVersioned returns a forwarder for resumable streams, whose servers s1, s2 and s3 have the
// given software versions.
func newVersioned(s *versionedStreams, versions ...registry.Software) (*forward.Forwarder, origins) {
	f, _ := newForwarder(&s.sender, desired.KindStream)
	known := make(origins)
	f.Sender, f.Origins = s, known
	plan := f.Plans.Load()
	plan.Desired.Routes[0].Resumable = true
	for i, v := range versions {
		plan.Services["s"][i].Software = v
	}
	plan.Services["s"] = plan.Services["s"][:len(versions)]
	return f, known
}

func resumed(after int) *forward.Request {
	r := request()
	r.ID, r.Resumes, r.ResumeAfter = "q-2", "q", after
	return r
}

// TestStreamIsContinuedByItsSoftware guards against an answer with events of two software
// versions.
func TestStreamIsContinuedByItsSoftware(t *testing.T) {
	s := &versionedStreams{streams: streams{breakAt: []int{3, 0}}}
	f, known := newVersioned(s, "v1", "v2", "v1")
	w := &written{}
	require.NoError(t, f.ForwardStream(context.Background(), request(), w))
	require.Equal(t, "12345", w.events)
	require.Equal(t, []string{"s1", "s3"}, s.servers)
	require.Equal(t, origins{{Service: "s", Attempt: "q"}: "v1"}, known)
}

// TestStreamWithoutItsSoftwareEnds guards against a stream that waits for its deadline, or is
// reported as not run, when no server is left that can continue it.
func TestStreamWithoutItsSoftwareEnds(t *testing.T) {
	s := &versionedStreams{streams: streams{breakAt: []int{3, 0}}}
	f, _ := newVersioned(s, "v1", "v2")
	plan := f.Plans.Load()
	w := &leavingWriter{after: 2, leave: func() {
		left := *plan
		left.Services = map[string][]*forward.Target{"s": plan.Services["s"][1:]}
		f.Plans.Publish(&left)
	}}
	start := time.Now()
	err := f.ForwardStream(context.Background(), request(), w)
	require.Equal(t, verdict.ReasonSoftwareGone, verdict.ReasonOf(err))
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	require.Equal(t, "12", w.events)
	require.Less(t, time.Since(start), 500*time.Millisecond, "the timeout of the route is 1 s")
}

// leavingWriter calls leave after a number of events.
type leavingWriter struct {
	written
	after int
	leave func()
}

func (w *leavingWriter) Event(e forward.Event) error {
	if w.after--; w.after == 0 {
		w.leave()
	}
	return w.written.Event(e)
}

// TestCallerResumesStream guards against a stream that a caller resumes and that is begun anew, is
// continued by another software version, or is refused although its version is known.
func TestCallerResumesStream(t *testing.T) {
	s := &versionedStreams{streams: streams{breakAt: []int{0}}}
	f, known := newVersioned(s, "v1", "v2", "v1")
	known[forward.StreamID{Service: "s", Attempt: "q"}] = "v2"
	w := &written{}
	require.NoError(t, f.ForwardStream(context.Background(), resumed(2), w))
	require.Equal(t, "345", w.events)
	require.Equal(t, []string{"s2"}, s.servers)
	require.Equal(t, []int{2}, s.opened)
}

// TestResumedStreamIsRefused guards against a guess where the version of a stream is not known
// or has no server, and against a refusal that is held back.
func TestResumedStreamIsRefused(t *testing.T) {
	for reason, began := range map[verdict.Reason]registry.Software{verdict.ReasonSoftwareUnknown: "", verdict.ReasonSoftwareGone: "v0"} {
		s := &versionedStreams{}
		f, known := newVersioned(s, "v1", "v2")
		if began != "" {
			known[forward.StreamID{Service: "s", Attempt: "q"}] = began
		}
		start := time.Now()
		err := f.ForwardStream(context.Background(), resumed(2), &written{})
		require.Equal(t, reason, verdict.ReasonOf(err))
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Empty(t, s.servers)
		require.Less(t, time.Since(start), 500*time.Millisecond)
	}
}

// TestStreamThatCannotBeResumed guards against a second run of a stream that may run only once.
func TestStreamThatCannotBeResumed(t *testing.T) {
	s := &versionedStreams{}
	f, known := newVersioned(s, "v1")
	known[forward.StreamID{Service: "s", Attempt: "q"}] = "v1"
	f.Plans.Load().Desired.Routes[0].Resumable = false
	err := f.ForwardStream(context.Background(), resumed(2), &written{})
	require.Equal(t, verdict.ReasonBadRequest, verdict.ReasonOf(err))
	require.Empty(t, s.servers)
}

// TestNewVersionIsHeldBack guards against a stream that begins at a server whose version other
// hosts may not know, although another server is free, and against one that is refused because
// there is no other.
func TestNewVersionIsHeldBack(t *testing.T) {
	s := &versionedStreams{streams: streams{breakAt: []int{0, 0}}}
	f, _ := newVersioned(s, "v2", "v1")
	f.Plans.Load().Services["s"][0].AvoidNewStreams = true
	require.NoError(t, f.ForwardStream(context.Background(), request(), &written{}))
	f.Plans.Load().Services["s"] = f.Plans.Load().Services["s"][:1]
	require.NoError(t, f.ForwardStream(context.Background(), request(), &written{}))
	require.Equal(t, []string{"s2", "s1"}, s.servers)
}

// TestNewVersionWaitsUntilHostsKnowIt guards against a stream that begins at a version that
// other hosts do not know yet, because no server of an earlier one is left. A host that takes
// it up within a second would have continued it at the earlier version.
func TestNewVersionWaitsUntilHostsKnowIt(t *testing.T) {
	const hold = 100 * time.Millisecond
	s := &versionedStreams{streams: streams{breakAt: []int{0}}}
	f, _ := newVersioned(s, "v2")
	held := *f.Plans.Load()
	target := *held.Services["s"][0]
	target.AvoidNewStreams, target.HoldNewStreams = true, true
	released := f.Plans.Load()
	held.Services = map[string][]*forward.Target{"s": {&target}}
	f.Plans.Publish(&held)
	start := time.Now()
	time.AfterFunc(hold, func() { f.Plans.Publish(released) })
	require.NoError(t, f.ForwardStream(context.Background(), request(), &written{}))
	require.GreaterOrEqual(t, time.Since(start), hold)
	require.Len(t, s.servers, 1)
}

// TestSilentStreamIsCutOnlyForAnotherServer guards against a slow stream that is cut although
// the only other server has another software version.
func TestSilentStreamIsCutOnlyForAnotherServer(t *testing.T) {
	t.Parallel()
	const gap = 900 * time.Millisecond
	s := &timedStreams{gaps: [][]time.Duration{{0, gap, 0, 0, 0}}}
	f, _ := newForwarder(&s.sender, desired.KindStream)
	f.Sender = s
	plan := f.Plans.Load()
	plan.Desired.Routes[0].Resumable, plan.Desired.Routes[0].Timeout = true, 10*time.Second
	plan.Services["s"][1].Software, plan.Services["s"][2].Software = "v2", "v2"
	plan.Services["s"][0].Software = "v1"
	w := &written{}
	require.NoError(t, f.ForwardStream(context.Background(), request(), w))
	require.Equal(t, "12345", w.events)
	require.Equal(t, []int{0}, s.opened)
}
