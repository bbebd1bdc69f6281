package table

import (
	"time"

	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/scaling"
)

// Scaling is the state of ordering servers from the platform.
type Scaling struct {
	Services   Table[ScaledService] // keyed by service
	ObservedAt time.Duration        // when the demand was last observed
	Orders     Table[scaling.Order] // keyed by scaling.Key; of the holder of the order lease
	Fence      uint64               // of the lease under which Orders were read, 0 if they were not
	Read       bool                 // the stored orders are known
	Reading    bool
	NextRead   time.Duration
	Failures   int           // consecutive failures of the read
	CheckedAt  time.Duration // when orders were last considered
	Calls      int           // orders under way
}

// ScaledService is the demand for a service whose servers may be ordered.
type ScaledService struct {
	Demand scaling.Demand
	Level  scaling.Level
	Named  map[string]NamedVersions // by model
	Open   float64                  // open items at the last observation
	Slots  int                      // of a server, the median; 0 if none has been seen
	// Short is set while the servers that can be ordered do not suffice.
	Short bool
}

// NamedVersions is the rate at which a trainer names versions of its model.
type NamedVersions struct {
	Version  registry.Version
	At       time.Duration
	Interval time.Duration // mean time between two versions, 0 if unknown
}
