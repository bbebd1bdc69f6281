package table

import (
	"time"

	"github.com/lavenderstand/lavenderstand/plan"
)

// HostRowSync is the state of reading the host rows and of writing the row of this
// process.
type HostRowSync struct {
	EverRead     bool          // the host rows have been read since process start
	ReadAt       time.Duration // last successful read
	NextRead     time.Duration
	ReadPending  bool
	NextWrite    time.Duration
	WritePending bool
	Leaving      bool // the drain has ended and the row of this process must be deleted
	DeleteSent   bool // the newest write of the row is its deletion
	Deleted      bool // the row has been deleted
	Expired      []ExpiredHost
}

// ExpiredHost identifies a host row that was not renewed in time.
type ExpiredHost struct {
	ID         string
	RowVersion uint64
}

// HostProgress is what this process records about the renewals of a host row and its
// contacts with that host.
type HostProgress struct {
	ContactSentAt  time.Duration
	NextContact    time.Duration
	PendingVersion uint64 // configuration version prepared by the peer, outcome unknown
	CountsVote     bool   // the peer counts towards a majority

	// Unrenewed is the time since the last renewal of the row. Time during which the
	// host rows could not be read is not counted.
	Unrenewed time.Duration
}

// ChangePhase is the progress of an operator's change of the configuration.
type ChangePhase uint8

// Phases of a change, in order.
const (
	ChangeWaiting    ChangePhase = iota // waits for another change to end
	ChangePreparing                     // waits for a majority of acknowledgements
	ChangeCommitting                    // the commit has been sent
)

// ConfigChange is an operator's change of the configuration.
type ConfigChange struct {
	ExpectedVersion uint64
	Author          string
	Body            plan.Config
	Phase           ChangePhase
	Until           time.Duration   // end of the phase
	CommitSentAt    time.Duration   // set in ChangeCommitting
	Known           int             // number of known hosts when the phase ChangePreparing began
	Acknowledged    map[string]bool // by host name
	Refused         map[string]bool // by host name
}

// PublishedStatus describes the newest published status snapshot: the values from which
// it was built and the time of the next one.
type PublishedStatus struct {
	Published     bool
	Next          time.Duration
	ConfigVersion uint64
	Ready         bool
	Draining      bool
}
