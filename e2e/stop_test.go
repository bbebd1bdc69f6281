package e2e

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPlannedStopInterruptsNoRequest guards against a graceful shutdown that cuts off a
// request in flight, refuses requests before the load balancer has noticed the stop,
// leaves the host ready, or ends early because of a second signal.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	d := deploy(t, 3)
	get := func(path string) reply { return d.call(0, "app", http.MethodGet, path, "") }
	status := func(code int) func(reply) bool { return func(r reply) bool { return r.status == code } }
	d.eventually(10*time.Second, func() reply { return get("/services/items/oak") }, status(http.StatusOK))
	for i := range 2 {
		d.setFault(fmt.Sprintf("service-%d", i+1), `{"slow_ms":7000}`)
	}
	slow := make(chan reply, 1)
	go func() { slow <- get("/services/items/slow") }()
	time.Sleep(300 * time.Millisecond)
	d.signal("entry-1", syscall.SIGTERM)
	d.eventually(time.Second, func() reply { return get("/readyz") }, status(http.StatusServiceUnavailable))
	for i := range 2 {
		d.setFault(fmt.Sprintf("service-%d", i+1), `{"slow_ms":0}`)
	}
	require.Equal(t, http.StatusOK, get("/services/items/oak").status, "the host refused a request before the load balancer could notice the stop")
	d.eventually(3*time.Second, func() reply { return get("/services/items/oak") }, status(http.StatusServiceUnavailable))
	d.signal("entry-1", syscall.SIGTERM)
	time.Sleep(3 * time.Second) // longer than the shutdown limit of the HTTP server
	require.Empty(t, slow, "the slow request must still be in flight")
	r := <-slow
	require.NoError(t, r.err)
	require.Equal(t, http.StatusOK, r.status, r.body)
	d.waitStopped("entry-1", 10*time.Second)
}
