package command

import (
	"time"

	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/status"
)

// PublishRouting replaces the plan that request goroutines route by.
type PublishRouting struct{ Plan *forward.Plan }

// PublishLots replaces the heads of all lots that readers see.
type PublishLots struct{ Lots map[string]lot.StoredHead }

// Runner is the process that should run the next lot of a model. It counts as alive
// until AliveUntil, on the process's clock.
type Runner struct {
	Owner      lot.Process
	AliveUntil time.Duration
}

// PublishRunners replaces what is known of the processes that run lots, by model.
type PublishRunners struct{ Runners map[string]Runner }

// Name implements Command.
func (PublishRunners) Name() string { return "publish_runners" }

// AdoptLot takes over a lot whose head has the given version and loads what is
// stored of it.
type AdoptLot struct {
	Head    lot.Head // with this process as owner
	Version uint64
}

// WriteLot commits the head of an owned lot, whose row has the given version, and
// appends results. The same write may be sent again after an unknown outcome.
type WriteLot struct {
	Head     lot.Head
	Version  uint64
	Results  []lot.Result
	Progress []lot.Progress
}

// StartRun runs an item at a backend server from the event after AfterEvent on.
type StartRun struct {
	Key        string
	Run        int
	Spec       *lot.Item
	Host       string
	Target     *forward.Target
	Model      string
	MinVersion registry.Version // older weights must not generate the item
	AfterEvent int
	Urgency    int
	// FirstEventTimeout and NextEventTimeout bound the wait for the first and each further
	// event. A mean interval above MaxEventInterval ends the run, 0 for no bound.
	FirstEventTimeout time.Duration
	NextEventTimeout  time.Duration
	MaxEventInterval  time.Duration
	Deadline          time.Duration
}

// StopRun ends a run; its outcome is reported as for any end.
type StopRun struct {
	Key string
	Run int
}

// ScoreItem sends the scoring request of a complete item.
type ScoreItem struct {
	Key    string
	Scorer *lot.Scorer
}

// SendOrder orders an engine to take a version. It is sent only if the process's
// clock has not passed ValidUntil just before.
type SendOrder struct {
	Target     *forward.Target
	Model      string
	Version    registry.Version
	Fence      uint64
	ValidUntil time.Duration
}

// WriteOrderLease takes, renews or releases the lease for orders, whose row has the
// given version.
type WriteOrderLease struct {
	Version uint64
	Acquire bool
	Release bool
}

// Name implements Command.
func (PublishRouting) Name() string { return "publish_routing" }

// Name implements Command.
func (PublishLots) Name() string { return "publish_lots" }

// Name implements Command.
func (AdoptLot) Name() string { return "adopt_lot" }

// Name implements Command.
func (WriteLot) Name() string { return "write_lot" }

// Name implements Command.
func (StartRun) Name() string { return "start_run" }

// Name implements Command.
func (StopRun) Name() string { return "stop_run" }

// Name implements Command.
func (ScoreItem) Name() string { return "score_item" }

// Name implements Command.
func (SendOrder) Name() string { return "send_order" }

// Name implements Command.
func (WriteOrderLease) Name() string { return "write_duty" }

// HandoverFinished says that a planned stop has nothing left to hand over.
type HandoverFinished struct{}

// Name implements Command.
func (HandoverFinished) Name() string { return "handed_over" }

// WritePresence writes the row of this host, whose present row has the given version, or
// removes it.
type WritePresence struct {
	Version uint64
	Remove  bool
}

// DeleteLot removes an old lot from the store.
type DeleteLot struct {
	Head    lot.Head
	Version uint64
}

// PublishPeers replaces the addresses of the other hosts, by name.
type PublishPeers struct{ Addresses map[string]string }

// Name implements Command.
func (WritePresence) Name() string { return "write_presence" }

// Name implements Command.
func (PublishPeers) Name() string { return "publish_peers" }

// Name implements Command.
func (DeleteLot) Name() string { return "delete_lot" }

// AnswerHostView answers event.HostViewRequested.
type AnswerHostView struct {
	RequestID string
	View      status.HostView
}

// Name implements Command.
func (AnswerHostView) Name() string { return "answer_view" }
