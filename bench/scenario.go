package bench

import (
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/plan"
)

// Deployment describes a deployment: its hosts and backend servers, classes and
// policy, and the loads at different times of the day.
type Deployment struct {
	Name            string
	Zones           int
	Engines         int           // number of engines
	Services        int           // number of plain servers
	Hosts           int           // number of entry hosts
	ZoneDelay       time.Duration // one-way network delay between two zones
	ClientDelay     time.Duration // one-way network delay between a caller and an entry host
	Classes         map[string]plan.ClassConfig
	BatchGroups     int           // groups of a batch
	GroupSamples    int           // samples of a group
	StepDuration    time.Duration // of a training step
	StepsPerVersion int           // steps of the first trainer between two weight versions
	Policy          plan.PolicyConfig
	Loads           map[string]Load // by name
}

// Load is the work that trainers and callers offer.
type Load struct {
	Trainers int
	Calls    []CallStream
}

// CallStream is a stream of callers' requests.
type CallStream struct {
	Class           string
	PerSecond       float64
	MedianTokens    float64       // median length of a completion, 0 for a plain service
	MeanServiceTime time.Duration // of a plain service
	Idempotent      bool
}

// Properties of the fakes. The rates are those of a small engine: a sequence gets 120
// tokens/s if it runs alone and about 70 in a full batch of 16.
const (
	engineSlots        = 16    // sequences that run concurrently
	singleSequenceRate = 120.0 // tokens/s of a sequence that runs alone
	batchSlowdownRatio = 0.05  // increase of the time per token for each other running sequence
	cacheBlocks        = 2048  // capacity of a prefix cache, in prompt blocks
	prefillBlockCost   = 0.5   // time of an uncached prompt block, in times of a token
	promptBlocks       = 32    // blocks of a prompt
	sharedBlocks       = 16    // blocks that all prompts of a source share

	serviceSlots = 8
	serviceRate  = 1000.0 // work units/s; a unit is 1 ms of work

	reportInterval      = 250 * time.Millisecond // maximum age of a server's state report
	cacheEventDelay     = 2 * time.Second        // until a cache event becomes visible
	cacheEventLossShare = 0.01                   // share of cache events that are lost
	listLag             = 5 * time.Second        // of the host list
	weightLoadDuration  = 10 * time.Second       // of one version from the weight store to an engine
	storeDelay          = 8 * time.Millisecond   // of a call of the table service
	sampleMedianTokens  = 400.0                  // median length of a sample
	sampleSigma         = 0.8                    // log-normal spread of the lengths in a group
	groupSigma          = 0.4                    // log-normal spread of the median lengths of groups, which differ in difficulty
	callSigma           = 0.4                    // log-normal spread of the lengths of callers' completions
	maxSampleTokens     = 4096                   // largest length of a sample

	// DefaultWarmUp is the start of a run, which is not part of the result.
	// DefaultMeasure is the time that is measured after it.
	DefaultWarmUp  = 4 * time.Minute
	DefaultMeasure = 15 * time.Minute
)

// Pamoja returns the deployment of the Pamoja platform for timber reuse.
func Pamoja() Deployment {
	return Deployment{
		Name: "pamoja", Zones: 3, Engines: 9, Services: 3, Hosts: 9,
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

// Cymru returns the deployment of Cymru, a system of station clocks.
func Cymru() Deployment {
	d := Pamoja()
	d.Name, d.Zones, d.Engines, d.Services = "cymru", 4, 8, 4
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

// Policy is a combination of policies that a comparison measures.
type Policy struct {
	Name       string
	Routing    plan.RoutingPolicy
	Stragglers plan.StragglerPolicy
	NoShares   bool // training may always occupy all slots
	Oracle     bool // the picker uses the actual loads and lengths
}

// Policies returns the deployment's own policy, alternatives to it, baselines and the
// oracle.
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
		return p.Name == "stragglers_"+string(own.Stragglers) // same as the policy named system
	})
}

// Faults lists the names of the faults. The first one stands for no fault.
var Faults = []string{"none", "crash", "slow", "store", "lagging_list", "departure"}

// Setup holds the parameters of one run.
type Setup struct {
	Deployment Deployment
	Load       string
	Policy     Policy
	Fault      string
	Seed       uint64
	WarmUp     time.Duration // start of the run, not part of the result
	Measure    time.Duration // rest of the run, which is measured
}
