// Package status defines the immutable view of a process's tables that operators read. The
// control loop publishes it, so that HTTP handlers can read it without access to the tables.
package status

import (
	"sync/atomic"

	"github.com/lavenderstand/lavenderstand/plan"
)

// Snapshot is the state of one process at one point in time. It is not modified after its
// publication.
type Snapshot struct {
	Process  Process   `json:"process"`
	Config   Config    `json:"config"`
	Hosts    []Host    `json:"hosts"`
	Backends []Backend `json:"backends"`
	Classes  []Class   `json:"classes"`
}

// Process describes the process itself.
type Process struct {
	ID       string `json:"id"`
	Host     string `json:"host"`
	Zone     string `json:"zone"`
	Role     string `json:"role"`
	Ready    bool   `json:"ready"`
	Draining bool   `json:"draining"`
	UptimeMS int64  `json:"uptime_ms"`
}

// Config is the configuration in use.
type Config struct {
	Version        uint64      `json:"version"`
	PendingVersion uint64      `json:"pending_version,omitempty"`
	Confirmed      bool        `json:"confirmed"`
	ConfirmedAgeMS int64       `json:"confirmed_age_ms"`
	Body           plan.Config `json:"config"`
}

// Host is one of the system's own processes.
type Host struct {
	ID            string `json:"id"`
	Host          string `json:"host"`
	Zone          string `json:"zone"`
	Role          string `json:"role"`
	Address       string `json:"address"`
	RenewedAgeMS  int64  `json:"renewed_age_ms"`
	ContactAgeMS  int64  `json:"contact_age_ms,omitempty"` // 0 if no contact was needed
	ConfigVersion uint64 `json:"config_version,omitempty"` // as reported at the last contact
}

// Backend is the state of a backend server.
type Backend struct {
	Name        string  `json:"name"`
	Kind        string  `json:"kind"`
	Model       string  `json:"model"`
	Zone        string  `json:"zone"`
	Address     string  `json:"address"`
	State       string  `json:"state"` // live, leaving or ejected
	Running     int     `json:"running"`
	Queued      int     `json:"queued"`
	Slots       int     `json:"slots"`
	TokenRate   float64 `json:"tokens_per_second"`
	ReportAgeMS int64   `json:"report_age_ms"`
	Version     int64   `json:"version"` // active weight version, 0 if unknown
	Failures    int     `json:"consecutive_failures"`
}

// States of a backend.
const (
	BackendLive    = "live"
	BackendLeaving = "leaving"
	BackendEjected = "ejected"
)

// Class holds the targets of a class of work and the results that it reaches.
type Class struct {
	Name        string  `json:"name"`
	LatencyMS   int64   `json:"latency_ms,omitempty"`
	TargetShare float64 `json:"on_time_target,omitempty"`
	OnTimeShare float64 `json:"on_time_share"`
	Priority    int     `json:"priority"`
	Share       float64 `json:"slot_share"`
}

// Group is the progress of a trainer's group of samples.
type Group struct {
	Trainer  string `json:"trainer"`
	Group    string `json:"group"`
	Phase    string `json:"phase"`
	Finished int    `json:"finished"`
	Samples  int    `json:"samples"`
	Attempt  int    `json:"attempt"`
	AgeMS    int64  `json:"age_ms"`
}

// AtomicSnapshot passes snapshots from the control loop to HTTP handlers. It is safe for
// concurrent use.
type AtomicSnapshot struct{ p atomic.Pointer[Snapshot] }

// Publish replaces the snapshot.
func (a *AtomicSnapshot) Publish(s *Snapshot) { a.p.Store(s) }

// Load returns the newest snapshot, or an empty one before the first publication.
func (a *AtomicSnapshot) Load() *Snapshot {
	if s := a.p.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}
