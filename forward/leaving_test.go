package forward

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/desired"
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
	for name, call := range map[string]func(*Forwarder) error{
		"plain": func(f *Forwarder) error {
			_, err := f.Forward(t.Context(), &Request{ID: "q", Host: "h", Path: "/x"})
			return err
		},
		"stream": func(f *Forwarder) error {
			return f.ForwardStream(t.Context(), &Request{ID: "q", Host: "h", Path: "/x"}, nil)
		},
		"resumed stream": func(f *Forwarder) error {
			return f.ForwardStream(t.Context(), &Request{ID: "q", Host: "h", Path: "/x", Resumes: "p", ResumeAfter: 3}, nil)
		},
	} {
		s, plan := new(leavingSender), testPlan(2, 4)
		plan.Desired.Routes[0].Timeout = 5 * time.Second
		if name != "plain" {
			plan.Desired.Routes[0].Kind, plan.Desired.Routes[0].Resumable = desired.KindStream, true
		}
		for _, to := range plan.Services["s"] {
			to.Software = "v1"
		}
		f := testForwarder(s, plan)
		f.Origins = knownOrigin{}
		for range 2 {
			start := time.Now()
			err := call(f)
			require.Equal(t, verdict.NotRun, verdict.Of(err), name)
			require.Less(t, time.Since(start), time.Second, name)
		}
		require.ElementsMatch(t, []string{"a", "b"}, s.sent, "%s: each server got one request", name)
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
