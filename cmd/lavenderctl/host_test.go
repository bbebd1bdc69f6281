package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/status"
)

func runCtl(args ...string) (string, error) {
	var out bytes.Buffer
	root := newRoot(&out)
	root.SetArgs(args)
	err := root.Execute()
	return out.String(), err
}

// TestHostView guards against a view that omits what an operator needs during an incident:
// the order lease, the feeds and the owner of a lot.
func TestHostView(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/view" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(status.HostView{
			Host: "h1", DesiredVersion: 7, OrderLease: status.OrderLeaseView{Holder: "h2"},
			Feeds:   []status.FeedView{{Table: "servers", Down: true}},
			Servers: []status.ServerView{{ID: "i1", RequestLimit: 2.5}}, Quarantined: []string{"9fb"},
			Lots: []status.LotView{{ID: "l1", Owner: "h3", Listed: 2, Total: 4}},
		})
	}))
	defer server.Close()
	out, err := runCtl("host-view", strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	for _, want := range []string{"host h1", "desired state 7", `holder "h2"`, "feed servers: down true", `lot l1 of : owner "h3"`, "listed 2 of 4", "request limit 2.5/s", "content 9fb"} {
		require.Contains(t, out, want)
	}
	_, err = runCtl("host-view", "127.0.0.1:1")
	require.Equal(t, exitUnknown, exitCode(err))
}

// TestCheckPlatformSettings guards against an error in a file that is reported without its
// line and key.
func TestCheckPlatformSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.conf")
	good := "node=h1\nzone=z\nipAddress=10.0.0.1\nlisten.front=10.0.0.1:1\nlisten.ready=10.0.0.1:2\ninternalPorts=3,4\nplatform.address=10.0.0.2:5\n"
	require.NoError(t, os.WriteFile(path, []byte(good), 0o600))
	out, err := runCtl("check-settings", "--platform", path)
	require.NoError(t, err)
	require.Contains(t, out, "no faults (host h1, store 10.0.0.2:5)")
	require.NoError(t, os.WriteFile(path, []byte(good+"bounds.graceS=never\n"), 0o600))
	_, err = runCtl("check-settings", "--platform", path)
	require.ErrorContains(t, err, ":8: bounds.graceS:")
	require.Equal(t, exitError, exitCode(err))
}
