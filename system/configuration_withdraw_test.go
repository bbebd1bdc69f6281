package system

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/table"
)

// TestWithdrawKeepsOtherChanges guards against a withdrawal that also removes
// another change to the same version, which may still be accepted, and against one
// that makes the current version pending again.
func TestWithdrawKeepsOtherChanges(t *testing.T) {
	tables := table.New(table.Self{})
	c := &tables.Config
	require.Nil(t, prepare(1, tables, "a", 5))
	require.Nil(t, prepare(2, tables, "b", 5))
	require.Nil(t, prepare(3, tables, "c", 4))
	withdraw(tables, "a")
	require.EqualValues(t, 5, c.Pending)
	withdraw(tables, "a")
	withdraw(tables, "unknown")
	require.EqualValues(t, 5, c.Pending)
	withdraw(tables, "b")
	require.EqualValues(t, 4, c.Pending)
	c.Version = 4
	require.Nil(t, prepare(4, tables, "d", 5))
	withdraw(tables, "d")
	require.Zero(t, c.Pending, "version 4 is the current version, so it must not be pending")
	require.Empty(t, c.Prepared)
}
