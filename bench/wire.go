package bench

import (
	"net"
	"sync/atomic"
)

// Wire counts the bytes of all connections that a listener accepts, with their
// headers and without those of TCP and IP.
type Wire struct {
	net.Listener
	In, Out atomic.Int64 // as the server sees them
}

// ListenWire listens on a free port of the loopback interface.
func ListenWire() (*Wire, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return &Wire{Listener: l}, err
}

// Accept implements net.Listener.
func (w *Wire) Accept() (net.Conn, error) {
	conn, err := w.Listener.Accept()
	return &wireConn{conn, w}, err
}

type wireConn struct {
	net.Conn
	w *Wire
}

func (c *wireConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.w.In.Add(int64(n))
	return n, err
}

func (c *wireConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.w.Out.Add(int64(n))
	return n, err
}
