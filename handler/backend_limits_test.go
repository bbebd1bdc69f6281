package handler

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/event"
)

// TestOrdersToManyDistantServers guards against orders that wait for other orders
// until their deadline has passed. The server answers no order until it has
// received all 256.
func TestOrdersToManyDistantServers(t *testing.T) {
	const orders = 256
	var arrived sync.WaitGroup
	arrived.Add(orders)
	all := make(chan struct{})
	go func() { arrived.Wait(); close(all) }()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only once the body is read
		arrived.Done()
		select {
		case <-all:
		case <-r.Context().Done():
		}
		w.WriteHeader(http.StatusAccepted)
	}))
	defer server.Close()
	inbox := control.NewInbox(orders)
	dispatcher := control.NewDispatcher(context.Background(), inbox, func(command.Command) {})
	client := engine.NewClient("")
	defer client.CloseIdle()
	start := time.Now()
	RegisterBackends(dispatcher, BackendDeps{Client: client, Clock: func() time.Duration { return time.Since(start) }})
	for range orders {
		dispatcher.Execute(command.OrderWeights{Backend: "e", Address: server.Listener.Addr().String(), Deadline: 5 * time.Second})
	}
	dispatcher.Wait()
	answers := inbox.Drain()
	require.Len(t, answers, orders)
	for _, e := range answers {
		require.Nil(t, e.(event.OrderAnswered).Failure)
	}
}
