package event

import (
	"time"

	"github.com/lavenderstand/lavenderstand/capacity"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/permit"
	"github.com/lavenderstand/lavenderstand/quarantine"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/settings"
)

// FeedChanged reports that the change feed of a table of the store was lost or regained.
type FeedChanged struct {
	Table   string
	Down    bool
	Failure *Failure
}

// FeedCaughtUp reports that the changes that were made while a feed was lost have been
// delivered. Changes that follow are new.
type FeedCaughtUp struct{ Table string }

// SettingsRead holds those settings of the host that affect decisions, after the settings
// were read again.
type SettingsRead struct {
	OrderHandoverDelay  time.Duration
	StoreReadsPerSecond float64
	ResultRetention     time.Duration
	BackendDrainPeriod  time.Duration
	Duties              settings.Duties
	UsageWindow         time.Duration
	UsageDue            time.Duration
}

// LotDeleted is the outcome of the deletion of an old lot. Version is the version that its
// head had.
type LotDeleted struct {
	ID      string
	Version uint64
	Failure *Failure
}

// RowUnreadable reports a row of this system that cannot be decoded, for example because
// a newer release wrote it.
type RowUnreadable struct {
	Table, Row string
	Version    uint64
	Message    string // why the row cannot be decoded, empty if its content is invalid
}

// DesiredRead holds a desired state as read from the store.
type DesiredRead struct{ State *desired.State }

// VersionNamed reports the newest weight version that a trainer named for a model.
type VersionNamed struct {
	Model   string
	Version registry.Version
}

// ServersRead holds changed records of backend servers. If Full is set, it holds all
// records that exist.
type ServersRead struct {
	Changes []registry.Change
	Full    bool
}

// HeadRow is the head of a lot as read from the store. The head of a deleted row has only a
// CandidateIndex.
type HeadRow struct {
	ID      string
	Head    lot.Head
	Version uint64
	Deleted bool
}

// HeadsRead holds changed heads of lots. If Full is set, it holds all heads that exist.
// After it, all heads are known up to Version of the store.
type HeadsRead struct {
	Version uint64
	Heads   []HeadRow
	Full    bool
}

// OrderLeaseRead holds the order lease as read from the store; see orderlease.Record.
type OrderLeaseRead struct {
	Holder  lot.Process
	Settled bool
	Quiet   time.Duration
	// StoreUpFor is the time for which the store had served the holder without a break.
	StoreUpFor time.Duration
	Version    uint64
}

// OrderLeaseWritten is the outcome of a write that acquires, renews or releases the order
// lease. SentAt is the time just before the write was sent.
type OrderLeaseWritten struct {
	SentAt   time.Duration
	Version  uint64
	Acquired bool
	Released bool
	Failure  *Failure
}

// LotAccepted reports a submission that this process has stored as a lot that it owns.
type LotAccepted struct {
	Submission *lot.Submission
	Head       lot.Head
	Version    uint64
}

// LotAdopted is the outcome of command.AdoptLot, with the stored data of the lot. Version is 0
// if the commit that makes this process the owner failed.
type LotAdopted struct {
	ID         string
	Submission *lot.Submission
	Head       lot.Head
	Version    uint64
	Listed     []string // ids of the items whose results are listed
	Progress   []lot.Progress
	// ProgressLost is why the stored progress could not be read, nil if it was read.
	// Unfinished items then start from the beginning.
	ProgressLost *Failure
	Failure      *Failure
}

// HeadChecked is the outcome of command.CheckHead. Row is the head that was read.
type HeadChecked struct {
	Row     HeadRow
	Failure *Failure
}

// LotWritten is the outcome of a commit of an owned lot. If another write was committed
// before, Current is the head in the store.
type LotWritten struct {
	ID      string
	WriteID string
	Head    lot.Head // as stored
	Version uint64
	Current *HeadRow
	Failure *Failure
}

// RunStarted reports that a backend server has begun to process an item. Version is the
// weight version that the server stated.
type RunStarted struct {
	Server  string
	Model   string
	Version registry.Version
	Limit   float64 // requests per second that the server takes from all hosts, 0 if it named no limit
}

// Name implements Event.
func (RunStarted) Name() string { return "run_began" }

// RunProgressed holds new events of a run that has not ended.
type RunProgressed struct {
	Key           string
	Run           int
	Server        string
	Events        []string           // data of the events after those reported before
	Versions      []registry.Version // weight versions that generated Events
	EventInterval time.Duration      // median of the newest times between two events, 0 if not measured
	Requests      int                // mean number of requests at the server, 0 if not known
}

// RunEnded is the outcome of one run of an item at a backend server.
type RunEnded struct {
	Key           string
	Run           int
	Server        string
	Model         string
	Events        []string           // data of the events after those reported before
	Versions      []registry.Version // weight versions that generated Events
	Version       registry.Version   // newest version that the server stated, 0 if none
	EventInterval time.Duration      // median of the newest times between two events, 0 if not measured
	Requests      int                // mean number of requests at the server, 0 if not known
	Failure       *Failure           // nil if the output is complete
}

