package forward_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// streams is a Sender that opens streams of five events, which may break early.
type streams struct {
	sender
	breakAt []int // by stream: position in the stream of the event in place of which it breaks, 0 for a complete stream
	opened  []int // by stream: id of the event after which it was opened
}

func (s *streams) OpenStream(_ context.Context, _ *forward.Target, _ *forward.Request, after int, _ time.Duration) (forward.Stream, error) {
	n := len(s.opened)
	s.opened = append(s.opened, after)
	return &fakeStream{next: after + 1, left: s.breakAt[n]}, nil
}

type fakeStream struct{ next, left int }

func (f *fakeStream) Header() http.Header         { return http.Header{"Response-Stamp": {"s"}} }
func (f *fakeStream) Version() registry.Version   { return 1 }
func (f *fakeStream) Load() (registry.Load, bool) { return registry.Load{}, false }
func (f *fakeStream) Close()                      {}
func (f *fakeStream) Next() (forward.Event, error) {
	if f.next > 5 {
		return forward.Event{}, forward.ErrStreamEnd
	}
	if f.left == 1 {
		return forward.Event{}, lost()
	}
	f.left--
	f.next++
	return forward.Event{ID: f.next - 1, Raw: []byte(strconv.Itoa(f.next - 1))}, nil
}

// written is a StreamWriter that records its calls.
type written struct {
	beginCalls int // number of calls of Begin
	events     string
}

func (w *written) Begin(http.Header)           { w.beginCalls++ }
func (w *written) Event(e forward.Event) error { w.events += string(e.Raw); return nil }

// forwardStream forwards a stream whose attempts break as specified by breakAt.
func forwardStream(resumable bool, breakAt ...int) (*written, *streams, error) {
	s := &streams{breakAt: breakAt}
	f, _ := newForwarder(&s.sender, desired.KindStream)
	f.Sender = s
	f.Plans.Load().Desired.Routes[0].Resumable = resumable
	w := &written{}
	err := f.ForwardStream(context.Background(), request(), w)
	return w, s, err
}

// TestBrokenStreamIsResumed guards against missing or duplicate events after a stream broke,
// and against a response that is started twice.
func TestBrokenStreamIsResumed(t *testing.T) {
	w, s, err := forwardStream(true, 3, 2, 0)
	require.NoError(t, err)
	require.Equal(t, "12345", w.events)
	require.Equal(t, 1, w.beginCalls)
	require.Equal(t, []int{0, 2, 3}, s.opened)
}

// TestNonResumableStreamEnds guards against a second run of a stream that may run only once.
func TestNonResumableStreamEnds(t *testing.T) {
	w, s, err := forwardStream(false, 3)
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	require.Equal(t, "12", w.events)
	require.Len(t, s.opened, 1)
}

// timedStream sends an event after each gap, and then waits until it is closed.
type timedStream struct {
	fakeStream
	gaps   []time.Duration
	closed chan struct{}
	once   sync.Once
}

func (s *timedStream) Close() { s.once.Do(func() { close(s.closed) }) }

func (s *timedStream) Next() (forward.Event, error) {
	gap := time.Hour
	if len(s.gaps) > 0 {
		gap, s.gaps = s.gaps[0], s.gaps[1:]
	} else if s.next > 5 {
		return forward.Event{}, forward.ErrStreamEnd
	}
	select {
	case <-s.closed:
		return forward.Event{}, lost()
	case <-time.After(gap):
	}
	s.next++
	return forward.Event{ID: s.next - 1, Raw: []byte(strconv.Itoa(s.next - 1))}, nil
}

// timedStreams is a Sender of timedStreams.
type timedStreams struct {
	sender
	gaps   [][]time.Duration // by stream
	opened []int
}

func (s *timedStreams) OpenStream(_ context.Context, _ *forward.Target, _ *forward.Request, after int, _ time.Duration) (forward.Stream, error) {
	n := len(s.opened)
	s.opened = append(s.opened, after)
	return &timedStream{fakeStream: fakeStream{next: after + 1}, gaps: s.gaps[n], closed: make(chan struct{})}, nil
}

func forwardTimedStream(resumable bool, timeout time.Duration, gaps ...[]time.Duration) (*written, *timedStreams, error) {
	s := &timedStreams{gaps: gaps}
	f, _ := newForwarder(&s.sender, desired.KindStream)
	f.Sender = s
	route := &f.Plans.Load().Desired.Routes[0]
	route.Resumable, route.Timeout, route.MaxAttempts = resumable, timeout, 2
	w := &written{}
	return w, s, f.ForwardStream(context.Background(), request(), w)
}

// TestSlowSoundStreamIsNotCut guards against a stream that is cut because its events are far
// apart, although no other server could continue it.
func TestSlowSoundStreamIsNotCut(t *testing.T) {
	t.Parallel()
	const gap = 900 * time.Millisecond
	w, s, err := forwardTimedStream(false, 10*time.Second, []time.Duration{gap, 0, gap, 0, 0})
	require.NoError(t, err)
	require.Equal(t, "12345", w.events)
	require.Len(t, s.opened, 1)

	w, s, err = forwardTimedStream(true, 10*time.Second, []time.Duration{0, gap}, []time.Duration{0, gap, 0, 0})
	require.NoError(t, err, "the last attempt is not cut")
	require.Equal(t, "12345", w.events)
	require.Equal(t, []int{0, 1}, s.opened)
}

// TestStalledStreamEnds guards against a stream that never ends because its server sends
// no further event.
func TestStalledStreamEnds(t *testing.T) {
	t.Parallel()
	for _, resumable := range []bool{false, true} {
		start := time.Now()
		_, _, err := forwardTimedStream(resumable, 1500*time.Millisecond, []time.Duration{0, time.Hour}, []time.Duration{time.Hour})
		require.Error(t, err)
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
		require.InDelta(t, 1500, time.Since(start).Milliseconds(), 300, "the stream ends at its deadline")
	}
}

// TestStreamBeginsWithItsFirstEvent guards against a response that has begun, and therefore can
// only be cut off, although no server has sent an event, and against one whose header belongs to
// a server that sent none of its events.
func TestStreamBeginsWithItsFirstEvent(t *testing.T) {
	w, _, err := forwardStream(false, 1)
	require.Error(t, err)
	require.Zero(t, w.beginCalls)
	w, _, err = forwardStream(true, 1, 0)
	require.NoError(t, err)
	require.Equal(t, 1, w.beginCalls)
	require.Equal(t, "12345", w.events)
}
