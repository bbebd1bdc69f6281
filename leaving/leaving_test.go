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

// hosts count their calls. Calls of "silent" last until their timeout.
type hosts struct {
	mu            sync.Mutex
	calls         map[string]int
	running, most int
}

type receiver struct {
	*hosts
	address string
}

func (r receiver) Share(ctx context.Context, _ string, _ []registry.Start) ([]registry.Start, error) {
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
	return []registry.Start{{Server: "s1"}}, nil
}

// TestEachHostIsToldOnce guards against hosts that are told twice or not at all, against a burst
// of calls to all hosts at once, against one silent host that holds up the report, and against a
// new host that asks all hosts or none.
func TestEachHostIsToldOnce(t *testing.T) {
	h := &hosts{calls: make(map[string]int)}
	r := &leaving.Reporter{Self: "self", Dial: func(address string) leaving.Receiver { return receiver{h, address} }, OnFailure: func(string, error) {}}
	peers := map[string]string{"silent": "silent", "left": ""}
	for i := range 300 {
		peers[fmt.Sprint("h", i)] = fmt.Sprint("h", i)
	}
	r.SetPeers(peers)
	began := time.Now()
	r.Send(t.Context(), []registry.Start{{Server: "s1"}})
	require.Less(t, time.Since(began), time.Second)
	require.Len(t, h.calls, 301)
	for host, calls := range h.calls {
		require.Equal(t, 1, calls, host)
	}
	require.LessOrEqual(t, h.most, 32)
	clear(h.calls)
	require.NotEmpty(t, r.Ask(t.Context()))
	require.Len(t, h.calls, 3)
}
