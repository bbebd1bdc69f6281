package settings

import (
	"reflect"
	"time"
)

// Deployment holds the settings that a platform gives to a host process. An adapter reads
// them from the platform's own settings file.
type Deployment struct {
	Host       string
	Zone       string
	IP         string
	Front      string // address for callers: IP address and port
	Ready      string // address of the readiness check
	PeerPorts  [2]int // first and last of the ports for calls between hosts
	Store      string // address of the store
	MilliCores int    // processor share in thousandths of a core
	MemoryMB   int    // memory limit of the process in MB; 0 if unknown
	// Descriptors is the number of files and connections that the process may open; 0 if unknown.
	Descriptors int
	FirstStart  bool
	StoreReads  float64 // reads per second that the store serves to all hosts together; 0 if unknown
	Duties      Duties
	Bounds      Bounds
}

// Duties states which calls to the platform's API one host at a time must make.
type Duties struct {
	Address        string  // of the API; empty if the platform has none
	Usage          bool    // usage must be reported
	Scaling        bool    // servers may be ordered
	CallsPerSecond float64 // that the API accepts from all hosts together; 0 if unknown
	ChecksFence    bool    // the API refuses calls with an old fencing token
}

// Bounds holds the times that the deployment guarantees to its users.
type Bounds struct {
	GracePeriod        time.Duration // from the signal of a graceful shutdown until the process is killed
	OrderHandoverDelay time.Duration // minimum time between orders of two different holders of the order lease
	BackendDrainPeriod time.Duration // time for which a backend server that leaves still serves
	ResultRetention    time.Duration // time after a submission during which its results can be read
	Configuration      time.Duration // time after the acknowledgement of a desired state by which hosts follow it
	UsageWindow        time.Duration // length of a usage window, 0 if usage is not reported
	UsageDue           time.Duration // time after the end of a window by which its report is due
}

// Changes returns the names of the fields in which d and other differ, in the order of
// their declaration.
func (d Deployment) Changes(other Deployment) []string {
	var names []string
	a, b := reflect.ValueOf(d), reflect.ValueOf(other)
	for i := range a.NumField() {
		if !a.Field(i).Equal(b.Field(i)) {
			names = append(names, a.Type().Field(i).Name)
		}
	}
	return names
}
