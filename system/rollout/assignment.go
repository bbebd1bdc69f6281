package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
)

// assignInterval is the minimum time between two assignments of engines to models. It is
// much shorter than the time between two weight versions and much longer than a tick.
const assignInterval = 200 * time.Millisecond

// EngineAssignment divides the engines of each service among its models by demand, so
// that the lots of one model do not wait behind those of others, and a weight version is
// loaded only on engines that serve its model. Engines that name a request limit are divided
// separately, because a model with no others may get less than its lots need. Every host
// computes the same division from the published state.
func EngineAssignment(now time.Duration, t *table.Tables, _ []event.Event, out *command.Outbox) {
	r := &t.Rollout
	if r.Desired == nil || now-r.EnginesAssignedAt < assignInterval {
		return
	}
	r.EnginesAssignedAt = now
	limited := limitedEngines(now, r)
	for name, service := range r.Desired.Services {
		if len(service.Models) == 0 {
			continue
		}
		all, demand := engines(r, name), modelDemand(r, service.Models)
		withLimit := func(s *table.Server) bool { return limited[s.ID] }
		free := slices.DeleteFunc(slices.Clone(all), withLimit)
		scarce := slices.DeleteFunc(all, func(s *table.Server) bool { return !withLimit(s) })
		assignEngines(r, name, free, service.Models, demand, out)
		if len(scarce) > 0 {
			assignEngines(r, name, scarce, service.Models, unmetDemand(service.Models, demand, free, len(scarce)), out)
		}
	}
}

// limitedEngineShare is the share of the work of other engines that an engine with a request
// limit is assumed to do.
const limitedEngineShare = 0.25

// unmetDemand returns the demand that is left for engines with a request limit once the others
// are divided among the models. Models without known demand count with the mean of the others.
func unmetDemand(models []string, demand map[string]int, free []*table.Server, scarce int) map[string]int {
	known, sum := knownDemand(models, demand)
	if known == 0 {
		return demand
	}
	mean := sum / known
	perEngine := float64(sum+mean*(len(models)-known)) / (float64(len(free)) + limitedEngineShare*float64(scarce))
	met := make(map[string]float64)
	for _, s := range free {
		met[s.PreferredModel] += perEngine
	}
	unmet := make(map[string]int, len(models))
	for _, m := range models {
		d := demand[m]
		if d == 0 {
			d = mean
		}
		unmet[m] = max(1, d-int(met[m]))
	}
	return unmet
}

// assignEngines divides engines of a service among its models.
func assignEngines(r *table.Rollout, service string, servers []*table.Server, models []string, demand map[string]int, out *command.Outbox) {
	quotas := computeQuotas(len(servers), models, demand)
	if !r.Baselines.Division {
		quotas = keepQuotas(enginesOf(r, servers, quotas), exactShares(len(servers), models, demand), quotas)
	}
	changed := 0
	for i, model := range assignModels(r, servers, quotas) {
		if servers[i].PreferredModel != model {
			changed++
		}
		servers[i].PreferredModel = model
	}
	if changed > 0 {
		logAssignment(service, quotas, changed, out)
	}
}

// limitMemory is the time for which an engine counts as limited after its last answer that
// named a request limit. An engine that gets no requests names none.
const limitMemory = 30 * time.Second

// maxPublishedEngineBytes bounds the ids of limited engines in the presence row of a host.
const maxPublishedEngineBytes = 40_000

// ownLimitedEngines returns the ids of the engines of which this host knows that they name a
// request limit, sorted, as far as they fit into its presence row.
func ownLimitedEngines(now time.Duration, r *table.Rollout) []string {
	var ids []string
	for id, s := range r.Servers.All() {
		if s.RequestLimit > 0 && len(s.Models) > 0 && now-s.LimitSeenAt < limitMemory {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	bytes := 0
	for i, id := range ids {
		if bytes += lot.EncodedLength(id) + 1; bytes > maxPublishedEngineBytes {
			return ids[:i]
		}
	}
	return ids
}

// limitedEngines returns the engines that name a request limit according to the presence rows
// of all hosts, so that all hosts divide the engines in the same way.
func limitedEngines(now time.Duration, r *table.Rollout) map[string]bool {
	limited := make(map[string]bool)
	for _, p := range r.Peers.All() {
		if p.Deleted || now-p.VersionSeenAt >= limitMemory {
			continue
		}
		for _, id := range p.LimitedEngines {
			limited[id] = true
		}
	}
	return limited
}

func logAssignment(service string, quotas []quota, changed int, out *command.Outbox) {
	fields := []command.Field{field("service", service), field("moved", itoa(changed))}
	for _, q := range quotas {
		fields = append(fields, field(q.model, itoa(q.servers)))
	}
	out.Add(command.LogChange{Message: "engines shared among models", Fields: fields})
}

// meanLotTokens returns the mean of the estimated output tokens of the known lots of
// each model.
func meanLotTokens(r *table.Rollout) map[string]int {
	demand, lots := make(map[string]int), make(map[string]int)
	for _, l := range r.Lots.All() {
		demand[l.Head.Model] += l.Head.EstimatedTokens
		lots[l.Head.Model]++
	}
	for model, n := range lots {
		demand[model] /= n
	}
	return demand
}

// knownDemand returns the number of models with known demand and the sum of their demand.
func knownDemand(models []string, demand map[string]int) (known, sum int) {
	for _, m := range models {
		if demand[m] > 0 {
			known++
			sum += demand[m]
		}
	}
	return known, sum
}

// quota is the number of engines that a model should have.
type quota struct {
	model   string
	servers int
}

// computeQuotas divides a number of servers among models in proportion to their demand,
// with at least one server for each model. Models without known demand count with the
// mean of the others.
func computeQuotas(servers int, models []string, demand map[string]int) []quota {
	all := make([]quota, len(models))
	exact := exactShares(servers, models, demand)
	left := servers
	for i, m := range models {
		all[i] = quota{m, max(1, int(exact[i]))}
		left -= all[i].servers
	}
	order := make([]int, len(models))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(-cmp.Compare(exact[a]-float64(all[a].servers), exact[b]-float64(all[b].servers)), cmp.Compare(models[a], models[b]))
	})
	for i := 0; left > 0; i++ {
		all[order[i%len(order)]].servers++
		left--
	}
	return all
}

