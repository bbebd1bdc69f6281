package command

import (
	"time"

	"github.com/lavenderstand/lavenderstand/capacity"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/quarantine"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/status"
)

// PublishRouting replaces the plan by which request goroutines route.
type PublishRouting struct{ Plan *forward.Plan }

// PublishLots replaces the heads of lots, by lot id, that request goroutines read.
type PublishLots struct{ Lots map[string]lot.StoredHead }

// Runner is the process that should run the next lot of a model. It counts as alive
// until AliveUntil, a monotonic offset of this process.
type Runner struct {
	Owner      lot.Process
	AliveUntil time.Duration
}

// PublishRunners replaces the processes that run lots, by model.
type PublishRunners struct{ Runners map[string]Runner }

// Name implements Command.
func (PublishRunners) Name() string { return "publish_runners" }

// AdoptLot takes over a lot whose head has the given version, and loads its submission,
// results and progress.
type AdoptLot struct {
	Head    lot.Head // new head, with this process as owner
	Version uint64
}

// CheckHead reads the head of a lot whose adoption failed, to find out whether its
// partition of the store is available.
type CheckHead struct {
	ID             string
	CandidateIndex int
}

// WriteLot commits the head of an owned lot, whose row has the given version, and stores
// results and progress. The same write may be sent again after an unknown outcome.
type WriteLot struct {
	Head     lot.Head
	Version  uint64
	Results  []lot.Result
	Progress []lot.Progress
}

// StartRun runs an item at a backend server. The run continues after the first AfterEvent
// events of the item.
type StartRun struct {
	Key        string
	Run        int
	Spec       *lot.Item
	Host       string // host name in the trainer's submission
	Target     *forward.Target
	Model      string
	MinVersion registry.Version // older weights must not generate the item
	AfterEvent int
	Priority   int // priority at the engine, 0 is first
	// Organisation and Identified are those of forward.Request.
	Organisation string
	Identified   bool
	// FirstEventTimeout and NextEventTimeout bound the wait for the first and for each
	// further event. Progress is reported at once if the time between events exceeds
	// SlowInterval, unless that is 0.
	FirstEventTimeout time.Duration
	NextEventTimeout  time.Duration
	SlowInterval      time.Duration
	Deadline          time.Duration // maximum duration of the run
}

// StopRun stops a run. Its outcome is reported by event.RunEnded like that of any run.
type StopRun struct {
	Key string
	Run int
}

// ScoreItem sends the scoring request of an item whose output is complete. Run numbers the
// request; no run or other scoring request has the same number.
type ScoreItem struct {
	Key    string
	Run    int
	Scorer *lot.Scorer
	// Timeout bounds the request in place of the timeout of its route.
	Timeout time.Duration
}

// StopScore cancels a scoring request, also one that has not been sent yet. Its outcome is
// reported by event.ScoreEnded like that of any scoring request.
type StopScore struct {
	Key string
	Run int
}

// SendOrder orders an engine to load a weight version. The executor drops the order if
// ValidUntil, a monotonic offset, has passed just before it is sent.
type SendOrder struct {
	Target     *forward.Target
	Model      string
	Version    registry.Version
	Fence      uint64
	ValidUntil time.Duration
}

// PublishQuarantine replaces the contents of requests that are sent to no server.
type PublishQuarantine struct{ Contents map[string]bool }

// Name implements Command.
func (PublishQuarantine) Name() string { return "publish_quarantine" }

// ReportSuspect tells other hosts of a request under which a backend server ended: all hosts
// if the content is in quarantine, else those that count the reports about it.
type ReportSuspect struct{ quarantine.Report }

// Name implements Command.
func (ReportSuspect) Name() string { return "report_suspect" }

// MarkLeaving has requests and orders that are about to be sent to a server withheld, because it
// leaves.
type MarkLeaving struct{ Target *forward.Target }

// Name implements Command.
func (MarkLeaving) Name() string { return "mark_leaving" }

// ShareLeaving tells all other hosts of starts of servers that said that they leave.
type ShareLeaving struct{ Starts []registry.Start }

// Name implements Command.
func (ShareLeaving) Name() string { return "share_leaving" }

// AskLeaving asks some other hosts which servers said that they leave.
type AskLeaving struct{}

// Name implements Command.
func (AskLeaving) Name() string { return "ask_leaving" }

