package forward

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// crashingSender loses the connection of each attempt.
type crashingSender struct {
	Sender
	mu   sync.Mutex
	sent []string // servers
}

func (s *crashingSender) Send(_ context.Context, to *Target, _ *Request, _ time.Duration) (*Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, to.ID)
	return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "connection lost")
}

func (s *crashingSender) OpenStream(ctx context.Context, to *Target, r *Request, _ int, remaining time.Duration) (Stream, error) {
	_, err := s.Send(ctx, to, r, remaining)
	return nil, err
}

func crashForwarder(ended bool) (*Forwarder, *crashingSender, *[]Outcome) {
	s := new(crashingSender)
	f := testForwarder(s, testPlan(5, 4))
	f.ServerEnded = func(context.Context, *Target) bool { return ended }
	outcomes := new([]Outcome)
	f.Report = func(o Outcome) { *outcomes = append(*outcomes, o) }
	return f, s, outcomes
}

func deadlyRequest() *Request {
	return &Request{ID: "q", Method: "POST", Host: "h", Path: "/x", Target: "/x", Body: []byte("b")}
}

// TestRequestStopsAfterTwoServersEnded guards against a request that ends as many servers as
// its route allows attempts.
func TestRequestStopsAfterTwoServersEnded(t *testing.T) {
	f, s, outcomes := crashForwarder(true)
	_, err := f.Forward(context.Background(), deadlyRequest())
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err), "it has run")
	require.Equal(t, verdict.ReasonQuarantined, verdict.ReasonOf(err))
	require.Len(t, s.sent, 2)
	require.NotEqual(t, s.sent[0], s.sent[1])
	last := (*outcomes)[1]
	require.True(t, last.Ended)
	require.Equal(t, 2, last.EndedServers)
	require.Equal(t, deadlyRequest().Fingerprint(), last.Content)
}

// TestStreamStopsAfterTwoServersEnded guards against a stream that ends as many servers as its
// route allows attempts.
func TestStreamStopsAfterTwoServersEnded(t *testing.T) {
	f, s, outcomes := crashForwarder(true)
	f.Plans.Load().Desired.Routes[0].Resumable = true
	err := f.ForwardStream(context.Background(), deadlyRequest(), nil)
	require.Equal(t, verdict.ReasonQuarantined, verdict.ReasonOf(err))
	require.Len(t, s.sent, 2)
	require.Equal(t, 2, (*outcomes)[1].EndedServers)
}

// TestLostAnswersAreNoCrashes guards against a request that is given up early because servers
// that live lost its answers.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	f, s, outcomes := crashForwarder(false)
	_, err := f.Forward(context.Background(), deadlyRequest())
	require.Equal(t, verdict.ReasonConnectionLost, verdict.ReasonOf(err))
	require.Len(t, s.sent, 3, "all attempts of the route")
	require.False(t, slices.ContainsFunc(*outcomes, func(o Outcome) bool { return o.Ended }))
}

// TestQuarantinedRequestReachesNoServer guards against copies of a request that crashes
// servers, which come to hosts under new ids.
func TestQuarantinedRequestReachesNoServer(t *testing.T) {
	f, s, _ := crashForwarder(false)
	f.Quarantine.Publish(map[string]bool{deadlyRequest().Fingerprint(): true})
	r := deadlyRequest()
	r.ID = "another id"
	_, err := f.Forward(context.Background(), r)
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Equal(t, verdict.ReasonQuarantined, verdict.ReasonOf(err))
	_, stated := verdict.RetryAfter(err)
	require.True(t, stated)
	require.Empty(t, s.sent)

	err = f.ForwardStream(context.Background(), deadlyRequest(), nil)
	require.Equal(t, verdict.ReasonQuarantined, verdict.ReasonOf(err), "stream")

	r.Background = true
	_, _ = f.Forward(context.Background(), r) // fails like any other
	require.NotEmpty(t, s.sent, "what belongs to an item is owed")
}

// TestFingerprintTellsContentsApart guards against contents that are taken for another.
func TestFingerprintTellsContentsApart(t *testing.T) {
	seen := map[string]bool{deadlyRequest().Fingerprint(): true}
	for name, change := range map[string]func(*Request){
		"method": func(r *Request) { r.Method = "PUT" }, "host": func(r *Request) { r.Host = "h2" },
		"query": func(r *Request) { r.Target = "/x?a" }, "organisation": func(r *Request) { r.Organisation = "o" },
		"body": func(r *Request) { r.Body = []byte("b2") }, "part of another field": func(r *Request) { r.Host, r.Target = "h/", "x" },
	} {
		r := deadlyRequest()
		change(r)
		require.False(t, seen[r.Fingerprint()], name)
		seen[r.Fingerprint()] = true
	}
	r := deadlyRequest()
	r.ID, r.Deadline = "another id", time.Now()
	require.True(t, seen[r.Fingerprint()])
}

// TestOthersAvoidServerWithSuspect guards against requests that are lost with the server on
// which a request runs that has ended another server.
func TestOthersAvoidServerWithSuspect(t *testing.T) {
	p := testPlan(2, 4)
	p.Services["s"][0].Load.suspects.Add(1)
	p.Services["s"][1].Load.InFlight.Add(3)
	ch := chooser{now: time.Now(), random: func() float64 { return 0 }}
	require.Equal(t, "b", ch.choose(p, "s").target.ID)
}
