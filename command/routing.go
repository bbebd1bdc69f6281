package command

import (
	"time"

	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/plan"
)

// PublishPlan passes a new plan to traffic.
type PublishPlan struct{ Plan *plan.Plan }

// Name implements Command.
func (PublishPlan) Name() string { return "publish_plan" }

// SetReady sets the readiness of this process.
type SetReady struct{ Ready bool }

// Name implements Command.
func (SetReady) Name() string { return "set_ready" }

// ReadHostList reads the platform's host list.
type ReadHostList struct{}

// Name implements Command.
func (ReadHostList) Name() string { return "read_host_list" }

// ReadHostRows reads the rows of the system's own processes.
type ReadHostRows struct{}

// Name implements Command.
func (ReadHostRows) Name() string { return "read_host_rows" }

// WriteHostRow writes or, with Delete, removes this process's host row.
type WriteHostRow struct {
	Row    event.HostRow
	Delete bool
}

// Name implements Command.
func (WriteHostRow) Name() string { return "write_host_row" }

// ReadState reads a backend server's load report.
type ReadState struct{ Backend, Address string }

// Name implements Command.
func (ReadState) Name() string { return "read_state" }

// ReadCacheEvents reads an engine's cache events after a sequence number.
type ReadCacheEvents struct {
	Backend, Address string
	After            uint64
}

// Name implements Command.
func (ReadCacheEvents) Name() string { return "read_cache_events" }

// ReadConfig reads the configuration row.
type ReadConfig struct{}

// Name implements Command.
func (ReadConfig) Name() string { return "read_config" }

// ContactHost asks a peer for its view of the configuration.
type ContactHost struct {
	HostID, Address string
	ConfigVersion   uint64 // known version; the peer sends a body only if it has a higher one
}

// Name implements Command.
func (ContactHost) Name() string { return "contact_host" }

// PrepareHost asks a peer to record a configuration version as pending.
type PrepareHost struct {
	RequestID       string // request id of the change
	HostID, Address string
	Version         uint64
}

// Name implements Command.
func (PrepareHost) Name() string { return "prepare_host" }

// WithdrawHost tells a peer that a prepared change will never be accepted.
type WithdrawHost struct{ Change, Address string }

// Name implements Command.
func (WithdrawHost) Name() string { return "withdraw_host" }

// CommitConfig writes a configuration if ExpectedVersion is the accepted version.
type CommitConfig struct {
	RequestID       string
	ExpectedVersion uint64
	Author          string
	Body            plan.Config
	Deadline        time.Duration // monotonic offset
}

// Name implements Command.
func (CommitConfig) Name() string { return "commit_config" }

// AnnounceConfig sends an accepted configuration to a peer.
type AnnounceConfig struct {
	HostID, Address string
	Controller      bool // the peer is a controller, not an entry host
	Version         uint64
	Body            plan.Config
}

// Name implements Command.
func (AnnounceConfig) Name() string { return "announce_config" }

// AnswerConfigChange answers event.ConfigChangeRequested. If Accepted is false and there
// is no Failure, another change was accepted first: Version by Author.
type AnswerConfigChange struct {
	RequestID string
	Accepted  bool
	Version   uint64
	Author    string
	Body      plan.Config
	Failure   *event.Failure
}

// Name implements Command.
func (AnswerConfigChange) Name() string { return "answer_config_change" }

// AnswerPrepare answers event.PrepareRequested.
type AnswerPrepare struct {
	RequestID string
	Failure   *event.Failure
}

// Name implements Command.
func (AnswerPrepare) Name() string { return "answer_prepare" }

// AnswerContact answers event.ContactRequested.
type AnswerContact struct {
	RequestID string
	Contact   event.Contact
}

// Name implements Command.
func (AnswerContact) Name() string { return "answer_contact" }

// HostRowDeleted reports that this process's host row was deleted at the end of a
// graceful shutdown.
type HostRowDeleted struct{}

// Name implements Command.
func (HostRowDeleted) Name() string { return "host_row_deleted" }
