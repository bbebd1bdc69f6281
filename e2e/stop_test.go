package e2e

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPlannedStopInterruptsNoRequest guards against a stop that cuts off a
// request in flight, refuses requests before the load balancer has noticed,
// stays ready, or is hurried by a second signal.
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
	require.Equal(t, http.StatusOK, get("/services/items/oak").status, "the load balancer has not noticed yet")
	d.eventually(3*time.Second, func() reply { return get("/services/items/oak") }, status(http.StatusServiceUnavailable))
	d.signal("entry-1", syscall.SIGTERM)
	time.Sleep(3 * time.Second) // longer than the server's own shutdown limit
	require.Empty(t, slow, "the slow request is still in flight")
	r := <-slow
	require.NoError(t, r.err)
	require.Equal(t, http.StatusOK, r.status, r.body)
	d.waitStopped("entry-1", 10*time.Second)
}
