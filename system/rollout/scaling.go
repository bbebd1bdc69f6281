package rollout

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
)

// applyScaling returns a new desired state with the bounds in force for the servers that may be
// ordered. If those of a service are invalid, its last valid ones stay in force; without any,
// no servers of the service are ordered.
func applyScaling(r *table.Rollout, s *desired.State, out *command.Outbox) *desired.State {
	invalid := make(map[string]error)
	for name, service := range s.Services {
		if service.Scaling == nil {
			continue
		}
		if err := service.Scaling.Check(); err != nil {
			invalid[name] = err
		}
	}
	if len(invalid) == 0 {
		return s
	}
	inForce := *s
	inForce.Services = maps.Clone(s.Services)
	for _, name := range slices.Sorted(maps.Keys(invalid)) {
		service := inForce.Services[name]
		service.Scaling = nil
		if r.Desired != nil {
			service.Scaling = r.Desired.Services[name].Scaling
		}
		inForce.Services[name] = service
		out.Add(command.Count{Counter: "scaling_bounds_invalid", Delta: 1})
		out.Add(command.LogChange{Message: "bounds for ordered servers are invalid", Fields: []command.Field{
			field("service", name), field("version", strconv.FormatUint(s.Version, 10)), field("error", invalid[name].Error()),
			field("earlier_bounds_in_force", strconv.FormatBool(service.Scaling != nil)),
		}})
	}
	return &inForce
}

// recordNotice records when a leaving server ends. Of several records, the earliest time
// counts: a record that arrives late states a time that was left when it was written.
func recordNotice(now time.Duration, s *table.Server, published *registry.Server) {
	switch at := now + published.LeavesIn; {
	case !published.Leaving:
		s.LeavesAt = 0
	case published.LeavesIn > 0 && (s.LeavesAt == 0 || at < s.LeavesAt):
		s.LeavesAt = at
	}
}

// timeLeft returns the time until a leaving server is gone. cut says that runs that have not
// ended by then must be moved: the server announced the time, or no other server can continue
// their outputs.
func timeLeft(now time.Duration, r *table.Rollout, s *table.Server) (left time.Duration, cut bool) {
	switch {
	case !s.Leaving:
		return 0, false
	case s.LeavesAt > 0:
		return s.LeavesAt - now, true
	default:
		return s.LeavingSince + r.BackendDrainPeriod - now, isLastOfSoftware(r, s)
	}
}