// AnswerLeaving answers event.LeavingRequested.
type AnswerLeaving struct {
	RequestID string
	Starts    []registry.Start
}

// Name implements Command.
func (AnswerLeaving) Name() string { return "answer_leaving" }

// WriteQuarantine writes or, with Remove, deletes the row of a quarantined content. Version is
// that of the present row, 0 if there is none.
type WriteQuarantine struct {
	Content string
	Version uint64
	Remove  bool
}

// Name implements Command.
func (WriteQuarantine) Name() string { return "write_quarantine" }

// AnswerPermit answers event.PermitRequested.
type AnswerPermit struct {
	RequestID string
	Permit    forward.Permit
}

// Name implements Command.
func (AnswerPermit) Name() string { return "answer_permit" }

// WriteOrderLease acquires, renews or releases the order lease, whose row has the given
// version.
type WriteOrderLease struct {
	Version uint64
	Acquire bool
	Release bool
	Settled bool          // see orderlease.Record
	Quiet   time.Duration // of a release, see orderlease.Record
	// StoreUpFor is the time for which the store has served this host without a break.
	StoreUpFor time.Duration
}

// Name implements Command.
func (PublishRouting) Name() string { return "publish_routing" }

// Name implements Command.
func (PublishLots) Name() string { return "publish_lots" }

// Name implements Command.
func (AdoptLot) Name() string { return "adopt_lot" }

// Name implements Command.
func (CheckHead) Name() string { return "check_head" }

// Name implements Command.
func (WriteLot) Name() string { return "write_lot" }

// Name implements Command.
func (StartRun) Name() string { return "start_run" }

// Name implements Command.
func (StopRun) Name() string { return "stop_run" }

// Name implements Command.
func (ScoreItem) Name() string { return "score_item" }

// Name implements Command.
func (StopScore) Name() string { return "stop_score" }

// Name implements Command.
func (SendOrder) Name() string { return "send_order" }

// Name implements Command.
func (WriteOrderLease) Name() string { return "write_duty" }

// HandoverFinished reports that a draining process has handed over all its lots and the
// order lease.
type HandoverFinished struct{}

// Name implements Command.
func (HandoverFinished) Name() string { return "handed_over" }

// WritePresence writes or, with Remove, deletes the presence row of this host. The row lists
// the engines of which this host knows that they name a request limit. Version is
// that of the present row, 0 if there is none.
type WritePresence struct {
	LimitedEngines []string
	Version        uint64
	Remove         bool
}

// DeleteLot removes an old lot from the store.
type DeleteLot struct {
	Head    lot.Head
	Version uint64
}

// PublishEstimate replaces the estimate of a server that request goroutines read, of plain
// requests or of streams.
type PublishEstimate struct {
	Load     *forward.Load
	Estimate capacity.Estimate
	Stream   bool
	Age      time.Duration // of the estimate
}

// Name implements Command.
func (PublishEstimate) Name() string { return "publish_estimate" }

// ShareNotes tells another host what this host knows of backend servers.
type ShareNotes struct {
	Address string // of the other host
	Share   capacity.Share
}

// Name implements Command.
func (ShareNotes) Name() string { return "share_notes" }

// AnswerNotes answers event.NotesReceived.
type AnswerNotes struct {
	RequestID string
	Notes     []capacity.Note
}

// Name implements Command.
func (AnswerNotes) Name() string { return "answer_notes" }

// PublishPeers replaces the addresses of the other hosts, by host name.
type PublishPeers struct{ Addresses map[string]string }

// Name implements Command.
func (WritePresence) Name() string { return "write_presence" }

// Name implements Command.
func (PublishPeers) Name() string { return "publish_peers" }

// Name implements Command.
func (DeleteLot) Name() string { return "delete_lot" }

// AnswerExplain answers event.ExplainRequested.
type AnswerExplain struct {
	RequestID   string
	Explanation *status.LotExplanation // nil if Failure is set
	Failure     *event.Failure
}

// Name implements Command.
func (AnswerExplain) Name() string { return "answer_explain" }

// AnswerHostView answers event.HostViewRequested.
type AnswerHostView struct {
	RequestID string
	View      status.HostView
}

// Name implements Command.
func (AnswerHostView) Name() string { return "answer_view" }
