package traffic

import (
	"net/http"
	"strings"
)

// hopByHopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// privateHeaders are between the caller and this system. The caller's token must
// not reach backend servers.
var privateHeaders = []string{"Authorization", "X-Class", "X-Deadline-Ms", "Content-Length"}

// forwardedHeader returns a copy without headers that must not be passed on.
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
