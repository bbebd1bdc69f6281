package frontend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/frontend"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// boundedServer is an HTTP server with bounded connections.
type boundedServer struct {
	address string
	mu      sync.Mutex
	refused map[verdict.Reason]int
}

// startBounded starts a server that answers with the length of the body, or with a large
// answer for the path /large.
func startBounded(t *testing.T, conns *frontend.CallerConns) *boundedServer {
	s := &boundedServer{refused: make(map[verdict.Reason]int)}
	conns.OnRefused = func(r verdict.Reason) { s.mu.Lock(); defer s.mu.Unlock(); s.refused[r]++ }
	l, err := frontend.Listen("127.0.0.1:0", frontend.CallerBuffer)
	require.NoError(t, err)
	s.address = l.Addr().String()
	server := &http.Server{ConnState: conns.ConnState, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/large" {
			_, _ = w.Write(make([]byte, 32<<20))
			return
		}
		_, _ = fmt.Fprint(w, n)
	})}
	go func() { _ = server.Serve(conns.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *boundedServer) count(r verdict.Reason) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[r]
}

func (s *boundedServer) dial(t *testing.T) net.Conn {
	conn, err := net.Dial("tcp4", s.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// status reads a response and returns its status, 0 if there is none.
func status(r *bufio.Reader) int {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// TestCallerWithinLimits guards against a refusal of a caller at the limits: heads of exactly
// headerBytes in one piece and a byte at a time, a large body, pipelined requests, and an idle
// time of four fifths of the idle timeout, all on one connection.
func TestCallerWithinLimits(t *testing.T) {
	limits := desired.Limits{HeaderBytes: 4096, HeaderTimeout: 2 * time.Second, IdleTimeout: 500 * time.Millisecond}
	s := startBounded(t, &frontend.CallerConns{Limits: func() desired.Limits { return limits }, Max: 1, Heads: 1 << 20})
	conn := s.dial(t)
	r := bufio.NewReader(conn)
	head := "GET / HTTP/1.1\r\nHost: h\r\nFiller: " + strings.Repeat("x", limits.HeaderBytes-len("Filler")) + "\r\n\r\n"
	for round := range 3 {
		for name, send := range map[string]func() error{
			"one piece": func() error { _, err := io.WriteString(conn, head); return err },
			"a byte at a time": func() error {
				for i := range len(head) {
					if _, err := io.WriteString(conn, head[i:i+1]); err != nil {
						return err
					}
				}
				return nil
			},
			"after idle time": func() error { time.Sleep(limits.IdleTimeout * 4 / 5); _, err := io.WriteString(conn, head); return err },
			"body": func() error {
				_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n"+strings.Repeat("\n", 4<<20))
				return err
			},
		} {
			require.NoError(t, send(), "%s, round %d", name, round)
			require.Equal(t, http.StatusOK, status(r), "%s, round %d", name, round)
		}
		_, err := io.WriteString(conn, strings.Repeat("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"+head, 20))
		require.NoError(t, err)
		for range 40 {
			require.Equal(t, http.StatusOK, status(r), "pipelined, round %d", round)
		}
	}
	// The server reads the beginning of the second request with the first one.
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status(r))
	for _, part := range []string{":", " h", "\r\n\r\n"} {
		_, err = io.WriteString(conn, part)
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond) // each part is read alone
	}
	require.Equal(t, http.StatusOK, status(r), "a pipelined request in parts")
	require.Empty(t, s.refused)
}

// TestRefusedHeads guards against a head outside the limits that gets no answer, so that its
// caller does not know that the request has not run.
func TestRefusedHeads(t *testing.T) {
	limits := desired.Limits{HeaderBytes: 4096, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: time.Second}
	s := startBounded(t, &frontend.CallerConns{Limits: func() desired.Limits { return limits }, Heads: 1 << 20})
	for _, c := range []struct {
		text   string
		status int
		reason verdict.Reason
	}{
		{"GET / HTTP/1.1\r\nFiller: " + strings.Repeat("x", 20500), http.StatusRequestHeaderFieldsTooLarge, verdict.ReasonHeaderTooLarge},
		{"\x16\x03\x01", http.StatusBadRequest, verdict.ReasonBadRequest},
		{"GET / HTTP/1.1\r\nFil", http.StatusRequestTimeout, verdict.ReasonCallerTooSlow},
	} {
		for _, before := range []string{"", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
			if before != "" && c.status == http.StatusBadRequest {
				continue // the first byte is known only for the first request
			}
			conn := s.dial(t)
			r := bufio.NewReader(conn)
			if before != "" {
				_, err := io.WriteString(conn, before)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status(r))
			}
			_, err := io.WriteString(conn, c.text)
			require.NoError(t, err)
			require.Equal(t, c.status, status(r))
			require.Positive(t, s.count(c.reason))
			_, err = r.ReadByte()
			require.Error(t, err, "the connection is closed")
		}
	}
}

