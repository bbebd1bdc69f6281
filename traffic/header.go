package traffic

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// privateHeaders concern only the caller and this process. The caller's token must
// not reach backend servers.
var privateHeaders = []string{"Authorization", "X-Class", "X-Deadline-Ms", "Content-Length"}

// forwardedHeader returns a copy of h without the headers that must not be forwarded.
func forwardedHeader(h http.Header) http.Header {
	forwarded := h.Clone()
	if forwarded == nil {
		forwarded = make(http.Header)
	}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	for _, name := range privateHeaders {
		forwarded.Del(name)
	}
	return forwarded
}
