package forward_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// usageCounts collects what a forwarder reports as begun.
type usageCounts struct {
	mu  sync.Mutex
	sum int64
}

func (u *usageCounts) began(_ string, _ time.Duration, delta int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sum += delta
}

// TestRequestCountsOnce guards against requests that count once for each attempt, or although no
// server ran them, and against requests that count only when they are answered.
func TestRequestCountsOnce(t *testing.T) {
	refused := verdict.New(verdict.NotRun, verdict.ReasonBackendRefused, "full")
	lost := verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "lost")
	ok := &forward.Answer{Status: 200}
	for name, test := range map[string]struct {
		reply        func(s *sender, u *usageCounts) func(context.Context, string, int) (*forward.Answer, error)
		organisation string
		background   bool
		sum          int64
	}{
		"answered":        {answers(ok, nil), "a", false, 1},
		"no organisation": {answers(ok, nil), "", false, 0},
		"background":      {answers(ok, nil), "a", true, 0},
		"refused by all":  {answers(nil, refused), "a", false, 0},
		"lost by all":     {answers(nil, lost), "a", false, 1},
		"refused first": {func(*sender, *usageCounts) func(context.Context, string, int) (*forward.Answer, error) {
			return func(_ context.Context, _ string, n int) (*forward.Answer, error) {
				if n < 3 {
					return nil, refused
				}
				return ok, nil
			}
		}, "a", false, 1},
		"hedged": {func(s *sender, u *usageCounts) func(context.Context, string, int) (*forward.Answer, error) {
			return func(ctx context.Context, _ string, n int) (*forward.Answer, error) {
				if n == 1 {
					u.mu.Lock()
					defer u.mu.Unlock()
					require.Equal(t, int64(1), u.sum, "counted before the answer")
					return s.wait(ctx)
				}
				return ok, nil
			}
		}, "a", false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s, u := new(sender), new(usageCounts)
			s.reply = test.reply(s, u)
			f, _ := newForwarder(s, desired.KindIdempotent)
			start := time.Now()
			f.Began, f.Now = u.began, func() time.Duration { return time.Since(start) }
			r := request()
			r.Organisation, r.Background = test.organisation, test.background
			_, _ = f.Forward(t.Context(), r)
			u.mu.Lock()
			defer u.mu.Unlock()
			require.Equal(t, test.sum, u.sum)
		})
	}
}

func answers(a *forward.Answer, err error) func(*sender, *usageCounts) func(context.Context, string, int) (*forward.Answer, error) {
	return func(*sender, *usageCounts) func(context.Context, string, int) (*forward.Answer, error) {
		return func(context.Context, string, int) (*forward.Answer, error) { return a, err }
	}
}

// TestResumedStreamCountsOnce guards against a stream that counts again for each server that
// continues it.
func TestResumedStreamCountsOnce(t *testing.T) {
	s, u := &streams{breakAt: []int{3, 0}}, new(usageCounts)
	f, _ := newForwarder(&s.sender, desired.KindStream)
	f.Sender, f.Began, f.Now = s, u.began, func() time.Duration { return time.Second }
	f.Plans.Load().Desired.Routes[0].Resumable = true
	r := request()
	r.Organisation = "a"
	require.NoError(t, f.ForwardStream(t.Context(), r, new(written)))
	require.Len(t, s.opened, 2)
	require.Equal(t, int64(1), u.sum)
}
