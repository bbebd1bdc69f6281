package standin

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
)

const (
	balancerCheckTimeout = 500 * time.Millisecond // of one readiness check of all hosts
	balancerBufferBytes  = 32 << 10               // read buffer of one response
)

// BalancerOptions configure a Balancer.
type BalancerOptions struct {
	Hosts  []string      // HTTP addresses of entry hosts
	Lag    time.Duration // between two readiness checks
	Repeat bool          // repeat a request once on another host after a connection error
}

// Balancer is a fake of the platform's load balancer. It forwards requests in
// round-robin order to the entry hosts that were ready at the last check.
type Balancer struct {
	options BalancerOptions
	client  *http.Client
	ready   atomic.Pointer[[]string]
	next    atomic.Uint64
}

// NewBalancer returns a balancer. It forwards requests only after Run has
// found a ready host.
func NewBalancer(o BalancerOptions) *Balancer {
	setDefault(&o.Lag, time.Second)
	b := &Balancer{options: o, client: &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	b.ready.Store(&[]string{})
	return b
}

// Run checks the readiness of the entry hosts until ctx ends.
func (b *Balancer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		ready := b.check(ctx)
		b.ready.Store(&ready)
		pause(ctx, b.options.Lag)
	}
	return nil
}

// check returns the hosts that are ready. It checks all hosts concurrently, so
// that a paused host does not delay the answers of the others.
func (b *Balancer) check(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, balancerCheckTimeout)
	defer cancel()
	answers := make([]bool, len(b.options.Hosts))
	var wg sync.WaitGroup
	for i, host := range b.options.Hosts {
		wg.Go(func() { answers[i] = b.isReady(ctx, host) })
	}
	wg.Wait()
	var ready []string
	for i, ok := range answers {
		if ok {
			ready = append(ready, b.options.Hosts[i])
		}
	}
	return ready
}

func (b *Balancer) isReady(ctx context.Context, host string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// Register adds a route that forwards every request.
func (b *Balancer) Register(r *echo.Echo) { r.Any("/*", b.serve) }

func (b *Balancer) serve(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxServiceBodyBytes))
	if err != nil {
		return echo.ErrStatusRequestEntityTooLarge
	}
	ready := *b.ready.Load()
	if len(ready) == 0 {
		return c.String(http.StatusServiceUnavailable, "no entry host is ready")
	}
	attempts := 1
	if b.options.Repeat {
		attempts = min(2, len(ready))
	}
	first := b.next.Add(1)
	for i := range attempts {
		host := ready[(first+uint64(i))%uint64(len(ready))]
		if b.forward(c, host, body) {
			return nil
		}
	}
	// Abort the connection without a response, as a real load balancer does.
	// The client cannot tell whether the request ran.
	panic(http.ErrAbortHandler)
}

// forward sends a request to a host and copies the response to the client. It
// returns false if no response headers arrived.
func (b *Balancer) forward(c echo.Context, host string, body []byte) bool {
	in := c.Request()
	out, err := http.NewRequestWithContext(in.Context(), in.Method, "http://"+host+in.URL.RequestURI(), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return false
	}
	out.ContentLength = int64(len(body))
	out.Header = in.Header.Clone()
	resp, err := b.client.Do(out)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	copyResponse(c, resp)
	return true
}

// copyResponse copies a response to the client as it arrives. If the response
// breaks off, the client's connection is aborted too.
func copyResponse(c echo.Context, resp *http.Response) {
	for name, values := range resp.Header {
		c.Response().Header()[name] = values
	}
	c.Response().WriteHeader(resp.StatusCode)
	buffer := make([]byte, balancerBufferBytes)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if _, err := c.Response().Write(buffer[:n]); err != nil {
				return
			}
			c.Response().Flush()
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
