package event

import (
	"time"

	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// HostListRead is the answer to command.ReadHostList.
type HostListRead struct {
	Hosts   []tablestore.ListedHost
	Failure *Failure
}

// Name implements Event.
func (HostListRead) Name() string { return "host_list_read" }

// HostRow is a row of one of the system's own processes.
type HostRow struct {
	ID, Host, Zone, Role, Address string
	RowVersion                    uint64
}

// HostRowsRead is the answer to command.ReadHostRows.
type HostRowsRead struct {
	Rows    []HostRow
	Failure *Failure
}

// Name implements Event.
func (HostRowsRead) Name() string { return "host_rows_read" }

// HostRowWritten is the answer to command.WriteHostRow.
type HostRowWritten struct{ Failure *Failure }

// Name implements Event.
func (HostRowWritten) Name() string { return "host_row_written" }

// StateReported is the answer to command.ReadState: a load report of an engine or service.
type StateReported struct {
	Backend string
	State   engine.State
	Failure *Failure
}

// Name implements Event.
func (StateReported) Name() string { return "state_reported" }

// CacheReported is the answer to command.ReadCacheEvents: a page of an engine's cache
// events.
type CacheReported struct {
	Backend string
	Events  engine.CacheEvents
	Failure *Failure
}

// Name implements Event.
func (CacheReported) Name() string { return "cache_reported" }

// AttemptEnded is the outcome of one attempt of a request at a backend server, as
// reported by traffic.
type AttemptEnded struct {
	Backend string
	Verdict verdict.Verdict
	Reason  verdict.Reason // empty on success
}

// Name implements Event.
func (AttemptEnded) Name() string { return "attempt_ended" }

// RequestEnded is the outcome of one request, as reported by traffic.
type RequestEnded struct {
	Class   string
	Verdict verdict.Verdict
	Reason  verdict.Reason // empty on success
	Latency time.Duration
}

// Name implements Event.
func (RequestEnded) Name() string { return "request_ended" }

// PrefixSent reports that a prompt with the given prefix hashes was sent to a backend.
type PrefixSent struct {
	Backend string
	Hashes  []uint64
}

// Name implements Event.
func (PrefixSent) Name() string { return "prefix_sent" }

// ConfigRead is the answer to command.ReadConfig.
type ConfigRead struct {
	Version uint64 // 0 if there is no configuration yet
	Body    plan.Config
	Failure *Failure
}

// Name implements Event.
func (ConfigRead) Name() string { return "config_read" }

// ConfigAnnounced holds a configuration that a peer reports as accepted.
type ConfigAnnounced struct {
	Version uint64
	Body    plan.Config
}

// Name implements Event.
func (ConfigAnnounced) Name() string { return "config_announced" }

// PrepareRequested asks this process to record a configuration version as pending.
type PrepareRequested struct {
	RequestID string
	Change    string
	Version   uint64
}

// Name implements Event.
func (PrepareRequested) Name() string { return "prepare_requested" }

// PrepareWithdrawn reports that a prepared change will never be accepted.
type PrepareWithdrawn struct{ Change string }

// Name implements Event.
func (PrepareWithdrawn) Name() string { return "prepare_withdrawn" }

// ContactRequested asks for this process's view of the configuration.
type ContactRequested struct {
	RequestID string
	From      string // host name
}

// Name implements Event.
func (ContactRequested) Name() string { return "contact_requested" }

// Contact is a process's view of the configuration.
type Contact struct {
	Host           string
	ConfigVersion  uint64
	PendingVersion uint64        // prepared, outcome unknown; 0 if none
	StoreReadAge   time.Duration // time since the last successful read of the configuration row
	CountsVote     bool          // the process counts towards a majority; see table.Config.CountsVote
	Body           plan.Config   // body of ConfigVersion, omitted if the asking process has that version
}

// ContactMade is the answer to command.ContactHost.
type ContactMade struct {
	HostID  string
	Contact Contact
	Failure *Failure
}

// Name implements Event.
func (ContactMade) Name() string { return "contact_made" }

// ConfigChangeRequested is an operator's change of the configuration.
type ConfigChangeRequested struct {
	RequestID       string
	ExpectedVersion uint64
	Author          string
	Body            plan.Config
}

// Name implements Event.
func (ConfigChangeRequested) Name() string { return "config_change_requested" }

// PrepareAnswered is the answer to command.PrepareHost.
type PrepareAnswered struct {
	RequestID string // request id of the change
	HostID    string
	Failure   *Failure
}

// Name implements Event.
func (PrepareAnswered) Name() string { return "prepare_answered" }

// ConfigCommitted is the answer to command.CommitConfig.
type ConfigCommitted struct {
	RequestID string
	Committed bool
	Version   uint64      // committed version, or that of the change that was accepted first
	Author    string      // author of Version
	Body      plan.Config // body of Version
	Failure   *Failure
}

// Name implements Event.
func (ConfigCommitted) Name() string { return "config_committed" }
