package transport

import (
	"bytes"
	"io"
)

// SingleUseBody returns a request body that net/http cannot rewind, so that it never
// repeats a request by itself. net/http takes an Idempotency-Key header as
// permission to repeat.
func SingleUseBody(data []byte) io.Reader { return &singleUseReader{reader: bytes.NewReader(data)} }

// singleUseReader hides the type of its reader from net/http.
type singleUseReader struct{ reader io.Reader }

// Read implements io.Reader.
func (r *singleUseReader) Read(p []byte) (int, error) { return r.reader.Read(p) }
