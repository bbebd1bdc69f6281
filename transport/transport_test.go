package transport

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSealedConnectionWritesNothing guards against bytes that leave after an
// attempt was reported as not sent.
func TestSealedConnectionWritesNothing(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	require.NoError(t, a.SetWriteDeadline(time.Now().Add(time.Second))) // nobody reads
	c := &countingConn{Conn: a}
	trace := Trace{used: []usedConn{{conn: c}}}
	require.True(t, trace.NothingSent())
	_, err := c.Write([]byte("x"))
	require.ErrorIs(t, err, errSealed)

	d := &countingConn{Conn: discardConn{}}
	trace = Trace{used: []usedConn{{conn: d, base: d.count()}}}
	_, err = d.Write([]byte("x"))
	require.NoError(t, err)
	require.False(t, trace.NothingSent())
}

// TestUncountedConnectionMayHaveSent guards against "not sent" for a connection
// whose writes nobody counted.
func TestUncountedConnectionMayHaveSent(t *testing.T) {
	trace := Trace{used: []usedConn{{conn: discardConn{}}}}
	require.False(t, trace.NothingSent())
}

// TestNoRedirectIsFollowed guards against a second request that the caller of
// the client knows nothing of.
func TestNoRedirectIsFollowed(t *testing.T) {
	requests := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests++
		http.Redirect(w, r, "/elsewhere", http.StatusFound)
	}))
	defer server.Close()
	client := NewClient()
	defer client.CloseIdleConnections()
	resp, err := client.Post(server.URL, "text/plain", nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusFound, resp.StatusCode)
	require.Equal(t, 1, requests)
}

type discardConn struct{ net.Conn }

func (discardConn) Write(p []byte) (int, error) { return new(bytes.Buffer).Write(p) }
