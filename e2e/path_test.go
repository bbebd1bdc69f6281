package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/platform"
	"github.com/lavenderstand/lavenderstand/standin"
)

// TestServiceCallPassesThroughEntry guards against a break anywhere on the path
// from host list to control loop, plan, traffic and backend server.
func TestServiceCallPassesThroughEntry(t *testing.T) {
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
	}))
	defer service.Close()
	list := echo.New()
	(&standin.HostList{Listed: []platform.ListedHost{{
		Name: "s1", Kind: "service", Model: "listing", Zone: "a", State: platform.StateLive,
		Address: strings.TrimPrefix(service.URL, "http://"),
	}}}).Register(list)
	hosts := httptest.NewServer(list)
	defer hosts.Close()

	address := "127.0.0.1:" + freePort(t)
	startEntry(t, fmt.Sprintf("[host]\nname='e1'\nzone='a'\n[listen]\nhttp='%s'\n[platform]\nhosts='%s'\n", address, hosts.URL))
	require.Eventually(t, func() bool {
		resp, err := http.Post("http://"+address+"/services/listing/claims", "text/plain", strings.NewReader("bundle"))
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		return resp.StatusCode == http.StatusOK && string(body) == "/claims bundle"
	}, 10*time.Second, 50*time.Millisecond)
}

func freePort(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(nil)
	defer s.Close()
	return s.URL[strings.LastIndex(s.URL, ":")+1:]
}

func startEntry(t *testing.T, settings string) {
	t.Helper()
	cmd := entryCommand(t, settings)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		require.NoError(t, cmd.Wait())
	})
}

func entryCommand(t *testing.T, settings string) *exec.Cmd {
	t.Helper()
	dir := t.TempDir()
	binary := filepath.Join(dir, "lavender-entry")
	build := exec.Command("go", "build", "-o", binary, "../cmd/lavender-entry")
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	path := filepath.Join(dir, "entry.toml")
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	cmd := exec.CommandContext(context.Background(), binary, "--settings", path)
	cmd.Stderr = os.Stderr
	return cmd
}
