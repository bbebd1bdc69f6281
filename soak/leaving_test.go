package soak

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// drainTime is the least bounds.drainMs: a request that a caller sends later than this after
	// a host passed on an answer that says that the server leaves must not reach it from there.
	drainTime = 2 * time.Second
	// toldWithin is the time after which hosts that got no such answer must know. A report to
	// one host is given up after 500 ms.
	toldWithin = time.Second
	// refusedWithin bounds a refusal while all servers leave.
	refusedWithin = 500 * time.Millisecond
)

// leavingCall is a request of a caller.
type leavingCall struct {
	host        int
	id          string
	sent, ended time.Time
	status      int
	leaving     bool // the answer says that its server leaves
}

type leavingCallers struct {
	c     *cluster
	mu    sync.Mutex
	calls []leavingCall
}

// call sends a request, or reads a stream, and records it.
func (l *leavingCallers) call(host int, id, kind string) leavingCall {
	r, _ := http.NewRequest(http.MethodPost, "http://"+l.c.hosts[host].frontAddress+"/"+kind+"/x", strings.NewReader("body")) // a fixed form of URL
	r.Host = "h"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Milliseconds", "3000")
	if kind == "streams" {
		r.Header.Set("Model", "m")
	}
	o := leavingCall{host: host, id: id, sent: time.Now()}
	if resp, err := client.Do(r); err == nil {
		o.leaving, o.status = resp.Header.Get("Server-Leaving") == "1", resp.StatusCode
		o.ended = time.Now() // of the head, which may precede the rest of a stream
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, o)
	return o
}

// load sends requests and streams to hosts until end.
func (l *leavingCallers) load(phase string, end time.Time, hosts ...int) {
	var work sync.WaitGroup
	for _, host := range hosts {
		for caller := range 6 {
			kind := []string{"calls", "once", "streams"}[caller%3]
			work.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					l.call(host, fmt.Sprintf("%s-%d-%d-%d", phase, host, caller, n), kind)
					time.Sleep(15 * time.Millisecond)
				}
			})
		}
	}
	work.Wait()
}

// servers returns the servers that ran a request.
func (l *leavingCallers) servers(id string) (ids []string) {
	l.c.ledger.mu.Lock()
	defer l.c.ledger.mu.Unlock()
	for _, r := range l.c.ledger.runs[id] {
		ids = append(ids, r.Server)
	}
	return ids
}

// check returns the number of requests that reached a server from a host later than drainTime
// after the host passed on that the server leaves, and of those later than the answer itself.
func (l *leavingCallers) check(t *testing.T) (late, afterAnswer int) {
	passedOn := make(map[string]time.Time) // by host and server
	key := func(host int, server string) string { return fmt.Sprint(host, server) }
	for _, o := range l.calls {
		for _, server := range l.servers(o.id) {
			if at, ok := passedOn[key(o.host, server)]; o.leaving && (!ok || o.ended.Before(at)) {
				passedOn[key(o.host, server)] = o.ended
			}
		}
	}
	for _, o := range l.calls {
		for _, server := range l.servers(o.id) {
			at, ok := passedOn[key(o.host, server)]
			if !ok || !o.sent.After(at) {
				continue
			}
			afterAnswer++
			if o.sent.After(at.Add(drainTime)) {
				late++
				t.Errorf("%s was sent %s after host %d passed on that %s leaves", o.id, o.sent.Sub(at), o.host, server)
			}
		}
	}
	require.NotEmpty(t, passedOn, "no answer said that a server leaves")
	return late, afterAnswer
}

// reached returns the calls of a phase that reached one of the servers.
func (l *leavingCallers) reached(phase string, servers ...string) (ids []string) {
	for _, o := range l.calls {
		for _, s := range l.servers(o.id) {
			if strings.HasPrefix(o.id, phase) && strings.Contains(strings.Join(servers, " "), s) {
				ids = append(ids, o.id)
			}
		}
	}
	return ids
}

// TestServersLeaveByHeaderOnly guards against hosts that keep sending requests to servers that
// say only in their answers that they leave, while the store is cut off, and after it is back
// with records that still say that they serve; against hosts that are not told; and against
// requests that wait while all servers of a service leave.
func TestServersLeaveByHeaderOnly(t *testing.T) {
	c := newCluster(t, 1)
	c.addServer("app-2", "app", firstSoftware)
	c.addServer("app-3", "app", firstSoftware)
	for _, h := range c.hosts {
		require.Eventually(t, func() bool { return c.ready(h) }, 10*time.Second, 20*time.Millisecond)
	}
	t.Cleanup(func() {
		if t.Failed() {
			c.printLogs()
		}
	})
	l := &leavingCallers{c: c}
	l.load("calm", time.Now().Add(2*time.Second), 0, 1, 2) // the hosts read all records
	for _, h := range c.hosts {
		h.proxy.set(reset)
	}
	l.load("cut", time.Now().Add(time.Second), 0, 1, 2)
	require.NotEmpty(t, l.reached("cut", "app-0"))
	require.NotEmpty(t, l.reached("cut", "sampler-0"))

	c.setSaysLeaving("app-0", "sampler-0")
	for n := 0; n < 20 && (len(l.reached("first", "app-0")) == 0 || len(l.reached("first", "sampler-0")) == 0); n++ {
		l.load(fmt.Sprint("first-", n), time.Now().Add(500*time.Millisecond), 0) // only this host gets answers
	}
	time.Sleep(toldWithin)
	l.load("told", time.Now().Add(drainTime+time.Second), 0, 1, 2)
	require.Empty(t, l.reached("told", "app-0", "sampler-0"), "host 0 told the others")

	c.setSaysLeaving("app-1", "sampler-1")
	l.load("second", time.Now().Add(drainTime+2*time.Second), 0, 1, 2)
	c.setSaysLeaving("app-2", "app-3")
	l.load("last", time.Now().Add(time.Second), 0, 1, 2)
	for host := range c.hosts {
		for n, kind := range []string{"calls", "once"} {
			o := l.call(host, fmt.Sprintf("none-%d-%d", host, n), kind)
			require.Equal(t, http.StatusServiceUnavailable, o.status)
			require.Less(t, o.ended.Sub(o.sent), refusedWithin)
			require.Empty(t, l.servers(o.id), "refused as not run")
		}
	}
	for _, h := range c.hosts {
		h.proxy.set(forward)
	}
	l.load("back", time.Now().Add(3*time.Second), 0, 1, 2)
	require.Empty(t, l.reached("back", "app", "sampler-0", "sampler-1"), "records do not revoke it")
	late, afterAnswer := l.check(t)
	t.Logf("%d requests, %d reached a leaving server after drainTime, %d after the answer", len(l.calls), late, afterAnswer)
	require.NotZero(t, c.countLogLines(`"source":"host"`))
}

func (c *cluster) setSaysLeaving(ids ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.saysLeaving[id] = true
	}
}
