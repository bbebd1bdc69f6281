package main

import (
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/settings"
)

// TestStopsOnSignal guards against a controller that does not exit after a
// graceful shutdown, or that exits at once on a second signal. The platform is
// unavailable, and the stop must not wait for it beyond its limits.
func TestStopsOnSignal(t *testing.T) {
	s := settings.Default()
	s.Host.Name = "h1"
	s.Listen = settings.Listen{HTTP: freeAddress(t), GRPC: freeAddress(t)}
	down := "http://" + freeAddress(t)
	s.Platform = settings.Platform{Tables: down, Objects: down, Hosts: down}
	s.Identity = writeIdentity(t)
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
		t.Fatal("the controller did not exit within 10 s of SIGTERM")
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func writeIdentity(t *testing.T) settings.Identity {
	t.Helper()
	dir := t.TempDir()
	token, principals := filepath.Join(dir, "token"), filepath.Join(dir, "principals.toml")
	require.NoError(t, os.WriteFile(token, []byte("0123456789abcdef0123456789abcdef"), 0o600))
	require.NoError(t, os.WriteFile(principals,
		[]byte("[[principal]]\nname = 'process'\nrole = 'process'\ntoken_file = '"+token+"'\n"), 0o600))
	return settings.Identity{PrincipalsFile: principals, ProcessTokenFile: token}
}
