package frontend_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/frontend"
)

// startServer starts a server whose limits may change. It returns its address.
func startServer(t *testing.T, limits *atomic.Pointer[desired.Limits]) string {
	c := &frontend.CallerConns{Limits: func() desired.Limits { return *limits.Load() }}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(150 * time.Millisecond) }),
		ConnState: c.ConnState, ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = s.Serve(c.Listener(l)) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// roundTrip sends a request and returns the error of reading the response.
func roundTrip(t *testing.T, conn net.Conn) error {
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_ = resp.Body.Close()
	}
	return err
}

// TestIdleTimeoutFollowsDesiredState guards against a connection that is closed although the
// operator has raised the idle timeout, against an idle connection that is never closed, and
// against an idle timeout that interrupts a request.
func TestIdleTimeoutFollowsDesiredState(t *testing.T) {
	var limits atomic.Pointer[desired.Limits]
	limits.Store(&desired.Limits{IdleTimeout: 100 * time.Millisecond, HeaderTimeout: time.Second})
	address := startServer(t, &limits)
	conn, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, roundTrip(t, conn), "a request may take longer than the idle timeout")
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "an idle connection is closed")

	limits.Store(&desired.Limits{IdleTimeout: time.Minute, HeaderTimeout: time.Second})
	longIdle, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer func() { _ = longIdle.Close() }()
	require.NoError(t, roundTrip(t, longIdle))
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, roundTrip(t, longIdle), "the new timeout applies without a restart")
}

// TestSlowHeaderClosesConnection guards against connections that stay open although the
// caller never completes a request header.
func TestSlowHeaderClosesConnection(t *testing.T) {
	var limits atomic.Pointer[desired.Limits]
	limits.Store(&desired.Limits{IdleTimeout: time.Minute, HeaderTimeout: 100 * time.Millisecond})
	conn, err := net.Dial("tcp4", startServer(t, &limits))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\n")
	require.NoError(t, err)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer, err := io.ReadAll(conn)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the server closes the connection")
	require.Contains(t, string(answer), "HTTP/1.1 408 ", "the request has not run")
}
