package tablestore

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// maxListBytes bounds the body of an answer of the host list.
const maxListBytes = 8 << 20

// HostListClient reads the host list over HTTP.
type HostListClient struct {
	base   string
	client *http.Client
}

// NewHostListClient returns a client of the service at the URL base.
func NewHostListClient(base string, client *http.Client) *HostListClient {
	return &HostListClient{base: base, client: client}
}

// Hosts implements HostList.
func (c *HostListClient) Hosts(ctx context.Context) ([]ListedHost, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/hosts", nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonConnectFailed, "read host list")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read host list: status %d", resp.StatusCode)
	}
	var body struct {
		Hosts []ListedHost `json:"hosts"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&body); err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadAnswer, "read host list")
	}
	return body.Hosts, nil
}
