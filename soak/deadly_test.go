package soak

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/standin/pamoja"
)

const (
	deadlyPath = "/calls/deadly"
	// crashedServers is the number of servers that a request may end before hosts must leave
	// it alone, and learnTime the time after which they must.
	crashedServers = 3
	learnTime      = 3 * time.Second
	// maxLateSends is the number of times that the request may reach a server after that.
	maxLateSends   = 3
	restartTime    = 500 * time.Millisecond // of a server that has ended
	deadlyDuration = 9 * time.Second
)

// deadlyServer is a backend server that ends when it gets a request for deadlyPath.
type deadlyServer struct {
	cluster *cluster
	backend *pamoja.Backend
	address string

	mu       sync.Mutex
	server   *http.Server
	arrivals []time.Time // of deadly requests
}

func (c *cluster) addDeadlyServer(id string) *deadlyServer {
	s := &deadlyServer{cluster: c, backend: &pamoja.Backend{ID: id, OnRun: c.ledger.recordRun}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	s.address = l.Addr().String()
	s.serve(l)
	c.t.Cleanup(func() { s.mu.Lock(); defer s.mu.Unlock(); _ = s.server.Close() })
	c.keepRegistered(id, "app", s.address)
	return s
}

func (s *deadlyServer) serve(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func(server *http.Server) { _ = server.Serve(l) }(s.server) // ends with ErrServerClosed
}

// ServeHTTP implements http.Handler.
func (s *deadlyServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != deadlyPath {
		s.backend.ServeHTTP(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, time.Now())
	_ = s.server.Close() // the listener and all connections
	time.AfterFunc(restartTime, func() {
		if l, err := net.Listen("tcp", s.address); err == nil {
			s.serve(l)
		}
	})
}

// TestRequestCrashesServerAfterServer guards against a request that ends each server that
// runs it and gets its attempts anew at every host, also at one that has just started.
func TestRequestCrashesServerAfterServer(t *testing.T) {
	c := newCluster(t, 1)
	c.mu.Lock()
	for i := range apps { // the request must crash all servers of its service
		c.unregistered[fmt.Sprintf("app-%d", i)] = true
	}
	c.mu.Unlock()
	var servers []*deadlyServer
	for i := range 4 {
		servers = append(servers, c.addDeadlyServer(fmt.Sprintf("deadly-%d", i)))
	}
	for _, h := range c.hosts {
		require.Eventually(t, func() bool { return c.ready(h) }, 10*time.Second, 50*time.Millisecond, h.name)
	}
	time.Sleep(time.Second) // the hosts have read all records
	restart := time.Now().Add(deadlyDuration / 2)
	end := time.Now().Add(deadlyDuration)
	for n := 0; time.Now().Before(end); n++ {
		c.call(n, http.MethodPost, deadlyPath, fmt.Sprintf("deadly-%d", n), []byte("body"))
		if !restart.IsZero() && time.Now().After(restart) {
			c.restart(c.hosts[0], syscall.SIGKILL)
			restart = time.Time{}
		}
		status, answer, _ := c.call(n, http.MethodPost, "/calls/other", fmt.Sprintf("other-%d", n), []byte("body"))
		require.True(t, status != http.StatusOK || strings.HasPrefix(string(answer), "answer to other-"))
		time.Sleep(150 * time.Millisecond)
	}
	var arrivals []time.Time
	for _, s := range servers {
		s.mu.Lock()
		arrivals = append(arrivals, s.arrivals...)
		s.mu.Unlock()
	}
	late := 0
	if len(arrivals) >= crashedServers {
		slices.SortFunc(arrivals, time.Time.Compare)
		known := arrivals[crashedServers-1].Add(learnTime)
		for _, at := range arrivals {
			if at.After(known) {
				late++
			}
		}
	}
	t.Logf("the request ended servers %d times, %d of them late", len(arrivals), late)
	if late > maxLateSends {
		c.printLogs()
	}
	require.LessOrEqual(t, late, maxLateSends)
}
