package bench

import (
	"net"
	"sync/atomic"
)

// CountingListener counts the bytes of all connections that a listener accepts, with their
// headers and without those of TCP and IP.
type CountingListener struct {
	net.Listener
	BytesIn, BytesOut atomic.Int64 // as the server sees them
}

// ListenCounting listens on a free port of the loopback interface.
func ListenCounting() (*CountingListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return &CountingListener{Listener: l}, err
}

// Accept implements net.Listener.
func (w *CountingListener) Accept() (net.Conn, error) {
	conn, err := w.Listener.Accept()
	return &wireConn{conn, w}, err
}

type wireConn struct {
	net.Conn
	w *CountingListener
}

func (c *wireConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.w.BytesIn.Add(int64(n))
	return n, err
}

func (c *wireConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.w.BytesOut.Add(int64(n))
	return n, err
}
