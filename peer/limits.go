package peer

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
)

const (
	// serverStreams bounds the calls of one connection that run at the same time. A host
	// relays at most some dozen calls of the store at a time.
	serverStreams = 256
	// serverHeaderBytes bounds the header block of a call. Calls have a few short fields.
	serverHeaderBytes = 16 << 10
	// handshakeTimeout is for the greeting of a new connection.
	handshakeTimeout = 3 * time.Second
	// A connection is closed if it had no call for idleTimeout, or if it does not answer a
	// ping. Hosts dial again with their next call.
	idleTimeout = 5 * time.Minute
	pingAfter   = 10 * time.Second
	pingTimeout = 5 * time.Second
	// A window of the first size avoids that a connection that is not a host's obtains larger
	// ones. Messages that exceed it get further ones.
	streamWindow = 64 << 10
	connWindow   = 1 << 20
	// connBuffer is the size of the buffers of a connection in the process. 32 KiB, the
	// default, would be 23 MB for the 360 hosts that connect to one.
	connBuffer = 8 << 10
	// pingInterval permits any number of pings. Beyond a limit, the library queues a frame for
	// each further ping (0.4 MB for each connection of a flood); without one, it reads no
	// further ping while 50 answers wait.
	pingInterval = time.Nanosecond
)

// ServerLimits returns the options of a server that bound what connections of other hosts
// may hold.
func ServerLimits() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxConcurrentStreams(serverStreams), grpc.MaxHeaderListSize(serverHeaderBytes), grpc.ConnectionTimeout(handshakeTimeout),
		grpc.InitialWindowSize(streamWindow), grpc.InitialConnWindowSize(connWindow),
		grpc.ReadBufferSize(connBuffer), grpc.WriteBufferSize(connBuffer),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleTimeout, Time: pingAfter, Timeout: pingTimeout}),
	}
}
