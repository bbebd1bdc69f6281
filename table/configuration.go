package table

import (
	"time"

	"github.com/lavenderstand/lavenderstand/plan"
)

// HostRowSync is the progress of reading the host rows and of keeping the own one.
type HostRowSync struct {
	EverRead     bool          // the host rows were read since process start
	ReadAt       time.Duration // last successful read
	NextRead     time.Duration
	ReadPending  bool
	NextWrite    time.Duration
	WritePending bool
	Leaving      bool // the drain has ended, the own row is to be deleted
	DeleteSent   bool // the newest write of the own row is its deletion
	Deleted      bool // the own row has been deleted
	Expired      []ExpiredHost
}

// ExpiredHost is a host row that remained without a renewal for too long.
type ExpiredHost struct {
	ID         string
	RowVersion uint64
}

// HostProgress is what this process keeps about the renewals of a host and its
// contacts with it.
type HostProgress struct {
	ContactSentAt  time.Duration
	NextContact    time.Duration
	PendingVersion uint64 // prepared by the peer, outcome unknown
	CountsVote     bool   // the peer counts towards a majority

	// Unrenewed is the time without a renewal between reads of the host rows.
	// Time in which the rows could not be read does not count.
	Unrenewed time.Duration
}

// ChangePhase is the progress of an operator's change of the configuration.
type ChangePhase uint8

// Phases of a change, in order.
const (
	ChangeWaiting    ChangePhase = iota // another change is under way
	ChangePreparing                     // waiting for a majority of acknowledgements
	ChangeCommitting                    // the commit was sent
)

// ConfigChange is an operator's change of the configuration.
type ConfigChange struct {
	ExpectedVersion uint64
	Author          string
	Body            plan.Config
	Phase           ChangePhase
	Until           time.Duration   // end of the phase
	CommitSentAt    time.Duration   // set in ChangeCommitting
	Known           int             // known hosts when preparing began
	Acknowledged    map[string]bool // by host name
	Refused         map[string]bool // by host name
}

// PublishedStatus is what the newest published status snapshot was built from.
type PublishedStatus struct {
	Published     bool
	Next          time.Duration
	ConfigVersion uint64
	Ready         bool
	Draining      bool
}
