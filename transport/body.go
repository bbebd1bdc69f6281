package transport

import (
	"bytes"
	"io"
)

// SingleUseBody returns a request body that net/http cannot rewind. Therefore net/http
// never retries the request automatically, not even with an Idempotency-Key header,
// which otherwise permits it to do so.
func SingleUseBody(data []byte) io.Reader { return &singleUseReader{reader: bytes.NewReader(data)} }

// singleUseReader hides the type of its reader from net/http, which can rewind a
// bytes.Reader.
type singleUseReader struct{ reader io.Reader }

// Read implements io.Reader.
func (r *singleUseReader) Read(p []byte) (int, error) { return r.reader.Read(p) }
