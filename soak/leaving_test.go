package soak

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// drainTime is the least bounds.drainMs. Hosts that got no answer of a server must know within
// toldWithin; a report to one host is given up after 500 ms.
const (
	drainTime     = 2 * time.Second
	toldWithin    = time.Second
	refusedWithin = 500 * time.Millisecond
)

// leavingCall is a request of a caller.
type leavingCall struct {
	host        int
	id          string
	sent, ended time.Time // ended: arrival of the head of the answer
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
	r.Header = http.Header{"Attempt-Id": {id}, "Deadline-Milliseconds": {"3000"}}
	if kind == "streams" {
		r.Header.Set("Model", "m")
	}
	o := leavingCall{host: host, id: id, sent: time.Now()}
	if resp, err := client.Do(r); err == nil {
		o.leaving, o.status, o.ended = resp.Header.Get("Server-Leaving") == "1", resp.StatusCode, time.Now()
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, o)
	return o
}

// load sends requests and streams to hosts for a time.
func (l *leavingCallers) load(phase string, d time.Duration, hosts ...int) {
	var work sync.WaitGroup
	for i := range 6 * len(hosts) {
		work.Go(func() {
			for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
				l.call(hosts[i/6], fmt.Sprintf("%s-%d-%d", phase, i, n), []string{"calls", "once", "streams"}[i%3])
				time.Sleep(15 * time.Millisecond)
			}
		})
	}
	work.Wait()
}

// each calls f for each call of a phase and each server that ran it.
func (l *leavingCallers) each(phase string, f func(o leavingCall, server string)) {
	l.c.ledger.mu.Lock()
	defer l.c.ledger.mu.Unlock()
	for _, o := range l.calls {
		for _, r := range l.c.ledger.runs[o.id] {
			if strings.HasPrefix(o.id, phase) {
				f(o, r.Server)
			}
		}
	}
}

// reached returns those of the servers that ran a call of a phase.
func (l *leavingCallers) reached(phase string, servers ...string) (ids []string) {
	l.each(phase, func(_ leavingCall, server string) {
		if slices.Contains(servers, server) && !slices.Contains(ids, server) {
			ids = append(ids, server)
		}
	})
	return ids
}

// TestServersLeaveByHeaderOnly guards against hosts that keep sending requests to servers that
// say only in their answers that they leave, while the store is cut off, and after it is back
// with records that still say that they serve; against hosts that are not told; and against
// requests that wait while all servers of a service leave.
func TestServersLeaveByHeaderOnly(t *testing.T) {
	c := newCluster(t, 1)
	c.addServer("app-2", "app", firstSoftware)
	for _, h := range c.hosts {
		require.Eventually(t, func() bool { return c.ready(h) }, 10*time.Second, 20*time.Millisecond)
	}
	l := &leavingCallers{c: c}
	first, second := []string{"app-0", "sampler-0"}, []string{"app-1", "sampler-1"}
	l.load("calm", 2*time.Second, 0, 1, 2) // the hosts read all records
	for _, h := range c.hosts {
		h.proxy.set(reset)
	}
	l.load("cut", time.Second, 0, 1, 2)
	require.Len(t, l.reached("cut", first...), 2)

	c.setSaysLeaving(first...)
	for n := 0; n < 20 && len(l.reached("first", first...)) < 2; n++ {
		l.load(fmt.Sprint("first-", n), 500*time.Millisecond, 0) // only this host gets answers
	}
	time.Sleep(toldWithin)
	l.load("told", drainTime+time.Second, 0, 1, 2)
	require.Empty(t, l.reached("told", first...), "host 0 told the others")

	c.setSaysLeaving(second...)
	l.load("second", drainTime+2*time.Second, 0, 1, 2)
	c.setSaysLeaving("app-2")
	l.load("last", time.Second, 0, 1, 2)
	for host := range c.hosts {
		o := l.call(host, fmt.Sprint("none-", host), []string{"calls", "once"}[host%2])
		require.Equal(t, http.StatusServiceUnavailable, o.status)
		require.Less(t, o.ended.Sub(o.sent), refusedWithin)
	}
	for _, h := range c.hosts {
		h.proxy.set(forward)
	}
	l.load("back", 3*time.Second, 0, 1, 2)
	require.Empty(t, l.reached("none", "app-0", "app-1", "app-2"), "refused as not run")
	require.Empty(t, l.reached("back", append(first, "app-1", "app-2", "sampler-1")...), "records do not revoke it")

	passedOn := make(map[string]time.Time) // by host and server
	l.each("", func(o leavingCall, server string) {
		key := fmt.Sprint(o.host, server)
		if at, ok := passedOn[key]; o.leaving && (!ok || o.ended.Before(at)) {
			passedOn[key] = o.ended
		}
	})
	afterAnswer := 0
	l.each("", func(o leavingCall, server string) {
		at, ok := passedOn[fmt.Sprint(o.host, server)]
		if ok && o.sent.After(at) {
			afterAnswer++
		}
		if ok && o.sent.After(at.Add(drainTime)) {
			t.Errorf("%s was sent %s after host %d passed on that %s leaves", o.id, o.sent.Sub(at), o.host, server)
		}
	})
	require.NotEmpty(t, passedOn)
	require.NotZero(t, c.countLogLines(`"source":"host"`))
	t.Logf("%d requests, %d reached a server after its answer", len(l.calls), afterAnswer)
}

func (c *cluster) setSaysLeaving(ids ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.saysLeaving[id] = true
	}
}
