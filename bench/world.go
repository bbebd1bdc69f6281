package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// world is one run: the fakes, the processes and the virtual clock.
type world struct {
	agenda
	setup      Setup
	random     *rand.Rand // of the processes
	servers    map[string]*server
	serverRows []*server
	list       listing
	store      *store
	hosts      []*host
	controller *node
	trainers   []*trainer
	nextHost   int
	prompts    map[string][]uint64
	result     *Result
}

// Run simulates one setup.
func Run(s Setup) *Result {
	w := &world{
		setup: s, random: rand.New(rand.NewPCG(s.Seed, 1)), servers: make(map[string]*server),
		store: newStore(), prompts: make(map[string][]uint64), result: newResult(),
	}
	w.addServers()
	for i := range s.Deployment.Hosts {
		w.hosts = append(w.hosts, w.newHost(i))
	}
	w.controller = w.newController()
	w.addHostRows()
	for _, h := range w.hosts {
		h.tickAt(time.Duration(w.random.Int64N(int64(100 * time.Millisecond))))
	}
	w.controller.tickAt(0)
	load := s.Deployment.Loads[s.Load]
	for i := range load.Trainers {
		w.startTrainer(i)
	}
	for i, c := range load.Calls {
		w.startCalls(c, rand.New(rand.NewPCG(s.Seed, uint64(100+i))))
	}
	w.startFault()
	w.runUntil(s.WarmUp + s.Measure)
	w.result.finish(w)
	return w.result
}

func (w *world) addServers() {
	d := w.setup.Deployment
	for i := range d.Samplers + d.Services {
		s := &server{zone: i % d.Zones, speed: 1, cache: newBlockCache()}
		if i < d.Samplers {
			s.name, s.engine, s.slots = fmt.Sprintf("engine%d", i+1), true, engineSlots
			s.active, s.loaded = 1, []ledger.Version{1}
		} else {
			s.name, s.slots = fmt.Sprintf("service%d", i-d.Samplers+1), serviceSlots
		}
		w.servers[s.name] = s
		w.serverRows = append(w.serverRows, s)
		w.list.hosts = append(w.list.hosts, s.listed())
		w.at(time.Duration(i)*7*time.Millisecond, func() {
			w.report(s)
			w.every(reportPeriod, func() {
				if !s.down {
					w.report(s)
				}
			})
		})
	}
}

// addHostRows tells every process of the entry hosts.
func (w *world) addHostRows() {
	nodes := []*node{w.controller}
	for _, h := range w.hosts {
		nodes = append(nodes, h.node)
	}
	for _, n := range nodes {
		for _, h := range w.hosts {
			row, _ := n.tables.Hosts.Upsert(h.id)
			*row = table.Host{ID: h.id, Host: h.id, Zone: zoneName(h.zone), Role: table.RoleEntry, Address: h.id}
		}
	}
}

func (w *world) config() plan.Config {
	d := w.setup.Deployment
	c := plan.Config{Classes: d.Classes, Policy: d.Policy, Trainers: make(map[string]plan.TrainerConfig)}
	c.Policy.Routing, c.Policy.Stragglers = w.setup.Policy.Routing, w.setup.Policy.Stragglers
	for i := range d.Loads[w.setup.Load].Trainers {
		c.Trainers[fmt.Sprintf("t%d", i+1)] = plan.TrainerConfig{Model: modelName, Class: "rollouts"}
	}
	return c
}

func (w *world) zoneDelay(a, b int) time.Duration {
	if a == b {
		return 200 * time.Microsecond
	}
	return w.setup.Deployment.ZoneDelay
}

func (w *world) hostByID(id string) *host {
	for _, h := range w.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (w *world) hashes(source, prompt string) []uint64 {
	key := source + "/" + prompt
	if w.prompts[key] == nil {
		w.prompts[key] = promptHashes(source, prompt)
	}
	return w.prompts[key]
}

// callPrompts is the number of different prompts of callers.
const callPrompts = 200

// startCalls sends callers' requests at random times. The platform's load
// balancer spreads them over the hosts in turn.
func (w *world) startCalls(c CallStream, random *rand.Rand) {
	wait := time.Duration(random.ExpFloat64() / c.PerSecond * float64(time.Second))
	w.after(wait, func() {
		w.startCalls(c, random)
		prompt, draw := random.IntN(callPrompts), random.NormFloat64()
		size := random.ExpFloat64()
		h := w.hosts[w.nextHost%len(w.hosts)]
		w.nextHost++
		if h.plan == nil {
			return
		}
		r := &request{host: h, class: c.Class, idempotent: c.Idempotent || c.MedianTokens > 0, engine: c.MedianTokens > 0}
		if r.engine {
			r.tokens = max(1, int(c.MedianTokens*exp(callSigma*draw)))
			r.maxTokens = 4 * c.MedianTokens
			r.query.Hashes = w.hashes(c.Class, fmt.Sprint(prompt))
		} else {
			r.tokens = max(1, int(size*float64(c.MeanServiceTime)/float64(time.Millisecond)))
		}
		w.sendCall(r)
	})
}

func (w *world) sendCall(r *request) {
	asked, client := w.now, w.setup.Deployment.ClientDelay
	limit := time.Duration(w.setup.Deployment.Classes[r.class].LatencyMS) * time.Millisecond
	r.deadline = asked + limit - client // the answer has to travel back
	r.done = func(r *request, err error) {
		late := err != nil || w.now+client > asked+limit
		if !r.idempotent && w.store.down && verdict.ReasonOf(err) == verdict.ReasonStoreUnavailable {
			w.result.unclaimed(w)
		}
		w.result.called(w, r.class, asked, !late)
	}
	w.after(client, func() {
		if !r.idempotent && w.store.down {
			r.planned, r.started = r.host.plan.Classes[r.class], w.now
			r.end(verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "no claim"))
			return
		}
		if r.idempotent {
			r.start()
			return
		}
		w.after(storeDelay, r.start) // the claim
	})
}

// listing is the platform's host list, which shows a change after a lag.
type listing struct {
	hosts   []tablestore.ListedHost
	changes []listChange
}

type listChange struct {
	at   time.Duration
	name string
	to   string // state, empty: not listed
}

func (l *listing) visible(now time.Duration) []tablestore.ListedHost {
	states := make(map[string]string)
	for _, c := range l.changes {
		if c.at <= now {
			states[c.name] = c.to
		}
	}
	shown := make([]tablestore.ListedHost, 0, len(l.hosts))
	for _, h := range l.hosts {
		if state, changed := states[h.Name]; changed {
			h.State = state
		}
		if h.State != "" {
			shown = append(shown, h)
		}
	}
	return shown
}
