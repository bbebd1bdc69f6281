package settings_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/settings"
)

// TestDeploymentChanges guards against a changed setting that is not reported.
func TestDeploymentChanges(t *testing.T) {
	a := settings.Deployment{Host: "h", PeerPorts: [2]int{1, 2}, Bounds: settings.Bounds{OrderHandoverDelay: time.Second}}
	b := a
	require.Empty(t, a.Changes(b))
	b.PeerPorts[1], b.Bounds.OrderHandoverDelay = 3, 2*time.Second
	require.Equal(t, []string{"PeerPorts", "Bounds"}, a.Changes(b))
}
