package event

import "github.com/lavenderstand/lavenderstand/registry"

// ServersLeaving reports starts of backend servers that have said that they leave, in an answer
// to this host or, with FromHost, to another one.
type ServersLeaving struct {
	FromHost bool
	Starts   []registry.Start
}

// Name implements Event.
func (ServersLeaving) Name() string { return "servers_leaving" }

// LeavingRequested asks which servers said that they leave.
type LeavingRequested struct{ RequestID string }

// Name implements Event.
func (LeavingRequested) Name() string { return "leaving_requested" }
