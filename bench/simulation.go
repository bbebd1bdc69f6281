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

// simulation is the state of one run: the fakes, the processes and the virtual clock.
type simulation struct {
	virtualClock
	setup        Setup
	random       *rand.Rand         // for random choices of the processes
	servers      map[string]*server // by name
	serverRows   []*server          // in order of creation
	hostList     hostList
	store        *store
	hosts        []*host
	controller   *node
	trainers     []*trainer
	nextHost     int                 // entry host of the next call
	promptHashes map[string][]uint64 // by source and prompt
	result       *Result
}

// Run simulates a setup and returns its result.
func Run(s Setup) *Result {
	sim := &simulation{
		setup: s, random: rand.New(rand.NewPCG(s.Seed, 1)), servers: make(map[string]*server),
		store: newStore(), promptHashes: make(map[string][]uint64), result: newResult(),
	}
	sim.addServers()
	for i := range s.Deployment.Hosts {
		sim.hosts = append(sim.hosts, sim.newHost(i))
	}
	sim.controller = sim.newController()
	sim.addHostRows()
	for _, h := range sim.hosts {
		h.scheduleTick(time.Duration(sim.random.Int64N(int64(100 * time.Millisecond))))
	}
	sim.controller.scheduleTick(0)
	load := s.Deployment.Loads[s.Load]
	for i := range load.Trainers {
		sim.startTrainer(i)
	}
	for i, c := range load.Calls {
		sim.scheduleCalls(c, rand.New(rand.NewPCG(s.Seed, uint64(100+i))))
	}
	sim.scheduleFault()
	sim.runUntil(s.WarmUp + s.Measure)
	sim.result.finish(sim)
	return sim.result
}

func (sim *simulation) addServers() {
	d := sim.setup.Deployment
	for i := range d.Engines + d.Services {
		s := &server{zone: i % d.Zones, speed: 1, cache: newBlockCache()}
		if i < d.Engines {
			s.name, s.engine, s.slots = fmt.Sprintf("engine%d", i+1), true, engineSlots
			s.active, s.loaded = 1, []ledger.Version{1}
		} else {
			s.name, s.slots = fmt.Sprintf("service%d", i-d.Engines+1), serviceSlots
		}
		sim.servers[s.name] = s
		sim.serverRows = append(sim.serverRows, s)
		sim.hostList.hosts = append(sim.hostList.hosts, s.listed())
		sim.at(time.Duration(i)*7*time.Millisecond, func() {
			sim.report(s)
			sim.every(reportInterval, func() {
				if !s.down {
					sim.report(s)
				}
			})
		})
	}
}

// addHostRows adds the rows of all entry hosts to the tables of every process.
func (sim *simulation) addHostRows() {
	nodes := []*node{sim.controller}
	for _, h := range sim.hosts {
		nodes = append(nodes, h.node)
	}
	for _, n := range nodes {
		for _, h := range sim.hosts {
			row, _ := n.tables.Hosts.Upsert(h.id)
			*row = table.Host{ID: h.id, Host: h.id, Zone: zoneName(h.zone), Role: table.RoleEntry, Address: h.id}
		}
	}
}

// config returns the configuration of all processes.
func (sim *simulation) config() plan.Config {
	d := sim.setup.Deployment
	c := plan.Config{Classes: d.Classes, Policy: d.Policy, Trainers: make(map[string]plan.TrainerConfig)}
	c.Policy.Routing, c.Policy.Stragglers = sim.setup.Policy.Routing, sim.setup.Policy.Stragglers
	for i := range d.Loads[sim.setup.Load].Trainers {
		c.Trainers[fmt.Sprintf("t%d", i+1)] = plan.TrainerConfig{Model: modelName, Class: "rollouts"}
	}
	return c
}

// zoneDelay returns the one-way network delay between two zones.
func (sim *simulation) zoneDelay(a, b int) time.Duration {
	if a == b {
		return 200 * time.Microsecond
	}
	return sim.setup.Deployment.ZoneDelay
}

func (sim *simulation) hostByID(id string) *host {
	for _, h := range sim.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// hashes returns the block hashes of a prompt.
func (sim *simulation) hashes(source, prompt string) []uint64 {
	key := source + "/" + prompt
	if sim.promptHashes[key] == nil {
		sim.promptHashes[key] = promptHashes(source, prompt)
	}
	return sim.promptHashes[key]
}

// callPromptCount is the number of different prompts that callers of a class send.
const callPromptCount = 200

// scheduleCalls sends the requests of a stream at random times. The platform's load
// balancer distributes them over the entry hosts in round-robin order.
func (sim *simulation) scheduleCalls(c CallStream, random *rand.Rand) {
	wait := time.Duration(random.ExpFloat64() / c.PerSecond * float64(time.Second))
	sim.after(wait, func() {
		sim.scheduleCalls(c, random)
		prompt, draw := random.IntN(callPromptCount), random.NormFloat64()
		size := random.ExpFloat64()
		h := sim.hosts[sim.nextHost%len(sim.hosts)]
		sim.nextHost++
		if h.plan == nil {
			return
		}
		r := &request{host: h, class: c.Class, idempotent: c.Idempotent || c.MedianTokens > 0, engine: c.MedianTokens > 0}
		if r.engine {
			r.tokens = max(1, int(c.MedianTokens*exp(callSigma*draw)))
			r.maxTokens = 4 * c.MedianTokens
			r.query.Hashes = sim.hashes(c.Class, fmt.Sprint(prompt))
		} else {
			r.tokens = max(1, int(size*float64(c.MeanServiceTime)/float64(time.Millisecond)))
		}
		sim.sendCall(r)
	})
}

func (sim *simulation) sendCall(r *request) {
	sentAt, client := sim.now, sim.setup.Deployment.ClientDelay
	limit := time.Duration(sim.setup.Deployment.Classes[r.class].LatencyMS) * time.Millisecond
	r.deadline = sentAt + limit - client // leaves time for the response to reach the client
	r.done = func(r *request, err error) {
		late := err != nil || sim.now+client > sentAt+limit
		if !r.idempotent && sim.store.down && verdict.ReasonOf(err) == verdict.ReasonStoreUnavailable {
			sim.result.recordUnclaimed(sim)
		}
		sim.result.recordCall(sim, r.class, sentAt, !late)
	}
	sim.after(client, func() {
		if !r.idempotent && sim.store.down {
			r.classPlan, r.started = r.host.plan.Classes[r.class], sim.now
			r.end(verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "claim could not be stored"))
			return
		}
		if r.idempotent {
			r.start()
			return
		}
		sim.after(storeDelay, r.start) // storing the claim takes storeDelay
	})
}

// hostList is the fake of the platform's host list. A change becomes visible after a
// lag.
type hostList struct {
	hosts   []tablestore.ListedHost
	changes []listChange
}

type listChange struct {
	at   time.Duration // time at which the change becomes visible
	name string
	to   string // new state; empty if the server is no longer listed
}

// visible returns the list with all changes that are visible at a time.
func (l *hostList) visible(now time.Duration) []tablestore.ListedHost {
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
