package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/status"
)

// exchangeTime is the time within which a host must know what another one measured: each of the
// other hosts takes its turn within two intervals of 4 s, and processes start slowly on a busy
// machine.
const exchangeTime = 15 * time.Second

// knownServers returns the number of servers of which a host knows the time of plain requests.
func knownServers(h *host) (known int) {
	ip, _, _ := net.SplitHostPort(h.frontAddress)
	r, err := http.Get("http://" + net.JoinHostPort(ip, "7395") + "/view")
	if err != nil {
		return 0
	}
	defer func() { _ = r.Body.Close() }()
	var v status.HostView
	if json.NewDecoder(r.Body).Decode(&v) != nil {
		return 0
	}
	for _, s := range v.Servers {
		if s.Answers != nil {
			known++
		}
	}
	return known
}

// TestHostsExchangeEstimates guards against processes that do not exchange estimates although the
// systems decide to, and against a host that starts without any.
func TestHostsExchangeEstimates(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	for _, h := range c.hosts {
		require.Eventually(t, func() bool { return c.ready(h) }, 10*time.Second, 50*time.Millisecond, h.name)
	}
	n := 0
	learned := func(h *host) func() bool {
		return func() bool {
			n++
			_, _, _ = c.call(0, http.MethodPost, "/calls/x", fmt.Sprintf("call-%d", n), nil)
			return knownServers(h) == apps
		}
	}
	for _, h := range c.hosts {
		require.Eventually(t, learned(h), exchangeTime, 20*time.Millisecond, h.name)
	}
	last := c.hosts[len(c.hosts)-1]
	c.restart(last, syscall.SIGKILL)
	require.Eventually(t, learned(last), exchangeTime, 20*time.Millisecond, "after its restart")
}
