package forward

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// leavingSender refuses each request with an answer that says that the server leaves.
type leavingSender struct {
	Sender
	sent []string
}

func (s *leavingSender) Send(_ context.Context, to *Target, _ *Request, _ time.Duration) (*Answer, error) {
	s.sent = append(s.sent, to.ID)
	to.Load.RecordLeaving()
	return nil, verdict.New(verdict.NotRun, verdict.ReasonBackendRefused, "refused")
}

func (s *leavingSender) OpenStream(ctx context.Context, to *Target, r *Request, _ int, remaining time.Duration) (Stream, error) {
	_, err := s.Send(ctx, to, r, remaining)
	return nil, err
}

// TestNothingIsSentToLeavingServers guards against a request or stream that is sent to a server
// that said that it leaves, as a last resort or before the next plan, and against a caller that
// waits until its deadline although all servers leave.
func TestNothingIsSentToLeavingServers(t *testing.T) {
	for _, kind := range []string{"plain", "stream", "resumed"} {
		s, plan := new(leavingSender), testPlan(2, 4)
		plan.Services["s"][0].Software, plan.Services["s"][1].Software = "v1", "v1"
		route, r := &plan.Desired.Routes[0], &Request{ID: "q", Host: "h", Path: "/x"}
		route.Timeout, route.Resumable = 5*time.Second, true
		if kind == "resumed" {
			r.Resumes, r.ResumeAfter = "p", 3
		}
		f := testForwarder(s, plan)
		f.Origins = knownOrigin{}
		for range 2 {
			start := time.Now()
			var err error
			if kind == "plain" {
				_, err = f.Forward(t.Context(), r)
			} else {
				err = f.ForwardStream(t.Context(), r, nil)
			}
			require.Equal(t, verdict.NotRun, verdict.Of(err), kind)
			require.Less(t, time.Since(start), time.Second, kind)
		}
		require.ElementsMatch(t, []string{"a", "b"}, s.sent, "%s: each server got one request", kind)
	}
}

type knownOrigin struct{ Origins }

func (knownOrigin) Find(context.Context, StreamID) (registry.Software, error) { return "v1", nil }

// leavingPermits grants permits of servers that say that they leave meanwhile.
type leavingPermits struct{ plan *Plan }

func (p *leavingPermits) Acquire(_ context.Context, r PermitRequest) Permit {
	for _, to := range p.plan.Services["s"] {
		if to.ID == r.Server {
			to.Load.RecordLeaving()
		}
	}
	return Permit{Granted: true}
}

// TestServerLeavesDuringWaitForPermit guards against a request that is sent to a server that
// said that it leaves while the request waited for a permit, and against a failure for it.
func TestServerLeavesDuringWaitForPermit(t *testing.T) {
	f, s, _ := limitedForwarder(2, map[string]Permit{"a": {}})
	f.Plans.Load().Services["s"][1].Load.Report(registry.Load{Running: 8}, time.Now()) // "a" is chosen first
	f.Permits = &leavingPermits{f.Plans.Load()}
	_, err := f.Forward(t.Context(), &Request{ID: "q", Host: "h", Path: "/x"})
	require.NoError(t, err)
	require.Equal(t, map[string]int{"b": 1}, s.sent)
	require.True(t, f.Plans.Load().Services["s"][0].Load.Leaving(), "a was chosen first")
}
