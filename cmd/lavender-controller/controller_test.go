package main

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/settings"
)

// TestStopsOnSignal guards against a controller that does not end after a
// planned stop, or that ends at once on a second signal.
func TestStopsOnSignal(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := settings.Default()
	s.Host.Name, s.Listen.GRPC = "h1", listener.Addr().String()
	s.Platform.Hosts = "http://" + listener.Addr().String()
	require.NoError(t, listener.Close())
	ended := make(chan error, 1)
	go func() { ended <- serve(s) }()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", s.Listen.GRPC)
		if err != nil {
			return false
		}
		return conn.Close() == nil
	}, 5*time.Second, 10*time.Millisecond)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the controller did not end")
	}
}
