package system_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/event"
)

// TestHostsStayKnownDuringOutage guards against hosts that are no longer known
// because an outage prevented all hosts from renewing and reading rows.
func TestHostsStayKnownDuringOutage(t *testing.T) {
	w := newConfigWorld(5)
	w.run(22 * time.Second) // the newest renewals, at 15 s, have been read
	w.down = true
	w.run(10 * time.Minute)
	for _, n := range w.hosts[1:] {
		n.frozen = true // so that the rows are read before anyone renews them
	}
	w.down = false
	w.run(3 * time.Second)
	require.Equal(t, 4, w.hosts[0].tables.Hosts.Len())
}

// TestHostWithoutRenewalExpires guards against a dead host that remains known
// forever.
func TestHostWithoutRenewalExpires(t *testing.T) {
	w := newConfigWorld(5)
	w.run(20 * time.Second)
	w.hosts[4].frozen = true
	w.run(50 * time.Second)
	require.Equal(t, 4, w.hosts[0].tables.Hosts.Len())
	w.run(40 * time.Second)
	require.Equal(t, 3, w.hosts[0].tables.Hosts.Len())
}

// TestDrainDeletesOwnRow guards against a drained host that remains known, even if
// the store is down at the end of the drain.
func TestDrainDeletesOwnRow(t *testing.T) {
	w := newConfigWorld(3)
	w.run(20 * time.Second)
	w.hosts[2].tables.Self.Draining = true
	w.run(time.Second)
	require.False(t, w.hosts[2].tables.Config.Ready)
	require.Len(t, w.rows, 3)
	w.down = true
	w.send(w.hosts[2], 0, event.DrainFinished{})
	w.run(10 * time.Second)
	w.down = false
	w.run(10 * time.Second)
	require.True(t, w.hosts[2].tables.HostRowSync.Deleted)
	require.Len(t, w.rows, 2)
	require.Equal(t, 1, w.hosts[0].tables.Hosts.Len())
}
