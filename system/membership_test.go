package system_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
)

// TestPendingListReadDoesNotWakeTheLoop guards against a control loop that ticks at
// its minimum interval while a slow read of the host list is pending.
func TestPendingListReadDoesNotWakeTheLoop(t *testing.T) {
	tables := table.New(table.Self{})
	membership := system.Membership(time.Second)
	var out command.Outbox
	membership(0, tables, nil, &out)
	require.Equal(t, []command.Command{command.ReadHostList{}}, out.Take())
	membership(5*time.Second, tables, nil, &out)
	_, wakes := out.Deadline()
	require.False(t, wakes)
	require.Empty(t, out.Take())
	membership(6*time.Second, tables, []event.Event{event.HostListRead{}}, &out)
	require.Equal(t, []command.Command{command.ReadHostList{}}, out.Take())
}
