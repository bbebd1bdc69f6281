package e2e

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/platform"
	"github.com/lavenderstand/lavenderstand/standin"
)

// TestPlannedStopInterruptsNoRequest guards against a stop that cuts off a request
// in flight, refuses requests before the load balancer has noticed, stays ready,
// or is hurried by a second signal.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			arrived <- struct{}{}
			<-release
		}
		_, _ = io.WriteString(w, "done")
	}))
	defer service.Close()
	finish := sync.OnceFunc(func() { close(release) })
	defer finish() // a failed test must not wait for the slow request
	list := echo.New()
	(&standin.HostList{Listed: []platform.ListedHost{{
		Name: "s1", Kind: "service", Model: "listing", Zone: "a", State: platform.StateLive,
		Address: strings.TrimPrefix(service.URL, "http://"),
	}}}).Register(list)
	hosts := httptest.NewServer(list)
	defer hosts.Close()
	address := "127.0.0.1:" + freePort(t)
	cmd := runEntry(t, fmt.Sprintf("[host]\nname='e1'\nzone='a'\n[listen]\nhttp='%s'\n[platform]\nhosts='%s'\n[timing]\ndrain_delay_seconds=1\n", address, hosts.URL))
	get := func(path string) (int, string) {
		resp, err := http.Get("http://" + address + path)
		if err != nil {
			return 0, err.Error()
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return resp.StatusCode, fmt.Sprint(string(body), err)
	}
	eventually := func(path string, status int) {
		t.Helper()
		require.Eventually(t, func() bool { got, _ := get(path); return got == status }, 10*time.Second, 10*time.Millisecond)
	}
	eventually("/services/listing/fast", http.StatusOK)
	eventually("/readyz", http.StatusOK)
	slow := make(chan string, 1)
	go func() { _, body := get("/services/listing/slow"); slow <- body }()
	<-arrived
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	eventually("/readyz", http.StatusServiceUnavailable)
	status, _ := get("/services/listing/fast")
	require.Equal(t, http.StatusOK, status, "the load balancer has not noticed yet")
	eventually("/services/listing/fast", http.StatusServiceUnavailable)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(4 * time.Second) // longer than the server's own shutdown limit
	require.Empty(t, slow)
	finish()
	require.Equal(t, "done<nil>", <-slow)
	require.NoError(t, cmd.Wait())
}

func runEntry(t *testing.T, settings string) *exec.Cmd {
	t.Helper()
	cmd := entryCommand(t, settings)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return cmd
}
