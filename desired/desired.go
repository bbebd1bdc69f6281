// Package desired defines the desired state that operators configure: routes, services and
// limits. A State is immutable once it has been read.
package desired

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RouteKind is the kind of requests of a route. It determines whether a request may be
// retried.
type RouteKind string

// Kinds of routes. An unknown kind is treated as KindNonIdempotent.
const (
	KindIdempotent    RouteKind = "idempotent"
	KindNonIdempotent RouteKind = "non_idempotent"
	KindStream        RouteKind = "stream"
	KindRollout       RouteKind = "rollout"
)

// State is a complete desired state.
type State struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Organisations lists the organisations whose keys callers send. Nil means that the
	// deployment does not tell callers apart.
	Organisations []Organisation
}

// Organisation is a group of callers that share keys and a priority.
type Organisation struct {
	Name string
	Keys []string
	// Priority takes precedence over that of the route, 0 is the highest. Nil means that the
	// priority of the route applies.
	Priority *int
}

// Route maps the requests for a host and path prefix to a service, or splits them among
// several services.
type Route struct {
	Name             string
	Host             string
	Prefix           string
	Kind             RouteKind
	Services         []WeightedService
	Timeout          time.Duration // maximum time that a caller waits, 0 if not set
	LatencyTarget    time.Duration
	CompletionTarget time.Duration // time after the submission of a lot by which all its results are due
	ItemTimeout      time.Duration // time after the submission at which an item may be abandoned
	MaxAttempts      int           // maximum number of backend servers that one request may run on
	Priority         int           // 0 is the highest
	Resumable        bool          // a broken stream may continue at another backend server
	SingleVersion    bool          // all output of an item must come from one version of the weights
	Public           bool          // callers need no key
}

// WeightedService is a service of a route and its weight among the route's services.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name   string
	Models []string // models that the servers of an engine service offer, empty for other services
	// MemoryTokens is the number of tokens that fit into the memory of one engine, 0 if unknown.
	MemoryTokens int
	Scaling      *Scaling // nil if the number of servers cannot be changed
}

// Scaling bounds the servers of a service that may be ordered from the platform.
type Scaling struct {
	Min, Max       int                // servers in each availability zone, ordinary and spot together
	StartupTime    time.Duration      // from the order of a server until it serves
	SpotPriceRatio float64            // price of a spot server relative to an ordinary one
	ZonePrices     map[string]float64 // price of a second of an ordinary server by availability zone
}

// Limits bounds requests of callers and the connections that they hold. A limit of 0 is not
// set.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// HeaderFits reports whether a header is within HeaderBytes. It counts only names and
// values, so that it never rejects a header whose full size is at the limit.
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

// Match returns the route of host with the longest matching prefix of path, or nil if there
// is none. Prefixes end with a slash, so a prefix never ends within a path segment.
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

// Service returns the service for the request with the given id. On a route that is split
// among services, the same id always gets the same service.
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
