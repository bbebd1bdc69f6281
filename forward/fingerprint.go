package forward

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// content returns the fingerprint of a request of a caller, empty for others.
func (r *Request) content() string {
	if r.Background {
		return ""
	}
	return r.Fingerprint()
}

// Fingerprint identifies the content of a request. Requests with the same method, host,
// path, query, organisation and body have the same fingerprint, whatever their ids.
func (r *Request) Fingerprint() string {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{r.Method, r.Host, r.Target, r.Organisation} {
		_, _ = d.WriteString(part) // never fails
		_, _ = d.Write([]byte{0})  // never fails
	}
	_, _ = d.Write(r.Body) // never fails
	return strconv.FormatUint(d.Sum64(), 16)
}
