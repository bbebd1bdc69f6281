package bench

import (
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/plan"
)

// Deployment is the part of a scenario that does not depend on the hour.
type Deployment struct {
	Name            string
	Zones           int
	Samplers        int
	Services        int // plain servers
	Hosts           int // entry hosts
	ZoneDelay       time.Duration
	ClientDelay     time.Duration
	Classes         map[string]plan.ClassConfig
	BatchGroups     int
	GroupSamples    int
	StepDuration    time.Duration // time of a training step
	StepsPerVersion int           // steps of the first trainer between two weight versions
	Policy          plan.PolicyConfig
	Loads           map[string]Load
}

// Load is the offered work.
type Load struct {
	Trainers int
	Calls    []CallStream
}

// CallStream is a stream of callers' requests.
type CallStream struct {
	Class           string
	PerSecond       float64
	MedianTokens    float64       // median of a completion, 0 for plain services
	MeanServiceTime time.Duration // mean service time of a plain service
	Idempotent      bool
}

// Properties of the fakes. Rates are those of a small engine: 120 tokens/s alone
// and about 70 with a full batch of 16.
const (
	engineSlots        = 16
	singleSequenceRate = 120.0 // tokens/s of a single sequence
	batchSlowdown      = 0.05  // added time per token for each other sequence
	cacheBlocks        = 2048
	prefillBlockCost   = 0.5 // token times of one prompt block that is not cached
	promptBlocks       = 32
	sharedBlocks       = 16 // blocks that the prompts of one source share

	serviceSlots = 8
	serviceRate  = 1000.0 // units/s; a unit is 1 ms of work

	reportInterval      = 250 * time.Millisecond // an engine's report is up to this old
	cacheEventDelay     = 2 * time.Second
	cacheEventLossShare = 0.01 // of cache events
	listLag             = 5 * time.Second
	weightLoadDuration  = 10 * time.Second // of one engine from the weight store
	storeDelay          = 8 * time.Millisecond
	sampleMedianTokens  = 400.0 // tokens
	sampleSigma         = 0.8
	groupSigma          = 0.4 // difficulty of a group
	callSigma           = 0.4
	maxSampleTokens     = 4096

	// DefaultWarmUp is left out of the figures; DefaultMeasure is measured after it.
	DefaultWarmUp  = 4 * time.Minute
	DefaultMeasure = 15 * time.Minute
)

// Pamoja is the timber reuse platform.
func Pamoja() Deployment {
	return Deployment{
		Name: "pamoja", Zones: 3, Samplers: 9, Services: 3, Hosts: 9,
		ZoneDelay: 1500 * time.Microsecond, ClientDelay: 3 * time.Millisecond,
		Classes: map[string]plan.ClassConfig{
			"live":     {LatencyMS: 800, OnTimeShare: 0.99},
			"checks":   {LatencyMS: 5000, OnTimeShare: 0.95},
			"rollouts": {TokensPerSecond: 20000, StalenessBound: 4},
		},
		BatchGroups: 24, GroupSamples: 8, StepDuration: 45 * time.Second, StepsPerVersion: 3,
		Policy: plan.PolicyConfig{Routing: plan.LeastCorrected, Stragglers: plan.StragglersHedged, MaxWeightFetches: 3, MaxAheadGroups: 16},
		Loads: map[string]Load{
			"peak": {Trainers: 3, Calls: []CallStream{
				{Class: "live", PerSecond: 30, MedianTokens: 16}, {Class: "checks", PerSecond: 4, MedianTokens: 100},
				{Class: "live", PerSecond: 100, MeanServiceTime: 20 * time.Millisecond, Idempotent: true},
				{Class: "live", PerSecond: 10, MeanServiceTime: 50 * time.Millisecond},
			}},
			"off_peak": {Trainers: 2, Calls: []CallStream{
				{Class: "live", PerSecond: 8, MedianTokens: 16}, {Class: "checks", PerSecond: 2, MedianTokens: 100},
				{Class: "live", PerSecond: 25, MeanServiceTime: 20 * time.Millisecond, Idempotent: true},
				{Class: "live", PerSecond: 3, MeanServiceTime: 50 * time.Millisecond},
			}},
		},
	}
}

// Cymru is the station clocks.
func Cymru() Deployment {
	d := Pamoja()
	d.Name, d.Zones, d.Samplers, d.Services = "cymru", 4, 8, 4
	d.ZoneDelay = 500 * time.Microsecond
	d.Classes = map[string]plan.ClassConfig{
		"live":     {LatencyMS: 500, OnTimeShare: 0.995},
		"faults":   {LatencyMS: 2000, OnTimeShare: 0.999},
		"rollouts": {StalenessBound: 2},
	}
	d.BatchGroups = 20
	d.Policy = plan.PolicyConfig{Routing: plan.LeastCorrected, Stragglers: plan.StragglersPriority, MaxWeightFetches: 3, MaxAheadGroups: 8}
	d.Loads = map[string]Load{
		"peak": {Trainers: 3, Calls: []CallStream{
			{Class: "live", PerSecond: 25, MedianTokens: 8},
			{Class: "live", PerSecond: 60, MeanServiceTime: 20 * time.Millisecond, Idempotent: true},
			{Class: "faults", PerSecond: 5, MeanServiceTime: 100 * time.Millisecond},
		}},
		"off_peak": {Trainers: 2, Calls: []CallStream{
			{Class: "live", PerSecond: 6, MedianTokens: 8},
			{Class: "live", PerSecond: 15, MeanServiceTime: 20 * time.Millisecond, Idempotent: true},
			{Class: "faults", PerSecond: 1, MeanServiceTime: 100 * time.Millisecond},
		}},
	}
	return d
}

// Policy is a row of a comparison.
type Policy struct {
	Name       string
	Routing    plan.RoutingPolicy
	Stragglers plan.StragglerPolicy
	NoShares   bool // training may always fill all slots
	Oracle     bool // the picker knows true loads and lengths
}

// Policies returns the deployment's own policy, its alternatives and baselines,
// and the oracle.
func Policies(d Deployment) []Policy {
	own := d.Policy
	policies := []Policy{
		{Name: "system", Routing: own.Routing, Stragglers: own.Stragglers},
		{Name: "round_robin", Routing: plan.RoundRobin, Stragglers: own.Stragglers},
		{Name: "least_reported", Routing: plan.LeastReported, Stragglers: own.Stragglers},
		{Name: "stragglers_none", Routing: own.Routing, Stragglers: plan.StragglersIgnored},
		{Name: "stragglers_priority", Routing: own.Routing, Stragglers: plan.StragglersPriority},
		{Name: "stragglers_hedged", Routing: own.Routing, Stragglers: plan.StragglersHedged},
		{Name: "shares_off", Routing: own.Routing, Stragglers: own.Stragglers, NoShares: true},
		{Name: "all_baselines", Routing: plan.RoundRobin, Stragglers: plan.StragglersIgnored, NoShares: true},
		{Name: "oracle", Routing: own.Routing, Stragglers: own.Stragglers, Oracle: true},
	}
	return slices.DeleteFunc(policies, func(p Policy) bool {
		return p.Name == "stragglers_"+string(own.Stragglers) // the same as system
	})
}

// Faults are the names of single faults, none first.
var Faults = []string{"none", "crash", "slow", "store", "lagging_list", "departure"}

// Setup is one run.
type Setup struct {
	Deployment Deployment
	Load       string
	Policy     Policy
	Fault      string
	Seed       uint64
	WarmUp     time.Duration
	Measure    time.Duration
}
