package tablestore

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// MaxObjectBytes bounds the size of an object that is written or read.
const MaxObjectBytes = 64 << 20

// ObjectsClient is a client of the object store over HTTP.
type ObjectsClient struct {
	base   string
	client *http.Client
}

// NewObjectsClient returns a client of the service at the URL base.
func NewObjectsClient(base string, client *http.Client) *ObjectsClient {
	return &ObjectsClient{base: base, client: client}
}

func (c *ObjectsClient) url(key string) string {
	return c.base + "/v1/object?key=" + url.QueryEscape(key)
}

// Put implements Objects. It may be repeated after any error except a conflict.
func (c *ObjectsClient) Put(ctx context.Context, key string, data []byte) error {
	if len(data) > MaxObjectBytes {
		return verdict.New(verdict.NotRun, verdict.ReasonBodyTooLarge, "object %s is too large: %d bytes", key, len(data))
	}
	resp, err := write(ctx, c.client, http.MethodPut, c.url(key), data)
	if err != nil {
		return err
	}
	defer closeBody(resp)
	switch resp.StatusCode {
	case http.StatusOK:
		return readToEnd(resp, "put object "+key)
	case http.StatusConflict:
		return verdict.New(verdict.NotRun, verdict.ReasonConflict, "object %s exists with other bytes", key)
	}
	return statusError(resp, "put object "+key)
}

// Get implements Objects.
func (c *ObjectsClient) Get(ctx context.Context, key string) ([]byte, bool, error) {
	resp, err := read(ctx, c.client, c.url(key))
	if err != nil {
		return nil, false, err
	}
	defer closeBody(resp)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, false, nil
	default:
		return nil, false, readStatusError(resp, "get object "+key)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxObjectBytes+1))
	if err != nil || len(data) > MaxObjectBytes {
		return nil, false, verdict.New(verdict.NotRun, verdict.ReasonBadAnswer,
			"get object %s: answer incomplete or too large after %d bytes: %v", key, len(data), err)
	}
	return data, true, nil
}

// Delete implements Objects.
func (c *ObjectsClient) Delete(ctx context.Context, key string) error {
	resp, err := write(ctx, c.client, http.MethodDelete, c.url(key), nil)
	if err != nil {
		return err
	}
	defer closeBody(resp)
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent, http.StatusNotFound:
		return nil
	}
	return statusError(resp, "delete object "+key)
}

// WeightsClient is a client of the weight store over HTTP.
type WeightsClient struct {
	base   string
	client *http.Client
}

// NewWeightsClient returns a client of the service at the URL base.
func NewWeightsClient(base string, client *http.Client) *WeightsClient {
	return &WeightsClient{base: base, client: client}
}

// Fetch copies the weights of a version to w and returns their size in bytes. If
// it returns an error, w holds the weights in part or not at all.
func (c *WeightsClient) Fetch(ctx context.Context, model string, version int64, w io.Writer) (int64, error) {
	query := url.Values{"model": {model}, "version": {strconv.FormatInt(version, 10)}}
	resp, err := read(ctx, c.client, c.base+"/v1/weights?"+query.Encode())
	if err != nil {
		return 0, err
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return 0, readStatusError(resp, "fetch weights of "+model)
	}
	n, err := io.Copy(w, resp.Body)
	if err != nil {
		return n, verdict.Wrap(err, verdict.NotRun, verdict.ReasonTruncatedAnswer, "fetch weights of %s", model)
	}
	return n, nil
}
