package leaving_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/leaving"
	"github.com/lavenderstand/lavenderstand/registry"
)

// hosts are receivers that count calls. Calls of the host "silent" last until their timeout.
type hosts struct {
	mu            sync.Mutex
	calls         map[string]int
	running, most int
}

type receiver struct {
	*hosts
	address string
}

func (r receiver) Share(ctx context.Context, _ string, starts []registry.Start) ([]registry.Start, error) {
	r.mu.Lock()
	r.calls[r.address]++
	r.running++
	r.most = max(r.most, r.running)
	r.mu.Unlock()
	defer func() { r.mu.Lock(); r.running--; r.mu.Unlock() }()
	if r.address == "silent" {
		<-ctx.Done()
		return nil, errors.New("timeout")
	}
	time.Sleep(5 * time.Millisecond)
	if len(starts) == 0 {
		return []registry.Start{{Server: "s1", Address: "s1:1"}}, nil
	}
	return nil, nil
}

func newReporter(n int) (*leaving.Reporter, *hosts) {
	h := &hosts{calls: make(map[string]int)}
	r := &leaving.Reporter{
		Self: "self", Dial: func(address string) leaving.Receiver { return receiver{h, address} }, OnFailure: func(string, error) {},
	}
	peers := map[string]string{"silent": "silent", "left": ""}
	for i := range n {
		peers[fmt.Sprint("h", i)] = fmt.Sprint("h", i)
	}
	r.SetPeers(peers)
	return r, h
}

// TestEachHostIsToldOnce guards against hosts that are told twice or not at all, against a burst
// of calls to all hosts at once, and against one silent host that holds up the report.
func TestEachHostIsToldOnce(t *testing.T) {
	r, h := newReporter(300)
	began := time.Now()
	r.Send(t.Context(), []registry.Start{{Server: "s1", Address: "s1:1"}})
	require.Less(t, time.Since(began), time.Second)
	require.Len(t, h.calls, 301)
	for host, calls := range h.calls {
		require.Equal(t, 1, calls, host)
	}
	require.LessOrEqual(t, h.most, 32)
}

// TestFewHostsAreAsked guards against a new host that asks all hosts, or none.
func TestFewHostsAreAsked(t *testing.T) {
	r, h := newReporter(20)
	require.NotEmpty(t, r.Ask(t.Context()))
	require.Len(t, h.calls, 3)
}
