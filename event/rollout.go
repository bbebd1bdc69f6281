package event

import (
	"time"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/registry"
)

// FeedChanged reports that the feed of a table of the store was lost or regained.
type FeedChanged struct {
	Table   string
	Down    bool
	Failure *Failure
}

// SettingsRead holds the settings of the host that decisions depend on, after they were
// read again.
type SettingsRead struct {
	LeaseTTL            time.Duration
	StoreReadsPerSecond float64
	ResultRetention     time.Duration
}

// LotDeleted is the outcome of the deletion of an old lot.
type LotDeleted struct {
	ID      string
	Failure *Failure
}

// RowUnreadable is a row of this system that cannot be decoded, for example one of a
// newer program.
type RowUnreadable struct {
	Table, Row string
	Version    uint64
}

// DesiredRead is a desired state as the store holds it.
type DesiredRead struct{ State *desired.State }

// VersionNamed is the newest version that a trainer named for a model.
type VersionNamed struct {
	Model   string
	Version registry.Version
}

// ServersRead holds changed records of backend servers. Full means that records
// that are not among them do not exist.
type ServersRead struct {
	Changes []registry.Change
	Full    bool
}

// HeadRow is the head of a lot as the store holds it. Deleted rows have only an id
// and a version.
type HeadRow struct {
	ID      string
	Head    lot.Head
	Version uint64
	Deleted bool
}

// HeadsRead holds changed heads of lots. Full means that heads that are not among
// them do not exist. Version is that of the store
// up to which all heads are then known.
type HeadsRead struct {
	Version uint64
	Heads   []HeadRow
	Full    bool
}

// OrderLeaseRead is the lease for orders as the store holds it.
type OrderLeaseRead struct {
	Holder  lot.Process
	Version uint64
}

// OrderLeaseWritten is the outcome of taking, renewing or releasing the lease. SentAt is
// the time just before the write was sent.
type OrderLeaseWritten struct {
	SentAt   time.Duration
	Version  uint64
	Acquired bool
	Released bool
	Failure  *Failure
}

// LotAccepted is a submission that this process has stored and owns.
type LotAccepted struct {
	Submission *lot.Submission
	Head       lot.Head
	Version    uint64
}

// LotAdopted is the outcome of taking over a lot, with what is stored of it.
type LotAdopted struct {
	ID         string
	Submission *lot.Submission
	Head       lot.Head
	Version    uint64
	Results    []lot.Result
	Progress   []lot.Progress
	// ProgressLost says why the stored progress could not be read; items begin again.
	ProgressLost *Failure
	Failure      *Failure
}

// LotWritten is the outcome of a commit of an owned lot. Current is the head in the
// store if another write came before.
type LotWritten struct {
	ID      string
	WriteID string
	Head    lot.Head // as stored
	Version uint64
	Current *HeadRow
	Failure *Failure
}

// RunStarted reports that a backend server works on an item. Version is the one that
// the server stated.
type RunStarted struct {
	Server  string
	Model   string
	Version registry.Version
}

// Name implements Event.
func (RunStarted) Name() string { return "run_began" }

// RunProgressed holds events of a run that goes on, after those reported before.
type RunProgressed struct {
	Key           string
	Run           int
	Server        string
	Events        []string
	Versions      []registry.Version // that made them
	EventInterval time.Duration      // mean time between events, 0 if it was not measured
}

// RunEnded is the outcome of one run of an item at a backend server.
type RunEnded struct {
	Key           string
	Run           int
	Server        string
	Model         string
	Events        []string // data of the events after those reported before
	Versions      []registry.Version
	Version       registry.Version // newest version that the server stated, 0 if none
	EventInterval time.Duration    // mean time between events, 0 if it was not measured
	Failure       *Failure         // nil after the whole output
}

// ScoreEnded is the outcome of a scoring request. Failures is the number of
// answers that said the request failed.
type ScoreEnded struct {
	Key      string
	Score    string
	Failures int
	Failure  *Failure
}

// OrderEnded is the outcome of an order. Report is what the engine said before.
type OrderEnded struct {
	Server  string
	Model   string
	Version registry.Version
	Report  *registry.EngineReport
	Failure *Failure
}

// ServerOutcome is what a request of a caller showed about a backend server.
type ServerOutcome struct{ forward.Outcome }

// Name implements Event.
func (FeedChanged) Name() string { return "feed_changed" }

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

// PresenceRow is the row of a host of the system as the store holds it.
type PresenceRow struct {
	Host    string
	Address string // for calls of other hosts
	BootID  string // of the process that wrote the row
	Version uint64
	Deleted bool
}

// PresenceRead holds changed rows of hosts.
type PresenceRead struct{ Rows []PresenceRow }

// PresenceWritten is the outcome of writing the row of this host.
type PresenceWritten struct {
	Version uint64
	Failure *Failure
}

// Name implements Event.
func (PresenceRead) Name() string { return "presence_read" }

// Name implements Event.
func (PresenceWritten) Name() string { return "presence_written" }

// HostViewRequested asks for what this host believes.
type HostViewRequested struct{ RequestID string }

// Name implements Event.
func (HostViewRequested) Name() string { return "view_asked" }
