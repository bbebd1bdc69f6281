package bench

import (
	"net"
	"sync/atomic"
)

// CountingListener counts the bytes that all accepted connections transfer. The count
// includes the headers of the application protocol, but not those of TCP and IP.
type CountingListener struct {
	net.Listener
	BytesIn, BytesOut atomic.Int64 // received and sent by the server
}

// ListenCounting listens on a free port of the loopback interface.
func ListenCounting() (*CountingListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return &CountingListener{Listener: l}, err
}

// Accept implements net.Listener.
func (l *CountingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{conn, l}, err
}

type countingConn struct {
	net.Conn
	listener *CountingListener
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.BytesIn.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.BytesOut.Add(int64(n))
	return n, err
}
