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

// assignInterval is the period at which engines are shared among models again. It is
// short against the time between two versions, long against a tick.
const assignInterval = 200 * time.Millisecond

// EngineAssignment divides the engines of each service among its models by demand, so that the
// lots of one model do not wait behind those of others and a version is loaded only
// where its model is served. Every host works out the same division from what is
// published.
func EngineAssignment(now time.Duration, t *table.Tables, _ []event.Event, out *command.Outbox) {
	r := &t.Rollout
	if r.Desired == nil || now-r.EnginesAssignedAt < assignInterval {
		return
	}
	r.EnginesAssignedAt = now
	demand := meanLotTokens(r)
	for name, service := range r.Desired.Services {
		if len(service.Models) == 0 {
			continue
		}
		servers := engines(r, name)
		quotas := computeQuotas(len(servers), service.Models, demand)
		changed := 0
		for i, model := range assignModels(r, servers, quotas) {
			if servers[i].PreferredModel != model {
				changed++
			}
			servers[i].PreferredModel = model
		}
		if changed > 0 {
			logAssignment(name, quotas, changed, out)
		}
	}
}

func logAssignment(service string, quotas []quota, changed int, out *command.Outbox) {
	fields := []command.Field{field("service", service), field("moved", itoa(changed))}
	for _, q := range quotas {
		fields = append(fields, field(q.model, itoa(q.servers)))
	}
	out.Add(command.LogChange{Message: "engines shared among models", Fields: fields})
}

// meanLotTokens returns the mean work of the known lots of each model.
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

// quota is the number of engines that a model should have.
type quota struct {
	model   string
	servers int
}

// computeQuotas divides servers by demand with at least one each; models without known
// demand count as the mean of the others.
func computeQuotas(servers int, models []string, demand map[string]int) []quota {
	known, sum := 0, 0
	for _, m := range models {
		if demand[m] > 0 {
			known++
			sum += demand[m]
		}
	}
	mean := 1.0
	if known > 0 {
		mean = float64(sum) / float64(known)
	}
	total := float64(sum) + mean*float64(len(models)-known)
	all := make([]quota, len(models))
	exact := make([]float64, len(models))
	left := servers
	for i, m := range models {
		d := mean
		if demand[m] > 0 {
			d = float64(demand[m])
		}
		exact[i] = float64(servers) * d / total
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

// engines returns the servers of a service that may take orders, in the order of
// their ids.
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

func namedVersion(r *table.Rollout, model string) registry.Version {
	if m := r.Models.Find(model); m != nil {
		return m.NamedVersion
	}
	return 0
}

// assignModels assigns a model to each server. A server stays with the model whose newest
// version it is closest to; what is left fills the models that lack servers. The
// result depends only on published versions, so that a new holder of the lease for
// orders continues where the last one ended.
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

// toleratedLag is the number of versions that an engine may lag without being further
// away: the newest one may have been named just now.
const toleratedLag = 1

// closestModel returns the model whose named version the server is closest to. Of several
// that are equally close it is the one that the server has now, else nil.
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

// Runners publishes which process runs the lots of each model, so that a host that
// accepts a lot gives it to the process that knows the load of the model's engines.
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
