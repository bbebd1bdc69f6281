package soak

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// hostMemoryMB is the memory limit of the smallest hosts that are in use.
	hostMemoryMB     = 184
	endlessDuration  = 8 * time.Second
	endlessCallers   = 60 // at answers without end
	largeCallers     = 20 // with large bodies
	soundCallers     = 8
	largeRequestSize = 6 << 20
)

// endlessServer is a backend server whose answers have no end. The last element of the path
// selects the part of the answer that goes on.
type endlessServer struct{ connections atomic.Int32 }

func (c *cluster) addEndlessServer(id string) *endlessServer {
	s := new(endlessServer)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(conn)
		}
	}()
	c.keepRegistered(id, "endless", l.Addr().String())
	return s
}

func (s *endlessServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	begin := "HTTP/1.1 200 OK\r\nAttempt-Id: " + r.Header.Get("Attempt-Id") + "\r\nResponse-Stamp: s\r\nWeight-Versions: 1\r\n"
	switch {
	case strings.HasSuffix(r.URL.Path, "/head"):
		begin += "Filler: "
	case strings.HasSuffix(r.URL.Path, "/length"):
		begin += "Content-Length: 8388608\r\n\r\n"
	case strings.HasSuffix(r.URL.Path, "/event"):
		begin += "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: "
	default:
		begin += "\r\n"
	}
	_, err = io.WriteString(conn, begin)
	for filler := bytes.Repeat([]byte("x"), 32<<10); err == nil; {
		_, err = conn.Write(filler)
	}
}

// peakMemoryMB returns the largest resident memory that a process has had, in MB.
func peakMemoryMB(t *testing.T, pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	_, rest, ok := strings.Cut(string(data), "VmHWM:")
	require.True(t, ok)
	kib, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(t, err)
	return kib * 1024 / 1_000_000
}

// TestEndlessAnswersLeaveHostAlive guards against a host that keeps the answers of a faulty
// server, each of which stays within its own bound, until it runs out of memory and the
// requests of all callers end with it.
func TestEndlessAnswersLeaveHostAlive(t *testing.T) {
	c := newClusterOf(t, 1, eventsPerItem, fmt.Sprintf("limits.memoryMb=%d\n", hostMemoryMB))
	server := c.addEndlessServer("endless-1")
	h := c.hosts[0]
	require.Eventually(t, func() bool { return c.ready(h) }, 10*time.Second, 20*time.Millisecond)
	pid := h.cmd.Process.Pid
	end := time.Now().Add(endlessDuration)
	var wg sync.WaitGroup
	load := func(callers int, client *http.Client, path func(caller int) string, body []byte, seen func(status int)) {
		for caller := range callers {
			wg.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					seen(callHost(client, h, fmt.Sprintf("%s-%d-%d", path(caller)[1:3], caller, n), path(caller), body))
				}
			})
		}
	}
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	paths := []string{"/endless/body", "/endless/length", "/endless/head", "/endless-streams/event"}
	load(endlessCallers, client, func(caller int) string { return paths[caller%len(paths)] }, []byte("x"), func(int) {})
	var largeServed atomic.Int32
	load(largeCallers, client, func(int) string { return "/calls/large" }, make([]byte, largeRequestSize), func(status int) {
		if status == http.StatusOK {
			largeServed.Add(1)
		}
	})
	var asked, served atomic.Int32
	load(soundCallers, client, func(int) string { return "/calls/sound" }, []byte("x"), func(status int) {
		asked.Add(1)
		if status == http.StatusOK {
			served.Add(1)
		}
	})
	wg.Wait()
	peak := peakMemoryMB(t, pid)
	t.Logf("peak %d MB; %d connections to the endless server; %d of %d sound requests and %d large ones served", peak, server.connections.Load(), served.Load(), asked.Load(), largeServed.Load())
	require.Equal(t, pid, h.cmd.Process.Pid)
	require.Less(t, peak, hostMemoryMB)
	require.Positive(t, server.connections.Load())
	require.Positive(t, largeServed.Load())
	require.Equal(t, asked.Load(), served.Load(), "small requests of other callers")
}

// callHost sends a request to a host and returns the status of the answer, 0 if there was
// none.
func callHost(client *http.Client, h *host, id, path string, body []byte) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+h.frontAddress+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = "h"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Milliseconds", "2000")
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// TestLargeSubmissions guards against a host that runs out of memory because of submissions
// that are within the limits, and against reads of bodies that each take the memory of the
// whole submission.
func TestLargeSubmissions(t *testing.T) {
	const (
		items     = 8192
		itemBytes = 2400
		limitMB   = 294
		readers   = 12
	)
	c := newClusterOf(t, 1, eventsPerItem, fmt.Sprintf("limits.memoryMb=%d\n", limitMB))
	h := c.hosts[0]
	require.Eventually(t, func() bool { return c.ready(h) }, 10*time.Second, 20*time.Millisecond)
	submission := func(id string) []byte {
		var b bytes.Buffer
		b.WriteString(`{"step":1,"model":"m","items":[`)
		body := base64.StdEncoding.EncodeToString(make([]byte, itemBytes))
		for i := range items {
			if i > 0 {
				b.WriteByte(',')
			}
			fmt.Fprintf(&b, `{"identifier":"%s-%d","path":"/lots/x","headers":{"Model":"m","Token-Counts":"500,400"},"body":%q,"tokens":900,"group":"g%d"}`, id, i, body, i/8)
		}
		b.WriteString("]}")
		return b.Bytes()
	}
	client := &http.Client{Timeout: 20 * time.Second}
	for n, status := 0, 0; n < 20 && status != http.StatusAccepted; n++ {
		status = callHost(client, h, "large", "/lots/x", submission("large"))
	}
	var wg sync.WaitGroup
	var refused, read atomic.Int32
	for n := range readers {
		wg.Go(func() {
			for i := range 10 {
				resp, err := http.Get(fmt.Sprintf("http://%s/v1/items/large?identifier=large-%d", h.frontAddress, items-1-n*10-i))
				if err != nil {
					continue
				}
				data, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				switch {
				case resp.StatusCode == http.StatusServiceUnavailable:
					refused.Add(1)
				case resp.StatusCode == http.StatusOK && len(data) == itemBytes:
					read.Add(1)
				}
			}
		})
	}
	second := callHost(client, h, "second", "/lots/x", submission("second"))
	wg.Wait()
	peak := peakMemoryMB(t, h.cmd.Process.Pid)
	t.Logf("peak %d MB; %d bodies read, %d refused; the second submission was answered %d", peak, read.Load(), refused.Load(), second)
	require.Less(t, peak, limitMB)
	require.EqualValues(t, readers*10, read.Load()+refused.Load())
	require.Positive(t, read.Load())
}