// exactShares returns the share of a number of servers of each model.
func exactShares(servers int, models []string, demand map[string]int) []float64 {
	known, sum := knownDemand(models, demand)
	mean := 1.0
	if known > 0 {
		mean = float64(sum) / float64(known)
	}
	total := float64(sum) + mean*float64(len(models)-known)
	exact := make([]float64, len(models))
	for i, m := range models {
		d := mean
		if demand[m] > 0 {
			d = float64(demand[m])
		}
		exact[i] = float64(servers) * d / total
	}
	return exact
}

// engines returns the servers of a service that may be given orders, sorted by id.
func engines(r *table.Rollout, service string) []*table.Server {
	var servers []*table.Server
	for _, s := range r.Servers.All() {
		if s.Service == service && !s.Leaving && s.MissingSince == 0 {
			servers = append(servers, s)
		}
	}
	slices.SortFunc(servers, func(a, b *table.Server) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}

// namedVersion returns the newest version named for a model, 0 if there is none.
func namedVersion(r *table.Rollout, model string) registry.Version {
	if m := r.Models.Find(model); m != nil {
		return m.NamedVersion
	}
	return 0
}

// assignModels assigns a model to each server. A server is assigned to the model whose
// named version it lags least, as long as the quota of that model allows; the remaining
// servers go to the models that are furthest below their quota. Apart from ties, the
// result depends only on published versions, so that a new holder of the order lease
// continues with the assignment of the previous one.
func assignModels(r *table.Rollout, servers []*table.Server, quotas []quota) []string {
	assigned := make([]string, len(servers))
	count := make(map[string]int, len(quotas))
	for i, s := range servers {
		if nearest := closestModel(r, s, quotas); nearest != nil && count[nearest.model] < nearest.servers {
			assigned[i] = nearest.model
			count[nearest.model]++
		}
	}
	for i := range servers {
		if assigned[i] != "" {
			continue
		}
		most := quotas[0]
		for _, q := range quotas {
			if q.servers-count[q.model] > most.servers-count[most.model] {
				most = q
			}
		}
		assigned[i] = most.model
		count[most.model]++
	}
	return assigned
}

// toleratedLag is the number of versions by which an engine may lag and still count as
// up to date, since the newest version may have been named just now.
const toleratedLag = 1

// closestModel returns the quota of the model whose named version the server lags least.
// Of several models with the same lag it returns the one that is assigned to the server
// now, or nil if none of them is.
func closestModel(r *table.Rollout, s *table.Server, quotas []quota) *quota {
	var best *quota
	var bestLag registry.Version
	tie := false
	for i := range quotas {
		lag := max(toleratedLag, namedVersion(r, quotas[i].model)-s.Models[quotas[i].model])
		if s.PreferredModel == quotas[i].model && best != nil && lag == bestLag {
			best, tie = &quotas[i], false
			continue
		}
		switch {
		case best == nil || lag < bestLag:
			best, bestLag, tie = &quotas[i], lag, false
		case lag == bestLag && best.model != s.PreferredModel:
			tie = true
		}
	}
	if tie {
		return nil
	}
	return best
}

// Runners publishes which process runs the newest lot of each model. A host that accepts
// a lot assigns it to that process, which tracks the load of the model's engines.
func Runners(_ time.Duration, t *table.Tables, _ []event.Event, out *command.Outbox) {
	r := &t.Rollout
	newest := make(map[string]int64)
	runners := make(map[string]command.Runner)
	for _, l := range r.Lots.All() {
		if l.Head.Owner == (lot.Process{}) || l.Head.AcceptedUnixMS < newest[l.Head.Model] {
			continue
		}
		if r.Draining && l.Head.Owner == r.Self {
			continue
		}
		newest[l.Head.Model] = l.Head.AcceptedUnixMS
		runners[l.Head.Model] = command.Runner{Owner: l.Head.Owner, AliveUntil: l.VersionSeenAt + runnerTTL}
	}
	if !maps.Equal(runners, r.Runners) {
		r.Runners = runners
		out.Add(command.PublishRunners{Runners: runners})
	}
}
