package plan

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Bounds of a configuration.
const (
	MaxConfigEntries = 10000 // of each kind
	MaxNameBytes     = 128
	maxLatencyMS     = 3600_000
	maxStaleness     = 1000 // weight versions
	maxWeightFetches = 1000
	maxAheadGroups   = 100_000
)

// Check returns all faults of a configuration, joined. Each names the key.
func (c Config) Check() error {
	var faults errorList
	checkNames(&faults, "classes", c.Classes)
	checkNames(&faults, "routes", c.Routes)
	checkNames(&faults, "trainers", c.Trainers)
	checkNames(&faults, "backends", c.Backends)
	for _, name := range slices.Sorted(maps.Keys(c.Classes)) {
		c.Classes[name].check(&faults, "classes."+name)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Routes)) {
		route := c.Routes[name]
		faults.add(route.Service == "", "routes.%s.service: is missing", name)
		c.checkClass(&faults, "routes."+name, route.Class)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Trainers)) {
		trainer := c.Trainers[name]
		faults.add(trainer.Model == "", "trainers.%s.model: is missing", name)
		c.checkClass(&faults, "trainers."+name, trainer.Class)
	}
	c.Policy.check(&faults)
	return errors.Join(faults...)
}

type errorList []error

func (f *errorList) add(bad bool, format string, args ...any) {
	if bad {
		*f = append(*f, fmt.Errorf(format, args...))
	}
}

func checkNames[V any](faults *errorList, kind string, entries map[string]V) {
	faults.add(len(entries) > MaxConfigEntries, "%s: %d entries, more than %d", kind, len(entries), MaxConfigEntries)
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		faults.add(name == "" || len(name) > MaxNameBytes, "%s: name %.20q has %d bytes, not 1 to %d", kind, name, len(name), MaxNameBytes)
	}
}

func (c Config) checkClass(faults *errorList, key, class string) {
	_, known := c.Classes[class]
	faults.add(!known, "%s.class: class %q is not defined", key, class)
}

func (c ClassConfig) check(faults *errorList, key string) {
	faults.add(c.LatencyMS < 0 || c.LatencyMS > maxLatencyMS, "%s.latency_ms: %d is not in 0 to %d", key, c.LatencyMS, maxLatencyMS)
	// The comparison is inverted so that a NaN is a fault.
	faults.add(!(c.OnTimeShare >= 0 && c.OnTimeShare <= 1), "%s.on_time_share: %v is not in 0 to 1", key, c.OnTimeShare)
	faults.add(c.OnTimeShare > 0 && c.LatencyMS == 0, "%s.on_time_share: needs latency_ms", key)
	faults.add(!(c.TokensPerSecond >= 0), "%s.tokens_per_second: %v is negative", key, c.TokensPerSecond)
	faults.add(c.StalenessBound < 0 || c.StalenessBound > maxStaleness, "%s.staleness_bound: %d is not in 0 to %d", key, c.StalenessBound, maxStaleness)
}

func (p PolicyConfig) check(faults *errorList) {
	routing := []RoutingPolicy{"", RoundRobin, LeastReported, LeastCorrected}
	faults.add(!slices.Contains(routing, p.Routing), "policy.routing: %q is not one of %q", p.Routing, routing[1:])
	stragglers := []StragglerPolicy{"", StragglersIgnored, StragglersPriority, StragglersHedged}
	faults.add(!slices.Contains(stragglers, p.Stragglers), "policy.stragglers: %q is not one of %q", p.Stragglers, stragglers[1:])
	faults.add(p.MaxWeightFetches < 0 || p.MaxWeightFetches > maxWeightFetches, "policy.weight_fetches: %d is not in 0 to %d", p.MaxWeightFetches, maxWeightFetches)
	faults.add(p.MaxAheadGroups < 0 || p.MaxAheadGroups > maxAheadGroups, "policy.ahead_groups: %d is not in 0 to %d", p.MaxAheadGroups, maxAheadGroups)
}
