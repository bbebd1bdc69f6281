package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// TestRefusalsAreLoggedBounded guards against a log line for each connection of a flood.
func TestRefusalsAreLoggedBounded(t *testing.T) {
	r := &refusalLog{states: make(map[verdict.Reason]*refusalState)}
	now := time.Unix(1000, 0)
	require.Equal(t, 1, r.add(verdict.ReasonOverload, now), "the first is logged")
	for range 1000 {
		require.Zero(t, r.add(verdict.ReasonOverload, now.Add(time.Second)))
	}
	require.Equal(t, 1, r.add(verdict.ReasonMemory, now), "each reason has lines of its own")
	require.Equal(t, 1001, r.add(verdict.ReasonOverload, now.Add(refusalLogInterval)))
}
