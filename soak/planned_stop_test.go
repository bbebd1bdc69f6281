package soak

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/standin/pamoja"
)

const (
	// gracePeriod is the time from SIGTERM until the platform ends a host.
	gracePeriod = 8 * time.Second
	// lossSlack is the time after its last byte for which a request may cross the close of
	// its connection.
	lossSlack = 200 * time.Millisecond
	// balancedUntil is the time after SIGTERM until which the load balancer may send new
	// connections.
	balancedUntil = 3 * time.Second
)

// slowServers serves requests that take the number of milliseconds in the last element of
// their path, and records the ids of those that it got. It refuses those whose path ends with
// "full".
type slowServers struct {
	mu       sync.Mutex
	arrived  map[string]time.Time
	finished map[string]time.Time
}

func (c *cluster) addSlowServers(count int) *slowServers {
	s := &slowServers{arrived: make(map[string]time.Time), finished: make(map[string]time.Time)}
	for i := range count {
		id := fmt.Sprintf("slow-%d", i)
		server := httptest.NewServer(http.HandlerFunc(s.serve))
		c.t.Cleanup(server.Close)
		c.keepRegistered(id, "slow", strings.TrimPrefix(server.URL, "http://"))
	}
	return s
}

func (s *slowServers) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	if path.Base(r.URL.Path) == "full" {
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.arrived[id] = time.Now()
	s.mu.Unlock()
	work, _ := time.ParseDuration(path.Base(r.URL.Path) + "ms")
	select {
	case <-time.After(work):
	case <-r.Context().Done():
	}
	s.mu.Lock()
	s.finished[id] = time.Now()
	s.mu.Unlock()
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Stamp", "stamp-"+id)
	_, _ = io.WriteString(w, "answer to "+id)
}

// lateRequest is a request that is sent in two parts at given times after SIGTERM.
type lateRequest struct {
	id, path              string
	opened, first, second time.Duration // of the connection, of the two parts
	cut                   int           // length of the first part
	deadlineMS            int           // 0 for 6000
}

func (r *lateRequest) text() string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Milliseconds: %d\r\nContent-Length: 4\r\n\r\nbody", r.path, r.id, cmp.Or(r.deadlineMS, 6000))
}

// sent is the outcome of a request that was sent whole.
type sent struct {
	id     string
	at     time.Time // of its last byte
	ended  time.Time // of the answer or of the connection
	status int       // 0 without a whole answer
}

// stopTest sends requests to a host that stops.
type stopTest struct {
	host    *host
	stopped time.Time // of SIGTERM

	mu   sync.Mutex
	sent []sent
}

func (s *stopTest) record(o sent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, o)
}

// send sends a request on a connection of its own.
func (s *stopTest) send(r lateRequest) {
	time.Sleep(time.Until(s.stopped.Add(r.opened)))
	conn, err := net.Dial("tcp", s.host.frontAddress)
	if err != nil {
		return // not accepted any more
	}
	defer func() { _ = conn.Close() }()
	text := r.text()
	time.Sleep(time.Until(s.stopped.Add(r.first)))
	if _, err := io.WriteString(conn, text[:r.cut]); err != nil {
		return
	}
	time.Sleep(time.Until(s.stopped.Add(r.second)))
	if _, err := io.WriteString(conn, text[r.cut:]); err != nil {
		return
	}
	s.awaitAnswer(r.id, bufio.NewReader(conn))
}

// awaitAnswer reads the answer to a request that was just sent, and reports whether the
// connection may be used further.
func (s *stopTest) awaitAnswer(id string, reader *bufio.Reader) bool {
	o := sent{id: id, at: time.Now()}
	resp, err := http.ReadResponse(reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	o.ended = time.Now()
	if err == nil {
		o.status = resp.StatusCode
	}
	s.record(o)
	return err == nil && !resp.Close
}

// keepConnection sends requests on one connection until the host closes it.
func (s *stopTest) keepConnection(name, path string, pause time.Duration) {
	conn, err := net.Dial("tcp", s.host.frontAddress)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r := lateRequest{id: fmt.Sprintf("%s-%d", name, n), path: path}
		if _, err := io.WriteString(conn, r.text()); err != nil || !s.awaitAnswer(r.id, reader) {
			return
		}
		time.Sleep(pause)
	}
}

