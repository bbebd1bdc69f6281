// Package registry defines the records that backend servers publish about themselves and
// the orders that engines accept.
package registry

import (
	"strconv"
	"time"
)

// Version is the version number of a model's weights. Numbers start at 1.
type Version int

// Software is the version of the software that a backend server runs, empty if it is not
// known.
type Software string

// SoftwareRelation says whether two servers run the same software.
type SoftwareRelation string

// Relations of two software versions.
const (
	SoftwareSame    SoftwareRelation = "same"
	SoftwareOther   SoftwareRelation = "other"
	SoftwareUnknown SoftwareRelation = "unknown" // one of the versions is not known
)

// Relation returns the relation of s to another version.
func (s Software) Relation(other Software) SoftwareRelation {
	switch {
	case s == "" || other == "":
		return SoftwareUnknown
	case s == other:
		return SoftwareSame
	default:
		return SoftwareOther
	}
}

// Server is the published record of one backend server.
type Server struct {
	ID            string // usually new at each start of the server; see StartedUnixMS
	Service       string
	Address       string
	Zone          string
	Slots         int
	Leaving       bool
	StartedUnixMS int64 // start of the server in Unix milliseconds, 0 if not published; changes when the server restarts under the same id
	Models        map[string]Version
	Software      Software
	Spot          bool          // the platform may reclaim the server at short notice
	LeavesIn      time.Duration // announced time until a leaving server ends, 0 if not announced
}

// Start identifies one start of a backend server. A server that restarts under the same id has
// another address or another start time.
type Start struct {
	Server        string
	Address       string
	StartedUnixMS int64
}

// Key returns a text that is different for each start.
func (s Start) Key() string {
	return s.Server + "\x00" + s.Address + "\x00" + strconv.FormatInt(s.StartedUnixMS, 10)
}

// Start returns the start that the record describes.
func (s *Server) Start() Start { return Start{s.ID, s.Address, s.StartedUnixMS} }

// Change is a change of one record. Server is nil if the record was removed or does not
// describe a usable server; Reason then says which of the two.
type Change struct {
	ID         string
	RowVersion uint64
	Server     *Server
	Reason     string
}

// Reasons of a change without a server.
const (
	ReasonRemoved    = "removed"
	ReasonUnreadable = "unreadable"
)

// EngineReport is the state that a model engine reports on request.
type EngineReport struct {
	Models         map[string]Version // version of the loaded weights by model
	Busy           bool               // an order is being executed
	AcceptedOrders int                // number of orders accepted since the start
}

// Order tells an engine to load a version of a model's weights. Fence is the fencing token of
// the order lease of Holder. ExpectedOrders is the number of orders that the engine must have
// accepted before this one, so that a delayed order cannot undo a newer one.
type Order struct {
	Model          string
	Version        Version
	Holder         string
	Fence          uint64
	ExpectedOrders int
}

// Load is the load that a backend server reports together with a response: the numbers of
// running and waiting requests and of its slots, and how long work takes at the moment.
type Load struct {
	Running, Waiting, Slots int
	Slowdown                float64 // duration of work relative to usual, 0 if not stated
}
