package frontend

import (
	"context"
	"fmt"
	"net"
	"syscall"
)

// acceptBacklog bounds the connections that wait to be accepted. The kernel keeps what their
// callers send, up to the receive buffer for each; the 4,096 of the system kept 213 MB.
const acceptBacklog = 256

// Listen listens on a TCP address. Connections that are accepted have socket buffers of a
// number of bytes, also while they wait to be accepted.
func Listen(address string, buffer int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return control(c, func(fd int) error {
			if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer); err != nil {
				return err
			}
			return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, buffer)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = control(raw, func(fd int) error { return syscall.Listen(fd, acceptBacklog) })
	}
	if err != nil {
		_ = l.Close()
		return nil, fmt.Errorf("bound the connections that wait: %w", err)
	}
	return l, nil
}

// control calls f with the descriptor of a socket.
func control(c syscall.RawConn, f func(fd int) error) error {
	var failed error
	if err := c.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return err
	}
	return failed
}
