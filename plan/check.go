package plan

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Limits of a configuration.
const (
	MaxConfigEntries = 10000    // entries of each kind, such as classes or routes
	MaxNameBytes     = 128      // bytes of the name of an entry
	maxLatencyMS     = 3600_000 // 1 h in ms, bounds ClassConfig.LatencyMS
	maxStaleness     = 1000     // weight versions, bounds ClassConfig.StalenessBound
	maxWeightFetches = 1000     // engines that load weights at once, bounds PolicyConfig.MaxWeightFetches
	maxAheadGroups   = 100_000  // groups in flight beyond one batch, bounds PolicyConfig.MaxAheadGroups
)

// Check returns all errors in the configuration, joined into one, or nil. Each error
// names the key of the invalid value.
func (c Config) Check() error {
	var errs errorList
	checkNames(&errs, "classes", c.Classes)
	checkNames(&errs, "routes", c.Routes)
	checkNames(&errs, "trainers", c.Trainers)
	checkNames(&errs, "backends", c.Backends)
	for _, name := range slices.Sorted(maps.Keys(c.Classes)) {
		c.Classes[name].check(&errs, "classes."+name)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Routes)) {
		route := c.Routes[name]
		errs.addIf(route.Service == "", "routes.%s.service: is missing", name)
		c.checkClass(&errs, "routes."+name, route.Class)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Trainers)) {
		trainer := c.Trainers[name]
		errs.addIf(trainer.Model == "", "trainers.%s.model: is missing", name)
		c.checkClass(&errs, "trainers."+name, trainer.Class)
	}
	c.Policy.check(&errs)
	return errors.Join(errs...)
}

// errorList collects the errors of a check.
type errorList []error

// addIf adds a formatted error if bad is true.
func (l *errorList) addIf(bad bool, format string, args ...any) {
	if bad {
		*l = append(*l, fmt.Errorf(format, args...))
	}
}

func checkNames[V any](errs *errorList, kind string, entries map[string]V) {
	errs.addIf(len(entries) > MaxConfigEntries, "%s: %d entries, more than %d", kind, len(entries), MaxConfigEntries)
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		errs.addIf(name == "" || len(name) > MaxNameBytes, "%s: name %.20q has %d bytes, not 1 to %d", kind, name, len(name), MaxNameBytes)
	}
}

func (c Config) checkClass(errs *errorList, key, class string) {
	_, known := c.Classes[class]
	errs.addIf(!known, "%s.class: class %q is not defined", key, class)
}

func (c ClassConfig) check(errs *errorList, key string) {
	errs.addIf(c.LatencyMS < 0 || c.LatencyMS > maxLatencyMS, "%s.latency_ms: %d is not in 0 to %d", key, c.LatencyMS, maxLatencyMS)
	// The comparison is negated so that NaN is an error.
	errs.addIf(!(c.OnTimeShare >= 0 && c.OnTimeShare <= 1), "%s.on_time_share: %v is not in 0 to 1", key, c.OnTimeShare)
	errs.addIf(c.OnTimeShare > 0 && c.LatencyMS == 0, "%s.on_time_share: requires latency_ms", key)
	errs.addIf(!(c.TokensPerSecond >= 0), "%s.tokens_per_second: %v is not 0 or more", key, c.TokensPerSecond)
	errs.addIf(c.StalenessBound < 0 || c.StalenessBound > maxStaleness, "%s.staleness_bound: %d is not in 0 to %d", key, c.StalenessBound, maxStaleness)
}

func (p PolicyConfig) check(errs *errorList) {
	routing := []RoutingPolicy{"", RoundRobin, LeastReported, LeastCorrected}
	errs.addIf(!slices.Contains(routing, p.Routing), "policy.routing: %q is not one of %q", p.Routing, routing[1:])
	stragglers := []StragglerPolicy{"", StragglersIgnored, StragglersPriority, StragglersHedged}
	errs.addIf(!slices.Contains(stragglers, p.Stragglers), "policy.stragglers: %q is not one of %q", p.Stragglers, stragglers[1:])
	errs.addIf(p.MaxWeightFetches < 0 || p.MaxWeightFetches > maxWeightFetches, "policy.weight_fetches: %d is not in 0 to %d", p.MaxWeightFetches, maxWeightFetches)
	errs.addIf(p.MaxAheadGroups < 0 || p.MaxAheadGroups > maxAheadGroups, "policy.ahead_groups: %d is not in 0 to %d", p.MaxAheadGroups, maxAheadGroups)
}
