package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The crowd, the limits and the bounds of TestCallersOutsideLimits. The bounds are the limits
// that the settings of the host state. They were fixed on code that exceeded them.
const (
	hostileMemoryMB    = 144 // the smallest hosts in use
	hostileDescriptors = 600
	hostileCrowd       = 250     // connections of a kind
	hostileOpenCrowd   = 700     // connections of the kinds that only open them
	hostileBytes       = 2 << 20 // sent at most by a connection
	hostileDuration    = 1200 * time.Millisecond
	hostileAnswerBytes = 4 << 20 // answer that is not read
)

// hostileLimits are the limits of the desired state.
var hostileLimits = map[string]any{"headerBytes": 4096, "bodyBytes": 1 << 20, "headerTimeoutMs": 1000, "idleTimeoutMs": 1000}

// hostileKind is a way to exceed the limits of a host.
type hostileKind struct {
	name  string
	port  func(h *host) string // address; nil for the front
	crowd int                  // number of connections; 0 for hostileCrowd
	send  func(conn net.Conn)  // returns when it has sent its bytes or the connection is closed
	// read reads from the connection until it is closed; nil if nothing is read.
	read func(conn net.Conn)
}

// TestCallersOutsideLimits guards against a process that ends, uses more memory or descriptors
// than its host has, or answers no request any more because of callers that exceed the limits
// of the desired state. Memory is the peak of the resident set plus the peak of the bytes that
// the kernel holds in the receive and send queues of the process's sockets.
func TestCallersOutsideLimits(t *testing.T) {
	c := newClusterOf(t, 1, eventsPerItem, fmt.Sprintf("limits.memoryMb=%d\nlimits.fileDescriptors=%d\n", hostileMemoryMB, hostileDescriptors))
	for _, h := range c.hosts[1:] {
		_ = h.cmd.Process.Kill()
		<-h.exited
		h.stopped = true
	}
	c.limits = hostileLimits
	c.writeDesiredState()
	c.addUnreadServer("endless-1")
	h := c.hosts[0]
	for _, kind := range hostileKinds() {
		t.Run(kind.name, func(t *testing.T) {
			c.restart(h, syscall.SIGKILL) // a process for each kind, whose peak is its own
			require.Eventually(t, func() bool { return c.ready(h) && ordinaryAnswered(h) }, 10*time.Second, 10*time.Millisecond)
			pid := h.cmd.Process.Pid
			seen := runHostile(t, h, kind)
			require.Eventually(t, func() bool { return ordinaryAnswered(h) }, 10*time.Second, 50*time.Millisecond, "an ordinary request afterwards")
			select {
			case <-h.exited:
				t.Fatal("the process has ended")
			default:
			}
			require.Equal(t, pid, h.cmd.Process.Pid)
			peak := peakMemoryMB(t, pid)
			t.Logf("resident %d MB, in the kernel %d MB, %d descriptors", peak, seen.queueMB, seen.descriptors)
			require.Less(t, peak+seen.queueMB, hostileMemoryMB, "MB of memory")
			require.LessOrEqual(t, seen.descriptors, hostileDescriptors, "open descriptors")
		})
	}
}

// usage is what a process used at most.
type usage struct{ queueMB, descriptors int }

// runHostile lets a crowd of one kind call a host and returns what the host used meanwhile.
func runHostile(t *testing.T, h *host, kind hostileKind) usage {
	address, crowd := h.frontAddress, kind.crowd
	if kind.port != nil {
		address = kind.port(h)
	}
	if crowd == 0 {
		crowd = hostileCrowd
	}
	end := time.Now().Add(hostileDuration)
	var wg sync.WaitGroup
	for range crowd {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp4", address, time.Until(end))
			if err != nil {
				return // refused, which a host may do
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(end)
			if kind.read != nil {
				go kind.read(conn)
			}
			kind.send(conn)
			time.Sleep(time.Until(end))
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	for seen := (usage{}); ; {
		seen.queueMB = max(seen.queueMB, queuedMB(t, h))
		seen.descriptors = max(seen.descriptors, openDescriptors(h.cmd.Process.Pid))
		select {
		case <-done:
			return seen
		case <-time.After(40 * time.Millisecond):
		}
	}
}

// queuedMB returns the bytes in the receive and send queues of the TCP sockets whose local
// address is that of a host, in MB. No other process uses the address.
func queuedMB(t *testing.T, h *host) int {
	data, err := os.ReadFile("/proc/net/tcp")
	require.NoError(t, err)
	ip := net.ParseIP(strings.Split(h.frontAddress, ":")[0]).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0]) // the kernel prints a little-endian number
	total := int64(0)
	for _, line := range strings.Split(string(data), "\n") {
		f := strings.Fields(line)
		const listening = "0A"
		if len(f) < 5 || !strings.HasPrefix(f[1], local) || f[3] == listening {
			continue
		}
		sent, received, _ := strings.Cut(f[4], ":")
		for _, text := range []string{sent, received} {
			n, err := strconv.ParseInt(text, 16, 64)
			require.NoError(t, err)
			total += n
		}
	}
	return int(total / 1_000_000)
}

// openDescriptors returns the number of open descriptors of a process, 0 if it has ended.
func openDescriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// ordinaryAnswered reports whether a host answers a request that is within the limits, on a
// connection of its own.
func ordinaryAnswered(h *host) bool {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	return callHost(client, h, "ordinary", "/calls/ordinary", []byte("x")) == http.StatusOK
}

// addUnreadServer adds a backend server with large answers and streams without end.
func (c *cluster) addUnreadServer(id string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	event := "data: " + strings.Repeat("x", 4<<10) + "\n\n"
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		header := w.Header()
		header["Attempt-Id"], header["Response-Stamp"], header["Weight-Versions"] = r.Header["Attempt-Id"], []string{"s"}, []string{"1"}
		if !strings.HasPrefix(r.URL.Path, "/endless-streams/") {
			_, _ = w.Write(make([]byte, hostileAnswerBytes))
			return
		}
		header.Set("Content-Type", "text/event-stream")
		for n := 1; ; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\n%s", n, event); err != nil {
				return
			}
		}
	})}
	go func() { _ = s.Serve(l) }()
	c.t.Cleanup(func() { _ = s.Close() })
	c.keepRegistered(id, "endless", l.Addr().String())
}

// readBytewise reads a byte each 50 ms.
func readBytewise(conn net.Conn) {
	for b := make([]byte, 1); ; time.Sleep(50 * time.Millisecond) {
		if _, err := conn.Read(b); err != nil {
			return
		}
	}
}

// readAll reads everything.
func readAll(conn net.Conn) { _, _ = bufio.NewReader(conn).WriteTo(io.Discard) }