// TestPlannedStopCutsNothing guards against requests that arrive late in the grace period of
// a planned stop, are passed on to a server and cut at its end, and against requests that arrived
// before the stop, wait for a server and are cut.
func TestPlannedStopCutsNothing(t *testing.T) {
	for name, storeAway := range map[string]bool{"calm": false, "handover waits for the store": true} {
		t.Run(name, func(t *testing.T) { t.Parallel(); testPlannedStop(t, storeAway) })
	}
}

func testPlannedStop(t *testing.T, storeAway bool) {
	c := newCluster(t, 1)
	servers := c.addSlowServers(4)
	for _, h := range c.hosts {
		require.Eventually(t, func() bool { return c.ready(h) }, 10*time.Second, 20*time.Millisecond)
	}
	time.Sleep(time.Second) // the hosts have read all records
	s := &stopTest{host: c.hosts[0], stopped: time.Now().Add(1500 * time.Millisecond)}
	var wg sync.WaitGroup
	works := []int{300, 1500, 3500}
	for i := range 30 {
		p := fmt.Sprintf("/slow%s/%d", []string{"", "-once"}[i%2], works[i%3])
		wg.Go(func() { s.keepConnection(fmt.Sprintf("kept-%d", i), p, time.Duration(i)*27*time.Millisecond) })
		spread := time.Duration(i) * 130 * time.Millisecond
		for kind, r := range map[string]lateRequest{
			"late byte": {first: balancedUntil + spread, second: balancedUntil + spread, cut: 1},
			"cut head":  {first: balancedUntil - 100*time.Millisecond, second: balancedUntil + spread, cut: 30},
			"late body": {first: balancedUntil - 100*time.Millisecond, second: balancedUntil + spread, cut: len((&lateRequest{path: p, id: "x"}).text()) - 2},
		} {
			r.opened, r.id, r.path = balancedUntil-300*time.Millisecond, fmt.Sprintf("%s-%d", strings.ReplaceAll(kind, " ", "-"), i), p
			r.cut = min(r.cut, len(r.text())-1)
			wg.Go(func() { s.send(r) })
		}
	}
	for i := range 8 {
		r := lateRequest{id: fmt.Sprintf("full-%d", i), path: []string{"/full/full", "/full-once/full"}[i%2], deadlineMS: 10_000}
		r.opened, r.first, r.second = -time.Second, -time.Second, -time.Second
		wg.Go(func() { s.send(r) })
	}
	if storeAway {
		tr := &trainer{cluster: c, name: "t"}
		wg.Go(func() { tr.train(s.stopped, 12) })
	}
	time.Sleep(time.Until(s.stopped.Add(-100 * time.Millisecond)))
	if storeAway {
		c.store.SetFault(func(pamoja.Call) pamoja.Outcome { return pamoja.Refused })
	}
	time.Sleep(time.Until(s.stopped))
	require.NoError(t, s.host.cmd.Process.Signal(syscall.SIGTERM))
	kill := time.AfterFunc(gracePeriod, func() { _ = s.host.cmd.Process.Kill() })
	defer kill.Stop()
	wg.Wait()
	<-s.host.exited
	require.Less(t, time.Since(s.stopped), gracePeriod+time.Second)
	s.verify(t, servers)
	if t.Failed() {
		c.printLogs()
	}
}

// verify checks that each request that was sent whole was answered, or was not passed on
// and crossed the close of its connection.
func (s *stopTest) verify(t *testing.T, servers *slowServers) {
	servers.mu.Lock()
	defer servers.mu.Unlock()
	statuses := make(map[int]int)
	lastSixth := s.stopped.Add(gracePeriod * 5 / 6)
	for _, o := range s.sent {
		statuses[o.status]++
		arrived, passedOn := servers.arrived[o.id]
		after := o.at.Sub(s.stopped)
		switch {
		case o.status == http.StatusServiceUnavailable && passedOn:
			t.Errorf("%s: refused as not run %s after SIGTERM, but sent to a server %s after it", o.id, after, arrived.Sub(s.stopped))
		case o.status != 0:
		case after <= balancedUntil && passedOn && servers.finished[o.id].After(lastSixth):
		case passedOn:
			t.Errorf("%s: sent %s after SIGTERM, passed on and cut %s after it", o.id, after, o.ended.Sub(s.stopped))
		case o.ended.Sub(o.at) > lossSlack:
			t.Errorf("%s: sent %s after SIGTERM and cut %s later", o.id, after, o.ended.Sub(o.at))
		}
	}
	t.Logf("requests by status: %v", statuses)
	require.Greater(t, statuses[http.StatusOK], 30)
}
