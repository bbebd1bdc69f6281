// Package readbudget divides the rate of a shared store among the hosts that use it, so that
// the calls of a deployment do not grow with its hosts beyond what the store serves.
package readbudget

import "time"

// Shares of the store's reads for the feeds that every host follows. The rest is left to
// reads for trainers and to hosts that start and read tables in full.
const (
	CoordinationShare = 0.4
	ServersShare      = 0.15
	OperatorsShare    = 0.15
)

// MinInterval returns the smallest time between two reads of each host, so that all hosts
// together use a share of the store's rate. It is 0 if the rate is not known.
func MinInterval(perSecond float64, hosts int, share float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(hosts) / (perSecond * share) * float64(time.Second))
}
