// Package readbudget divides the read rate of a shared store among the hosts that use it, so
// that the reads of a deployment stay within what the store serves, however many hosts it
// has.
package readbudget

import "time"

// Shares of the read rate of the store, from 0 to 1, for the feeds that every host follows.
// The rest is left for reads on behalf of trainers and for hosts that start and read tables
// in full.
const (
	CoordinationShare = 0.4
	ServersShare      = 0.15
	OperatorsShare    = 0.15
)

// MinInterval returns the minimum interval between two reads of one host at which all hosts
// together use at most the given share of perSecond, the read rate of the store. It returns
// 0 if the rate is not known.
func MinInterval(perSecond float64, hosts int, share float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(hosts) / (perSecond * share) * float64(time.Second))
}