// ScoreEnded is the outcome of a scoring request. Failures is the number of answers that
// reported a failure.
type ScoreEnded struct {
	Key      string
	Run      int
	Score    string
	Failures int
	Failure  *Failure
}

// OrderEnded is the outcome of an order to an engine. Report is the state that the engine
// reported before the order, nil if there is none.
type OrderEnded struct {
	Server  string
	Model   string
	Version registry.Version
	Report  *registry.EngineReport
	Failure *Failure
}

// ServerOutcome is the outcome of a caller's request at a backend server.
type ServerOutcome struct{ forward.Outcome }

// Name implements Event.
func (FeedChanged) Name() string { return "feed_changed" }

// Name implements Event.
func (FeedCaughtUp) Name() string { return "feed_caught_up" }

// Name implements Event.
func (RowUnreadable) Name() string { return "row_unreadable" }

// Name implements Event.
func (SettingsRead) Name() string { return "settings_read" }

// Name implements Event.
func (LotDeleted) Name() string { return "lot_deleted" }

// Name implements Event.
func (DesiredRead) Name() string { return "desired_read" }

// Name implements Event.
func (VersionNamed) Name() string { return "version_named" }

// Name implements Event.
func (ServersRead) Name() string { return "servers_read" }

// Name implements Event.
func (HeadsRead) Name() string { return "heads_read" }

// Name implements Event.
func (OrderLeaseRead) Name() string { return "duty_read" }

// Name implements Event.
func (OrderLeaseWritten) Name() string { return "duty_written" }

// Name implements Event.
func (LotAccepted) Name() string { return "lot_accepted" }

// Name implements Event.
func (LotAdopted) Name() string { return "lot_adopted" }

// Name implements Event.
func (HeadChecked) Name() string { return "head_checked" }

// Name implements Event.
func (LotWritten) Name() string { return "lot_written" }

// Name implements Event.
func (RunProgressed) Name() string { return "run_progressed" }

// Name implements Event.
func (RunEnded) Name() string { return "run_ended" }

// Name implements Event.
func (ScoreEnded) Name() string { return "score_ended" }

// Name implements Event.
func (OrderEnded) Name() string { return "order_ended" }

// Name implements Event.
func (ServerOutcome) Name() string { return "server_outcome" }

// PresenceRow is the presence row of a host of the system as read from the store.
type PresenceRow struct {
	Host    string
	Address string // address for calls from other hosts
	BootID  string // boot id of the process that wrote the row
	// LimitedEngines lists the engines of which the host knows that they name a request limit.
	LimitedEngines []string
	Version        uint64
	Deleted        bool
}

// PresenceRead holds changed presence rows.
type PresenceRead struct{ Rows []PresenceRow }

// PresenceWritten is the outcome of writing the presence row of this host.
type PresenceWritten struct {
	Version uint64
	Failure *Failure
}

// Name implements Event.
func (PresenceRead) Name() string { return "presence_read" }

// Name implements Event.
func (PresenceWritten) Name() string { return "presence_written" }

// PermitRequested asks this host for a permit for a request to a server that names a limit.
type PermitRequested struct {
	RequestID string
	Request   permit.Request
}

// Name implements Event.
func (PermitRequested) Name() string { return "permit_requested" }

// NotesReceived holds what another host told of backend servers and asks for what this host
// knows.
type NotesReceived struct {
	RequestID string
	Share     capacity.Share
}

// Name implements Event.
func (NotesReceived) Name() string { return "notes_received" }

// NotesExchanged is the outcome of command.ShareNotes.
type NotesExchanged struct {
	Notes   []capacity.Note
	Failure *Failure
}

// Name implements Event.
func (NotesExchanged) Name() string { return "notes_exchanged" }

// SuspectReported holds what another host reports about a request under which a backend
// server ended.
type SuspectReported struct{ quarantine.Report }

// Name implements Event.
func (SuspectReported) Name() string { return "suspect_reported" }

// QuarantineRow is the row of a quarantined content as read from the store.
type QuarantineRow struct {
	Content string
	Version uint64
	Deleted bool
}

// QuarantineRead holds changed rows of quarantined contents.
type QuarantineRead struct{ Rows []QuarantineRow }

// Name implements Event.
func (QuarantineRead) Name() string { return "quarantine_read" }

// QuarantineWritten is the outcome of command.WriteQuarantine.
type QuarantineWritten struct {
	Content string
	Failure *Failure
}

// Name implements Event.
func (QuarantineWritten) Name() string { return "quarantine_written" }

// ExplainRequested asks what the items of a lot wait for. If Lot is empty, it is the newest lot
// with the item that this host runs.
type ExplainRequested struct {
	RequestID string
	Lot, Item string // Item is empty for all waiting items
}

// Name implements Event.
func (ExplainRequested) Name() string { return "explain_asked" }

// HostViewRequested asks for the state of this host, including its view of other hosts.
type HostViewRequested struct{ RequestID string }

// Name implements Event.
func (HostViewRequested) Name() string { return "view_asked" }
