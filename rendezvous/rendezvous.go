// Package rendezvous selects hosts that are responsible for a key by rendezvous hashing. Hosts
// that know the same hosts select the same one without an agreement, and the loss of a host
// moves only its keys.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns the hosts in the order in which they are responsible for a key. peers holds the
// other hosts by name.
func Order(key, self string, peers map[string]string) []string {
	ranked := make([]rankedHost, 0, len(peers)+1)
	ranked = append(ranked, newRankedHost(key, self))
	for host := range peers {
		ranked = append(ranked, newRankedHost(key, host))
	}
	slices.SortFunc(ranked, func(a, b rankedHost) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.host, b.host))
	})
	hosts := make([]string, len(ranked))
	for i, r := range ranked {
		hosts[i] = r.host
	}
	return hosts
}

// rankedHost is a host with its position in the order of a key.
type rankedHost struct {
	host string
	rank uint64
}

func newRankedHost(key, host string) rankedHost {
	return rankedHost{host, xxhash.Sum64String(key + "/" + host)}
}
