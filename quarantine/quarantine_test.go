package quarantine_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/quarantine"
	"github.com/lavenderstand/lavenderstand/standin/pamoja"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// inboxes records the reports that each host receives.
type inboxes struct {
	mu       sync.Mutex
	received map[string][]quarantine.Report
	silent   string // host that does not answer
}

type inbox struct {
	all  *inboxes
	host string
}

func (i inbox) Report(_ context.Context, r quarantine.Report) error {
	i.all.mu.Lock()
	defer i.all.mu.Unlock()
	if i.host == i.all.silent {
		return errors.New("no answer")
	}
	i.all.received[i.host] = append(i.all.received[i.host], r)
	return nil
}

// TestReportsReachTheHostsConcerned guards against a quarantine that some hosts do not learn
// of, and against reports to all hosts for each request that was in flight at a server.
func TestReportsReachTheHostsConcerned(t *testing.T) {
	all := &inboxes{received: make(map[string][]quarantine.Report), silent: "host-3"}
	var failed []string
	var mu sync.Mutex
	r := &quarantine.Reporter{
		Self: "self", Dial: func(address string) quarantine.Receiver { return inbox{all, address} },
		OnFailure: func(host string, _ error) {
			mu.Lock()
			defer mu.Unlock()
			failed = append(failed, host)
		},
	}
	peers := make(map[string]string)
	for i := range 100 {
		peers[fmt.Sprintf("host-%d", i)] = fmt.Sprintf("host-%d", i)
	}
	r.Send(context.Background(), quarantine.Report{Content: "c"}) // no peers yet
	r.SetPeers(peers)
	r.Send(context.Background(), quarantine.Report{Content: "c", Server: "s"})
	require.LessOrEqual(t, len(all.received), 2)
	require.NotEmpty(t, all.received)
	r.Send(context.Background(), quarantine.Report{Content: "c", Server: "s", Quarantined: true})
	require.Len(t, all.received, 99)
	require.Contains(t, failed, "host-3")
}

// TestRowsAreCreatedOnce guards against a row that a late write creates again, and against
// rows that hosts do not recognize.
func TestRowsAreCreatedOnce(t *testing.T) {
	store, ctx := pamoja.NewStore(), context.Background()
	require.NoError(t, quarantine.Write(ctx, store, "c", 0, false))
	rows, err := store.Read(ctx, lot.TableCoordination, "", "", 0)
	require.NoError(t, err)
	require.Len(t, rows.Rows, 1)
	require.Equal(t, "c", quarantine.Content(rows.Rows[0]))
	require.Equal(t, verdict.ReasonConflict, verdict.ReasonOf(quarantine.Write(ctx, store, "c", 0, false)))
	require.NoError(t, quarantine.Write(ctx, store, "c", rows.Rows[0].Version, true))
	rows, err = store.Read(ctx, lot.TableCoordination, "", "", 0)
	require.NoError(t, err)
	require.Empty(t, rows.Rows)
}
