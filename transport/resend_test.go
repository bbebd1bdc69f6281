package transport_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/transport"
)

// TestConnectionCarriesRequestOnce guards against a second request with the same id on one
// connection, whose response could not be told from a late copy of the first, and against a
// request that counts as sent because of it.
func TestConnectionCarriesRequestOnce(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }))
	defer server.Close()
	client := transport.NewClient()
	send := func(id string) (*transport.Trace, error) {
		trace := &transport.Trace{RequestID: id}
		req, err := http.NewRequestWithContext(trace.Attach(context.Background()), http.MethodPost, server.URL, transport.SingleUseBody([]byte("body")))
		require.NoError(t, err)
		req.ContentLength = 4
		resp, err := client.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		return trace, err
	}
	_, err := send("a")
	require.NoError(t, err)
	trace, err := send("b")
	require.NoError(t, err)
	require.True(t, trace.Reused())
	trace, err = send("a")
	require.Error(t, err)
	require.True(t, trace.NothingSent())
	require.True(t, trace.Reused())
	trace, err = send("a")
	require.NoError(t, err)
	require.False(t, trace.Reused(), "a new connection")
}
