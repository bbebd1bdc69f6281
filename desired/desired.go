// Package desired holds the desired state that operators write: routes, services
// and limits. A state is immutable once it has been read.
package desired

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RouteKind says what may be repeated for a request of a route.
type RouteKind string

// Kinds of routes. A kind that is not among them is treated as non-idempotent.
const (
	KindIdempotent    RouteKind = "idempotent"
	KindNonIdempotent RouteKind = "non_idempotent"
	KindStream        RouteKind = "stream"
	KindRollout       RouteKind = "rollout"
)

// State is a whole desired state.
type State struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Route sends the requests of a host and path prefix to a service.
type Route struct {
	Name             string
	Host             string
	Prefix           string
	Kind             RouteKind
	Services         []WeightedService
	Timeout          time.Duration // longest time a caller is kept waiting, 0 without a limit
	LatencyTarget    time.Duration
	CompletionTarget time.Duration // all results of a lot are due this long after its submission
	ItemTimeout      time.Duration // an item may be given up this long after the submission
	MaxAttempts      int           // backend servers that one request may run on
	Priority         int           // 0 is the highest
	Resumable        bool
	SingleVersion    bool
}

// WeightedService is a service of a route and its weight among the route's services.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name   string
	Models []string // models of an engine, empty for a plain service
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// HeaderFits reports whether a header is within the limit on its bytes. It counts names
// and values only, so that a header at the limit is never refused.
func (l Limits) HeaderFits(header map[string][]string) bool {
	if l.HeaderBytes <= 0 {
		return true
	}
	size := 0
	for name, values := range header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size <= l.HeaderBytes
}

// Match returns the route with the longest prefix of path, nil if there is none.
// Prefixes end with a slash, so a prefix never splits a path segment.
func (s *State) Match(host, path string) *Route {
	var best *Route
	for i := range s.Routes {
		r := &s.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Service returns the service for a request: the same id always gets the same
// service of a split route.
func (r *Route) Service(id string) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	point := float64(xxhash.Sum64String(id)%10000) / 10000 * total
	for _, s := range r.Services {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return ""
}