// TestHeadsShareMemory guards against many connections that each send a legal head slowly and
// together hold more than the bound.
func TestHeadsShareMemory(t *testing.T) {
	limits := desired.Limits{HeaderBytes: 16384, HeaderTimeout: 5 * time.Second}
	s := startBounded(t, &frontend.CallerConns{Limits: func() desired.Limits { return limits }, Heads: 100_000})
	for range 10 {
		_, err := io.WriteString(s.dial(t), "GET / HTTP/1.1\r\nFiller: "+strings.Repeat("x", 16000))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return s.count(verdict.ReasonMemory) == 6 }, 5*time.Second, time.Millisecond, "four heads of 24,000 bytes are held")
	conn := s.dial(t)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status(bufio.NewReader(conn)), "a small head needs no reservation")
}

// TestConnectionsThatWaitMakeRoom guards against callers that open all connections and leave
// them, so that others get none, and against the end of a connection that is in use.
func TestConnectionsThatWaitMakeRoom(t *testing.T) {
	const bound = 20
	limits := desired.Limits{HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	s := startBounded(t, &frontend.CallerConns{Limits: func() desired.Limits { return limits }, Max: bound})
	used := s.dial(t)
	usedReader := bufio.NewReader(used)
	ask := func(conn net.Conn, r *bufio.Reader) int {
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return 0
		}
		return status(r)
	}
	require.Equal(t, http.StatusOK, ask(used, usedReader))
	for range 3 * bound {
		s.dial(t)
	}
	require.Eventually(t, func() bool { return s.count(verdict.ReasonOverload) >= 2*bound }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		conn := s.dial(t)
		return ask(conn, bufio.NewReader(conn)) == http.StatusOK
	}, 5*time.Second, 20*time.Millisecond)
	require.Equal(t, http.StatusOK, ask(used, usedReader), "connections that never sent a request are closed first")
}

// TestUnreadAnswerIsCut guards against answers that callers never read.
func TestUnreadAnswerIsCut(t *testing.T) {
	s := startBounded(t, &frontend.CallerConns{Limits: func() desired.Limits { return desired.Limits{} }, WriteStall: 200 * time.Millisecond})
	_, err := io.WriteString(s.dial(t), "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.count(verdict.ReasonCallerTooSlow) == 1 }, 5*time.Second, time.Millisecond)
	conn := s.dial(t)
	_, err = io.WriteString(conn, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status(bufio.NewReader(conn)), "a caller that reads gets the whole answer")
}

// BenchmarkLargeBody measures bodies and answers of 32 MiB on a bounded connection and on one
// with the socket buffers of the system.
func BenchmarkLargeBody(b *testing.B) {
	for _, bounded := range []bool{false, true} {
		b.Run(fmt.Sprintf("bounded=%t", bounded), func(b *testing.B) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if bounded {
				l, err = frontend.Listen("127.0.0.1:0", frontend.CallerBuffer)
			}
			require.NoError(b, err)
			conns := &frontend.CallerConns{Limits: func() desired.Limits { return desired.Limits{} }}
			server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				data, _ := io.ReadAll(r.Body)
				_, _ = w.Write(data)
			})}
			address := l.Addr().String()
			if bounded {
				server.ConnState, l = conns.ConnState, conns.Listener(l)
			}
			go func() { _ = server.Serve(l) }()
			defer func() { _ = server.Close() }()
			body := strings.Repeat("x", 32<<20)
			b.SetBytes(2 * int64(len(body)))
			for b.Loop() {
				resp, err := http.Post("http://"+address, "", strings.NewReader(body))
				require.NoError(b, err)
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
}
