// Package registry holds what backend servers publish about themselves.
package registry

// Version is the number of a version of a model's weights. Numbers begin at 1.
type Version int

// Server is the published record of one backend server.
type Server struct {
	ID            string // unique per lifetime, except after a restart under the same id
	Service       string
	Address       string
	Zone          string
	Slots         int
	Leaving       bool
	StartedUnixMS int64 // start of the server in Unix milliseconds, 0 if it does not say
	Models        map[string]Version
}

// Change is a change of one record. Server is nil if the record was removed or
// does not describe a usable server; Reason says which.
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

// EngineReport is what a model engine says of itself when asked.
type EngineReport struct {
	Models         map[string]Version
	Busy           bool // an order is being carried out
	AcceptedOrders int  // number of orders accepted since the start
}

// Order tells an engine to take a version of a model's weights. ExpectedOrders is
// the number of orders that the engine must have accepted before this one, so
// that a delayed order cannot undo a newer one.
type Order struct {
	Model          string
	Version        Version
	Holder         string
	Fence          uint64
	ExpectedOrders int
}

// Load is what a backend server says about its load beside an answer.
type Load struct{ Running, Waiting, Slots int }
