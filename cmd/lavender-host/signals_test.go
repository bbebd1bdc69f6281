package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/platform"
)

const settingsText = `node=front-a-1
zone=a
ipAddress=127.0.0.1
listen.front=127.0.0.1:1
listen.ready=127.0.0.1:2
internalPorts=3,4
platform.address=127.0.0.1:5
platform.readsPerS=2000
bounds.graceS=8
`

// TestChangedSettingsAreUsed guards against a change of the settings file that is missed when
// no signal announces it, and against an invalid file that replaces valid settings.
func TestChangedSettingsAreUsed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.conf")
	write := func(text string) fileState {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return statFile(path)
	}
	before := write(settingsText)
	d, err := platform.ReadSettings(path)
	require.NoError(t, err)
	h := newHost(d)
	defer h.close()
	changed := strings.ReplaceAll(settingsText, "graceS=8", "graceS=12") + "bounds.leaseMs=4000\n"
	require.NotEqual(t, before, write(changed), "the state of the file must differ after a change")
	h.reload(path)
	require.Equal(t, 12*time.Second, h.currentSettings().Bounds.GracePeriod)
	require.Equal(t, 4*time.Second, h.currentSettings().Bounds.OrderHandoverDelay)
	write("node")
	h.reload(path)
	require.Equal(t, 12*time.Second, h.currentSettings().Bounds.GracePeriod)
	require.NoError(t, os.Remove(path))
	require.Equal(t, fileState{}, statFile(path))
}
