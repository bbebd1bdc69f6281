package plan

import "time"

// Config is the configuration set by the operators. Unknown fields, which a newer
// program version may have written, are ignored on read.
type Config struct {
	Classes  map[string]ClassConfig   `json:"classes" toml:"classes"`
	Routes   map[string]RouteConfig   `json:"routes" toml:"routes"`
	Trainers map[string]TrainerConfig `json:"trainers" toml:"trainers"`
	Backends map[string]BackendConfig `json:"backends,omitempty" toml:"backends"`
	Policy   PolicyConfig             `json:"policy" toml:"policy"`
}

// ClassConfig is the target of a class of requests. A zero field sets no target.
type ClassConfig struct {
	LatencyMS       int64   `json:"latency_ms,omitempty" toml:"latency_ms"`
	OnTimeShare     float64 `json:"on_time_share,omitempty" toml:"on_time_share"`
	TokensPerSecond float64 `json:"tokens_per_second,omitempty" toml:"tokens_per_second"`
	StalenessBound  int64   `json:"staleness_bound,omitempty" toml:"staleness_bound"`
}

// Target is a ClassConfig with its latency as a time.Duration.
type Target struct {
	Latency         time.Duration
	OnTimeShare     float64 // share of requests to be answered within Latency, 0 to 1
	TokensPerSecond float64
	StalenessBound  int64 // weight versions
}

// Target converts the configured target.
func (c ClassConfig) Target() Target {
	return Target{
		Latency:         time.Duration(c.LatencyMS) * time.Millisecond,
		OnTimeShare:     c.OnTimeShare,
		TokensPerSecond: c.TokensPerSecond,
		StalenessBound:  c.StalenessBound,
	}
}

// RouteConfig is a route to plain services.
type RouteConfig struct {
	Service    string `json:"service" toml:"service"`
	Idempotent bool   `json:"idempotent" toml:"idempotent"`
	Class      string `json:"class" toml:"class"`
}

// TrainerConfig names the model and the class of a trainer.
type TrainerConfig struct {
	Model string `json:"model" toml:"model"`
	Class string `json:"class" toml:"class"`
}

// BackendConfig states which checks a backend server makes. It overrides the host list.
type BackendConfig struct {
	ChecksFence    bool `json:"checks_fence" toml:"checks_fence"`
	ChecksIdentity bool `json:"checks_identity" toml:"checks_identity"`
}

// RoutingPolicy is the name of a routing policy.
type RoutingPolicy string

// Routing policies. RoundRobin and LeastReported are the baselines for comparisons.
const (
	RoundRobin     RoutingPolicy = "round_robin"
	LeastReported  RoutingPolicy = "least_reported"
	LeastCorrected RoutingPolicy = "corrected"
)

// StragglerPolicy is the name of a policy for the last samples of a group.
type StragglerPolicy string

// Straggler policies. StragglersIgnored is the baseline for comparisons.
const (
	StragglersIgnored  StragglerPolicy = "none"
	StragglersPriority StragglerPolicy = "priority"
	StragglersHedged   StragglerPolicy = "hedged"
)

// PolicyConfig selects the policies and their limits. A zero field selects the default.
type PolicyConfig struct {
	Routing          RoutingPolicy   `json:"routing,omitempty" toml:"routing"`
	Stragglers       StragglerPolicy `json:"stragglers,omitempty" toml:"stragglers"`
	MaxWeightFetches int             `json:"weight_fetches,omitempty" toml:"weight_fetches"` // engines that load weights at once
	MaxAheadGroups   int             `json:"ahead_groups,omitempty" toml:"ahead_groups"`     // groups in flight beyond one batch
}
