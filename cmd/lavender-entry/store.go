package main

import (
	"math/rand/v2"
	"time"

	"github.com/lavenderstand/lavenderstand/claim"
	"github.com/lavenderstand/lavenderstand/handler"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/traffic"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// newClaims returns the store of claims for non-idempotent requests.
func (e *entry) newClaims() traffic.Claimer {
	return traffic.StoreClaimer{Store: &claim.Store{
		Tables: e.Tables, ProcessID: e.Self.ID, NewOpID: e.NewOpID, Now: time.Now, Resolve: e.resolve("claim"),
	}}
}

// resolve returns the options for retries of calls to the table service. Retries are
// counted with the given command as a tag.
func (e *entry) resolve(command string) tablestore.ResolveOptions {
	return tablestore.ResolveOptions{Random: rand.Float64, Count: func(reason verdict.Reason) {
		e.Count(handler.CounterRetries, map[string]string{"command": command, "reason": string(reason)})
	}}
}
