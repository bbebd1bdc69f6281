package peer

import (
	"context"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// tokenCredentials adds a bearer token to each call.
type tokenCredentials struct{ token string }

// GetRequestMetadata implements credentials.PerRPCCredentials.
func (t tokenCredentials) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return map[string]string{"authorization": "Bearer " + t.token}, nil
}

// RequireTransportSecurity implements credentials.PerRPCCredentials.
func (t tokenCredentials) RequireTransportSecurity() bool { return false }

// Dialer keeps one connection for each peer address. It is safe for concurrent use.
type Dialer struct {
	token string

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewDialer returns a dialer whose calls carry the given token.
func NewDialer(token string) *Dialer {
	return &Dialer{token: token, conns: make(map[string]*grpc.ClientConn)}
}

// Conn returns the connection to an address, which consists of an IP address and a
// port. It does not wait until the connection is established.
func (d *Dialer) Conn(address string) (*grpc.ClientConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if conn := d.conns[address]; conn != nil {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithPerRPCCredentials(tokenCredentials{token: d.token}),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry())
	if err != nil {
		return nil, err
	}
	d.conns[address] = conn
	return conn, nil
}

// Forget closes the connection to an address that is no longer a peer.
func (d *Dialer) Forget(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if conn := d.conns[address]; conn != nil {
		_ = conn.Close()
		delete(d.conns, address)
	}
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, conn := range d.conns {
		_ = conn.Close()
		delete(d.conns, address)
	}
}
