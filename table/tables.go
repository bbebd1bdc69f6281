package table

import "time"

// Tables is the control state of one process. An entry host uses the tables of routing,
// a controller those of background work; both use hosts, backends and configuration.
type Tables struct {
	Self     Self
	Config   Config
	HostList Poll
	Hosts    Table[Host]    // keyed by host row id
	Backends Table[Backend] // keyed by backend name
	Classes  Table[Class]   // keyed by class name

	NextScans   NextScans
	HostRowSync HostRowSync
	Changes     Table[ConfigChange] // keyed by request id
	Status      PublishedStatus

	Partitions Table[Partition] // keyed by PartitionKey
	Trainers   Table[Trainer]   // keyed by trainer name
	Groups     Table[Group]     // keyed by GroupKey
	Samples    Table[Sample]    // keyed by SampleKey
	Calls      Table[Call]      // keyed by request id
	Commits    Table[Commit]    // keyed by CommitKey
	Weights    Table[Weights]   // keyed by model name
	Controller ControllerState

	Rollout Rollout // state of hosts that serve on a platform with a shared store
	Duties  Duties  // calls to the platform's API
}

// NextScans holds the earliest times at which all backends are scanned again for due
// work.
type NextScans struct {
	Load, Departure, Ejection, Prefixes time.Duration
}

// New returns empty tables for the process described by self.
func New(self Self) *Tables { return &Tables{Self: self} }

// Poll is the state of a periodic read.
type Poll struct {
	Pending bool          // a read is under way
	Next    time.Duration // earliest time of the next read
}
