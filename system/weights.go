package system

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/table"
)

// Limits of the weight rollout.
const (
	// DefaultMaxWeightFetches is the maximum number of engines of a model that load
	// weights from the store at the same time, unless the policy sets another one.
	DefaultMaxWeightFetches = 3
	// maxLoadFailures is the number of failed loads after which an engine is
	// quarantined until the next version.
	maxLoadFailures = 3
	// orderRetryInterval is the time after which an order is sent again if the
	// engine's reports show no effect. Reports lag by about a second.
	orderRetryInterval = 5 * time.Second
	// maxSuperseded is the number of successive rollouts of a model that may be superseded
	// before they are active. The next one completes first, or no version would ever become
	// active while versions are named faster than they can be loaded.
	maxSuperseded = 1
	// maxRolloutTime is the time after which a rollout is superseded in any case.
	maxRolloutTime = 10 * time.Second
	// maxReportAge is the maximum age of a report. If the last report is older, the
	// engine's state is unknown: it neither delays a rollout nor receives orders.
	maxReportAge = 5 * time.Second
)

// WeightRollout updates the engines of each model whose partition this process
// holds to the wanted version: first all of them load it, then all activate it.
// Progress is derived from state reports only, so a new holder continues where the
// previous one stopped. orderValidity is the validity of an order.
func WeightRollout(partitions int, orderValidity time.Duration) System {
	return func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
		for _, e := range in {
			switch e := e.(type) {
			case event.WeightsRead:
				applyWeights(now, t, partitions, e, out)
			case event.OrderAnswered:
				applyOrder(now, t, e, out)
			}
		}
		scheduleWeightsRead(now, t, out)
		updateMinVersions(now, t, out)
		for _, w := range t.Weights.All() {
			startRollout(now, t, w, out)
			p := t.Partitions.Find(table.PartitionKey(w.Partition))
			if p == nil || !p.Held || p.Releasing || w.Version == 0 {
				continue
			}
			if now < p.OrdersFrom {
				out.WakeAt(p.OrdersFrom)
				continue
			}
			r := rollout{now: now, t: t, w: w, p: p, out: out, orderValidity: orderValidity}
			r.run()
		}
	}
}

// applyWeights applies the wanted versions. A newer version supersedes the rollout
// in progress and lifts quarantines. A delayed older row is ignored.
func applyWeights(now time.Duration, t *table.Tables, partitions int, e event.WeightsRead, out *command.Outbox) {
	t.Controller.WeightsPending = false
	if e.Failure != nil {
		countReason(out, "weights_read_failed", failureReason(e.Failure))
		return
	}
	for _, row := range e.Rows {
		w, created := t.Weights.Upsert(row.Model)
		if !created && row.RowVersion <= w.Wanted.RowVersion {
			continue
		}
		w.Model = row.Model
		w.Partition = ledger.PartitionOf(row.Model, partitions)
		w.Wanted = table.WantedWeights{RowVersion: row.RowVersion, Version: row.Version}
		startRollout(now, t, w, out)
	}
}

// startRollout starts the rollout of the wanted version of a model if the one in progress
// may be superseded. A process that does not hold the model's partition does not know the
// progress and follows the wanted version.
func startRollout(now time.Duration, t *table.Tables, w *table.Weights, out *command.Outbox) {
	if w.Wanted.RowVersion <= w.RowVersion {
		return
	}
	p := t.Partitions.Find(table.PartitionKey(w.Partition))
	inProgress := w.Version != 0 && w.ActiveAt == 0
	if p != nil && p.Held && inProgress && w.Superseded >= maxSuperseded && now < w.StartedAt+maxRolloutTime {
		out.WakeAt(w.StartedAt + maxRolloutTime)
		return
	}
	superseded := 0
	if inProgress {
		superseded = w.Superseded + 1
		countReason(out, "rollout_ended", "superseded")
	}
	*w = table.Weights{
		Model: w.Model, RowVersion: w.Wanted.RowVersion, Version: w.Wanted.Version, Previous: w.Version, Wanted: w.Wanted,
		Partition: w.Partition, StartedAt: now, MinVersion: w.MinVersion, Superseded: superseded,
	}
	logRollout(out, "weight rollout started", w, "")
}

func applyOrder(now time.Duration, t *table.Tables, e event.OrderAnswered, out *command.Outbox) {
	w := t.Weights.Find(e.Model)
	if w == nil || w.Engines[e.Backend] == nil {
		return
	}
	s := w.Engines[e.Backend]
	s.OrderPending = false
	if e.Failure != nil {
		countReason(out, "order_failed", failureReason(e.Failure))
		s.OrderFailures++
		s.OrderedPreload, s.OrderedAt = false, 0
		s.RetryAt = now + backoff(s.OrderFailures)
		return
	}
	s.OrderFailures = 0
}

// rollout runs the weight rollout of one model for one tick.
type rollout struct {
	now           time.Duration
	t             *table.Tables
	w             *table.Weights
	p             *table.Partition
	out           *command.Outbox
	orderValidity time.Duration
}

func (r *rollout) run() {
	backends := r.engines()
	if len(backends) == 0 {
		return
	}
	r.resetForLease(backends)
	usable, loading, missing, inactive := 0, 0, 0, 0
	for _, b := range backends {
		s := r.observe(b)
		if s.OrderedPreload || b.Loading != 0 {
			loading++
		}
		if s.Quarantined {
			continue
		}
		usable++
		if b.Active != r.w.Version {
			inactive++
		}
		if !hasVersion(b, r.w.Version) {
			missing++
		}
	}
	if missing == 0 && usable > 0 && !r.w.Activating {
		r.w.Activating = true
		logRollout(r.out, "weights loaded on all samplers", r.w, "")
	}
	if r.w.Activating && inactive == 0 && usable > 0 && r.w.ActiveAt == 0 {
		r.w.ActiveAt = r.now
		logRollout(r.out, "weight rollout complete", r.w, "")
		countReason(r.out, "rollout_ended", "complete")
	}
	for _, b := range backends {
		loading += r.advance(b, loading)
	}
}

