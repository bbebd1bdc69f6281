package settings

import (
	"reflect"
	"time"
)

// Deployment is what a platform tells a host process about itself. It comes from
// the platform's own settings file, which an adapter decodes.
type Deployment struct {
	Host       string
	Zone       string
	IP         string
	Front      string // address for callers, IP number and port
	Ready      string // address of the readiness check
	PeerPorts  [2]int // first and last port between own processes
	Store      string // address of the store
	MilliCores int    // processor share in thousandths of a core
	FirstStart bool
	StoreReads float64 // reading calls per second that the store serves to all hosts, 0 if unknown
	Bounds     Bounds
}

// Bounds are the times that the deployment promises to its users.
type Bounds struct {
	GracePeriod     time.Duration // from the signal of a planned stop to the kill
	LeaseTTL        time.Duration // smallest time between orders of two holders
	ResultRetention time.Duration // from a submission on, for which its results can be read
}

// Changes names the fields in which two deployments differ, in the order of the type.
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
