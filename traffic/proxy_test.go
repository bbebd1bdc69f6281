package traffic

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// rawServer starts a TCP server that calls handle with the number of each connection
// and the connection. It returns the address of the server.
func rawServer(t *testing.T, handle func(n int, c net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(n, c)
		}
	}()
	return listener.Addr().String()
}

func send(ctx context.Context, r *Router, address string) error {
	// net/http considers requests with this header safe to repeat.
	header := http.Header{"Idempotency-Key": {"k"}}
	_, err := r.Sender.Send(ctx, &newPool(address).Backends[0], Call{Method: http.MethodPost, Path: "/", Header: header, Body: []byte("x")})
	return err
}

func requireVerdict(t *testing.T, v verdict.Verdict, reason verdict.Reason, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, v, verdict.Of(err), "%v", err)
	require.Equal(t, reason, verdict.ReasonOf(err), "%v", err)
}

// TestVerdictOfBrokenConnections guards against the verdict NotRun for a request of
// which at least one byte was sent.
func TestVerdictOfBrokenConnections(t *testing.T) {
	r, _ := newRouter(t, nil)
	closed := httptest.NewServer(nil)
	closed.Close()
	requireVerdict(t, verdict.NotRun, verdict.ReasonConnectFailed, send(t.Context(), r, closed.Listener.Addr().String()))

	closing := rawServer(t, func(_ int, c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_ = c.Close()
	})
	requireVerdict(t, verdict.MayHaveRun, verdict.ReasonConnectionLost, send(t.Context(), r, closing))

	truncating := rawServer(t, func(_ int, c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
		_ = c.Close()
	})
	requireVerdict(t, verdict.MayHaveRun, verdict.ReasonTruncatedAnswer, send(t.Context(), r, truncating))
}

// TestVerdictOnReusedConnection guards against a request that net/http repeats
// automatically when the server closes a reused connection.
func TestVerdictOnReusedConnection(t *testing.T) {
	var requests atomic.Int32
	address := rawServer(t, func(_ int, c net.Conn) {
		in := bufio.NewReader(c)
		for answer := true; ; answer = false {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			requests.Add(1)
			if !answer {
				_ = c.Close()
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	r, _ := newRouter(t, nil)
	require.NoError(t, send(t.Context(), r, address))
	requireVerdict(t, verdict.MayHaveRun, verdict.ReasonConnectionLost, send(t.Context(), r, address))
	require.EqualValues(t, 2, requests.Load())
}

// TestVerdictOfCancellation guards against the verdict NotRun when a caller cancels a
// request that has reached the server.
func TestVerdictOfCancellation(t *testing.T) {
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		close(arrived)
		<-req.Context().Done()
	}))
	defer server.Close()
	r, _ := newRouter(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-arrived; cancel() }()
	requireVerdict(t, verdict.MayHaveRun, verdict.ReasonConnectionLost, send(ctx, r, server.Listener.Addr().String()))
	requireVerdict(t, verdict.NotRun, verdict.ReasonConnectFailed, send(ctx, r, server.Listener.Addr().String()))
}

// TestHopByHopHeadersAreNotForwarded guards against forwarding hop-by-hop headers, and
// against forwarding the caller's token to a backend server.
func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	var got http.Header
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		got = req.Header
		w.Header().Set("Keep-Alive", "timeout=9")
		w.Header().Set("X-Kept", "1")
	}))
	defer server.Close()
	r, _ := newRouter(t, newPlan(newPool(server.Listener.Addr().String())))
	header := http.Header{"Connection": {"X-Private, close"}, "X-Private": {"1"}, "Te": {"trailers"}, "Authorization": {"Bearer x"}, "X-Other": {"2"}}
	reply, err := r.Serve(t.Context(), ServiceRequest{Origin: Origin{ID: "id-1"}, Route: "search", Call: Call{Method: http.MethodGet, Path: "/", Header: header}})
	require.NoError(t, err)
	require.Equal(t, "id-1", got.Get("X-Request-Id"))
	require.Equal(t, "2", got.Get("X-Other"))
	for _, name := range []string{"X-Private", "Te", "Authorization"} {
		require.Empty(t, got.Get(name), name)
	}
	require.Equal(t, "1", reply.Header.Get("X-Kept"))
	require.Empty(t, reply.Header.Get("Keep-Alive"))
}

// BenchmarkServe compares the duration of a proxied request with that of a direct one.
func BenchmarkServe(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	r, _ := newRouter(b, newPlan(newPool(server.Listener.Addr().String())))
	b.Run("direct", func(b *testing.B) {
		for b.Loop() {
			resp, err := http.Post(server.URL, "text/plain", strings.NewReader("x"))
			require.NoError(b, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
	b.Run("proxied", func(b *testing.B) {
		proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			body, _ := io.ReadAll(req.Body)
			reply, err := r.Serve(req.Context(), ServiceRequest{Route: "search", Call: Call{Method: req.Method, Path: "/", Header: req.Header, Body: body}})
			require.NoError(b, err)
			_, _ = w.Write(reply.Body)
		}))
		defer proxy.Close()
		for b.Loop() {
			resp, err := http.Post(proxy.URL, "text/plain", strings.NewReader("x"))
			require.NoError(b, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
}