// resetForLease discards the progress recorded under an earlier lease. If an engine
// already runs the wanted version, an earlier holder had begun the activation.
func (r *rollout) resetForLease(backends []*table.Backend) {
	if r.w.HeldFence == r.p.Fence {
		return
	}
	r.w.HeldFence, r.w.Activating, r.w.ActiveAt = r.p.Fence, false, 0
	r.w.Engines = make(map[string]*table.EngineUpdate)
	for _, b := range backends {
		r.w.Activating = r.w.Activating || b.Active == r.w.Version
	}
}

// engines returns the model's engines that are not leaving and whose state is
// known. It drops the recorded progress of engines that are gone or leaving.
func (r *rollout) engines() []*table.Backend {
	var backends []*table.Backend
	present := make(map[string]bool)
	for _, b := range r.t.Backends.All() {
		if b.Kind != table.KindEngine || b.Model != r.w.Model || b.Leaving() {
			continue
		}
		present[b.Name] = true
		if b.ReportSeen != 0 && r.now-b.ReportSeen <= maxReportAge {
			backends = append(backends, b)
		}
	}
	maps.DeleteFunc(r.w.Engines, func(name string, _ *table.EngineUpdate) bool { return !present[name] })
	return backends
}

// observe updates the recorded progress of an engine by comparing its report with
// the order that it was sent.
func (r *rollout) observe(b *table.Backend) *table.EngineUpdate {
	s := r.w.Engines[b.Name]
	if s == nil || s.BootID != b.BootID {
		s = &table.EngineUpdate{BootID: b.BootID, BaseFailures: b.LoadFailures}
		r.w.Engines[b.Name] = s
	}
	if hasVersion(b, r.w.Version) {
		s.OrderedPreload = false
		return s
	}
	if failed := b.LoadFailures - s.BaseFailures; failed > 0 {
		r.loadFailed(b, s, failed)
	}
	if b.Loading == r.w.Version && !s.OrderedPreload {
		s.OrderedPreload, s.OrderedAt = true, r.now // ordered by an earlier holder
	}
	if s.OrderedPreload && !s.OrderPending && b.Loading != r.w.Version && r.now >= s.OrderedAt+orderRetryInterval {
		s.OrderedPreload, s.OrderedAt = false, 0
	}
	return s
}

func (r *rollout) loadFailed(b *table.Backend, s *table.EngineUpdate, failed int) {
	s.BaseFailures, s.OrderedPreload = b.LoadFailures, false
	s.Failures += failed
	s.RetryAt = r.now + backoff(s.Failures)
	countReason(r.out, "weight_load_failed", "load_failed")
	if s.Failures >= maxLoadFailures && !s.Quarantined {
		s.Quarantined = true
		countReason(r.out, "sampler_quarantined", "load_failed")
		logRollout(r.out, "sampler quarantined", r.w, b.Name)
	}
}

func hasVersion(b *table.Backend, v ledger.Version) bool {
	return b.Active == v || slices.Contains(b.Loaded, v)
}

// advance sends the engine's next order if one is due. It returns the number of
// loads that it started, 0 or 1.
func (r *rollout) advance(b *table.Backend, loading int) int {
	s := r.w.Engines[b.Name]
	if s.Quarantined || s.OrderPending || b.Active == r.w.Version {
		return 0
	}
	if r.now < s.RetryAt {
		r.out.WakeAt(s.RetryAt)
		return 0
	}
	if !hasVersion(b, r.w.Version) {
		if s.OrderedPreload || loading >= r.maxFetches() {
			return 0
		}
		s.OrderedPreload, s.BaseFailures = true, b.LoadFailures
		r.send(b, s, 0)
		return 1
	}
	if r.w.Activating && (s.OrderedAt == 0 || !s.OrderedActive || r.now >= s.OrderedAt+orderRetryInterval) {
		s.OrderedActive = true
		r.send(b, s, r.w.Version)
	}
	return 0
}

func (r *rollout) maxFetches() int {
	if n := r.t.Config.Body.Policy.MaxWeightFetches; n > 0 {
		return n
	}
	return DefaultMaxWeightFetches
}

func (r *rollout) send(b *table.Backend, s *table.EngineUpdate, active ledger.Version) {
	s.OrderPending, s.OrderedAt = true, r.now
	order := command.OrderWeights{Backend: b.Name, Address: b.Address, Deadline: r.now + r.orderValidity}
	order.Wanted.Fence = r.p.Fence
	order.Wanted.OrderID = r.w.Model + "/" + strconv.FormatUint(r.p.Fence, 10) + "/" + b.Name + "/" + strconv.FormatInt(int64(r.now), 10)
	order.Wanted.Model, order.Wanted.Preload, order.Wanted.Active = r.w.Model, r.w.Version, active
	order.Wanted.DeadlineMS, order.Wanted.IssuedBy = r.orderValidity.Milliseconds(), r.t.Self.ID
	r.out.Add(order)
}

func logRollout(out *command.Outbox, message string, w *table.Weights, engine string) {
	out.Add(command.LogChange{Message: message, Fields: []command.Field{
		{Key: "model", Value: w.Model},
		{Key: "version", Value: strconv.FormatInt(int64(w.Version), 10)},
		{Key: "sampler", Value: engine},
	}})
}
