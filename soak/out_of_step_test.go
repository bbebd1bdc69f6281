package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	outOfStepTime = 4 * time.Second
	// outOfStepStreams are begun at the other hosts and taken up at the host that was away
	// within its first second back.
	outOfStepStreams = 60
	takeUpTime       = time.Second
	eventsBeforeCut  = 5
)

// outOfStep is a way in which a host misses the changes of some seconds.
type outOfStep struct {
	name    string
	begin   func(c *cluster, h *host)
	end     func(c *cluster, h *host)
	replace int // number of samplers that are replaced meanwhile
}

var waysOutOfStep = []outOfStep{
	{"frozen", signalHost(syscall.SIGSTOP), signalHost(syscall.SIGCONT), 2},
	{"frozen, all samplers replaced", signalHost(syscall.SIGSTOP), signalHost(syscall.SIGCONT), samplers},
	{"cut off from the store", func(_ *cluster, h *host) { h.proxy.set(blackhole) }, func(_ *cluster, h *host) { h.proxy.set(forward); h.proxy.resetAll() }, 2},
}

func signalHost(s syscall.Signal) func(*cluster, *host) {
	return func(_ *cluster, h *host) { _ = h.cmd.Process.Signal(s) }
}

// TestHostOutOfStepJoinsNoStream guards against a host that missed a new software version for
// some seconds and continues streams of that version, which began at other hosts, at a server
// of the version that it knows.
func TestHostOutOfStepJoinsNoStream(t *testing.T) {
	for _, way := range waysOutOfStep {
		t.Run(way.name, func(t *testing.T) { t.Parallel(); testOutOfStep(t, way) })
	}
}

func testOutOfStep(t *testing.T, way outOfStep) {
	c := newClusterOf(t, 1, versionsTextEvents, "")
	for _, h := range c.hosts {
		require.Eventually(t, func() bool { return c.ready(h) }, 10*time.Second, 20*time.Millisecond)
	}
	s := &streamCaller{cluster: c, name: "s"}
	for n := range 3 { // the hosts record the version
		_, _ = s.read(n, fmt.Sprintf("warm-%d", n), "", 0)
	}
	away := c.hosts[0]
	way.begin(c, away)
	back := time.Now().Add(outOfStepTime)
	time.Sleep(300 * time.Millisecond)
	for i := range way.replace {
		c.replaceServer(fmt.Sprintf("sampler-%d", i), fmt.Sprintf("sampler-1%d", i), "v2")
	}
	began := make([]string, outOfStepStreams)
	var streams sync.WaitGroup
	for n := range began {
		streams.Go(func() {
			time.Sleep(time.Until(back.Add(-time.Second)) + time.Duration(n)*10*time.Millisecond)
			began[n] = c.beginAndLeave(1+n%2, fmt.Sprintf("began-%d", n))
		})
	}
	time.Sleep(time.Until(back))
	streams.Wait()
	way.end(c, away)
	start := time.Now()
	var taken sync.WaitGroup
	var mu sync.Mutex
	fresh, wentOn, joined := 0, 0, 0
	for n, software := range began {
		if software == "" {
			continue
		}
		taken.Go(func() {
			time.Sleep(time.Until(start.Add(time.Duration(n) * takeUpTime / outOfStepStreams)))
			more, _ := s.read(0, fmt.Sprintf("taken-%d", n), fmt.Sprintf("began-%d", n), eventsBeforeCut)
			mu.Lock()
			defer mu.Unlock()
			if software != firstSoftware {
				fresh++
			}
			if len(more) > 0 {
				wentOn++
			}
			for _, v := range softwareVersions(more) {
				if v != software {
					joined++
					t.Errorf("stream %d began at %s and went on at %s, %s after the host was back", n, software, v, time.Since(start))
				}
			}
		})
	}
	taken.Wait()
	t.Logf("%d streams of the new version, %d of all went on at the host that was away, %d joined", fresh, wentOn, joined)
	require.Positive(t, fresh)
	if t.Failed() {
		c.printLogs()
	}
}

// beginAndLeave begins a stream at a host and leaves it after eventsBeforeCut events. It returns
// the software version of these events, "" if the stream did not begin.
func (c *cluster) beginAndLeave(index int, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.hosts[index].frontAddress+"/streams/x", strings.NewReader("x"))
	if err != nil {
		return ""
	}
	r.Host = "h"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Model", "m")
	resp, err := client.Do(r)
	if err != nil || resp.StatusCode != http.StatusOK {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	var text strings.Builder
	for buf := make([]byte, 512); strings.Count(text.String(), "\n\n") < eventsBeforeCut; {
		n, err := resp.Body.Read(buf)
		text.Write(buf[:n])
		if err != nil {
			return ""
		}
	}
	_, data, _ := strings.Cut(text.String(), "data: ")
	data, _, _ = strings.Cut(data, "\n")
	return softwareOf(data)
}
