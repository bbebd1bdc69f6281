package bench

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/standin"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

func exp(x float64) float64 { return math.Exp(x) }

var leases = system.LeaseOptions{Partitions: 4, TTL: 6 * time.Second, Margin: 2 * time.Second, OrderValidity: 2 * time.Second}

// newController returns the controller, which holds the leases of all partitions.
func (sim *simulation) newController() *node {
	controllerSystems := system.ControllerSystems(leases)
	systems := append([]system.Named{
		controllerSystems[0],
		{Name: "membership", Run: system.Membership(hostListInterval)},
		{Name: "load", Run: system.LoadReports(stateInterval)},
	}, controllerSystems[1:]...)
	n := sim.newNode("c1", 0, table.RoleController, systems)
	n.execute = n.executeBackground
	return n
}

var storeDown = &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonStoreUnavailable}

// executeBackground runs a command of the controller. It returns false if the
// command is not specific to the controller.
func (n *node) executeBackground(c command.Command) bool {
	sim, sent := n.sim, n.sim.now
	switch c := c.(type) {
	case command.ReadLeases:
		n.store(func(f *event.Failure) event.Event { return event.LeasesRead{Rows: sim.store.leaseRows(f), Failure: f} })
	case command.WriteLease:
		n.store(func(f *event.Failure) event.Event {
			row, ok := c.Row, false
			if f == nil {
				row, ok = sim.store.WriteLease(c.Row)
			}
			return event.LeaseWritten{Row: row, Committed: ok, SentAt: sent, Failure: f}
		})
	case command.LoadTrainer:
		n.store(func(f *event.Failure) event.Event {
			loaded := sim.store.Load(c.Trainer)
			loaded.Failure = f
			return loaded
		})
	case command.CommitRows:
		n.store(func(f *event.Failure) event.Event {
			if f != nil {
				return event.RowsCommitted{ID: c.ID, Failure: f}
			}
			versions, ok := sim.store.Commit(c.Rows)
			return event.RowsCommitted{ID: c.ID, Committed: ok, Versions: versions}
		})
	case command.ReadWeights:
		n.store(func(f *event.Failure) event.Event {
			return event.WeightsRead{Rows: sim.store.weightRows(f), Failure: f}
		})
	case command.OrderWeights:
		s := sim.servers[c.Backend]
		sim.after(sim.zoneDelay(n.zone, s.zone), func() { n.orderWeights(s, c) })
	case command.GenerateSample:
		n.generate(c)
	case command.AnswerPull, command.AnswerConfirm:
		sim.handleAnswer(c)
	default:
		return false
	}
	return true
}

// store posts the answer to a call of the table service after storeDelay. The answer
// function gets a failure during an outage.
func (n *node) store(answer func(*event.Failure) event.Event) {
	n.sim.after(storeDelay, func() {
		var f *event.Failure
		if n.sim.store.down {
			f = storeDown
		}
		n.post(answer(f))
	})
}

// orderWeights delivers a weight order to a server and posts the answer.
func (n *node) orderWeights(s *server, c command.OrderWeights) {
	answer := event.OrderAnswered{Backend: c.Backend, Model: c.Wanted.Model}
	if s.down {
		answer.Failure = unreachable
	} else {
		n.sim.applyOrder(s, c.Wanted)
	}
	n.sim.after(n.sim.zoneDelay(n.zone, s.zone), func() { n.post(answer) })
}

// generate generates one sample through an entry host.
func (n *node) generate(c command.GenerateSample) {
	sim := n.sim
	h := sim.hostByID(c.EntryID)
	sent := sim.now
	r := &request{
		host: h, class: c.Class, engine: true, idempotent: true, urgent: c.Urgent, maxTokens: float64(c.Spec.MaxTokens),
		tokens: sim.sampleTokens(c), deadline: sim.now + 10*time.Minute,
		query: plan.Query{Hashes: sim.hashes(c.Trainer, c.Spec.Prompt), Training: true, MinVersion: c.MinVersion},
	}
	r.done = func(r *request, err error) {
		if err == nil && ledger.Oldest(r.ranges) < c.MinVersion {
			err = verdict.New(verdict.MayHaveRun, verdict.ReasonVersionChanged, "sample is older than the minimum version")
		}
		e := event.SampleGenerated{
			Trainer: c.Trainer, EntryID: c.EntryID, Failure: event.FailureOf(err),
			Record: ledger.SampleRecord{Group: c.Spec.ID, Index: c.Index, Attempt: c.Attempt, Tokens: r.tokens, Ranges: r.ranges},
		}
		sim.after(sim.zoneDelay(n.zone, h.zone), func() {
			e.Took = sim.now - sent
			n.post(e)
		})
	}
	sim.after(sim.zoneDelay(n.zone, h.zone), r.start)
}

// sampleTokens returns the random length of a sample in tokens. It depends only on
// the seed and on the attempt of the sample, so that all policies get the same
// lengths. The length of a hedged request is drawn separately.
func (sim *simulation) sampleTokens(c command.GenerateSample) int {
	group := rand.New(rand.NewPCG(sim.setup.Seed, xxhash.Sum64String(c.Trainer+"/"+c.Spec.ID)))
	key := c.Trainer + "/" + c.Spec.ID + "/" + strconv.Itoa(c.Index) + "/" + strconv.Itoa(c.Attempt) + "/" + strconv.FormatBool(c.Hedge)
	own := rand.New(rand.NewPCG(sim.setup.Seed, xxhash.Sum64String(key)))
	median := lognormal(group, sampleMedianTokens, groupSigma)
	return max(1, min(int(lognormal(own, median, sampleSigma)), maxSampleTokens))
}

// store is the fake of the table service.
type store struct {
	*standin.Rows
	down    bool             // during an outage
	weights event.WeightsRow // newest published weights
}

func newStore() *store {
	return &store{Rows: standin.NewRows(), weights: event.WeightsRow{Model: modelName, RowVersion: 1, Version: 1}}
}

func (s *store) leaseRows(f *event.Failure) []event.LeaseRow {
	if f != nil {
		return nil
	}
	return s.Leases()
}

func (s *store) weightRows(f *event.Failure) []event.WeightsRow {
	if f != nil {
		return nil
	}
	return []event.WeightsRow{s.weights}
}
