package rollout

import (
	"slices"

	"github.com/lavenderstand/lavenderstand/table"
)

// minTransfer is the number of engines by which the numbers of two models must differ from
// their shares together before an engine goes from one to the other. An engine that changes
// its model is lost for 0.9 s, which a smaller difference does not make up for.
const minTransfer = 1.6

// enginesOf returns how many servers have the newest versions of each model of the quotas, in
// their order. It depends on published versions only, apart from ties.
func enginesOf(r *table.Rollout, servers []*table.Server, quotas []quota) []int {
	count := make([]int, len(quotas))
	for _, s := range servers {
		nearest := closestModel(r, s, quotas)
		for i := range quotas {
			if nearest == &quotas[i] {
				count[i]++
			}
		}
	}
	return count
}

// keepQuotas returns quotas that differ from the present numbers of engines only where that
// pays: engines without a model go to the models that are furthest below their share, and an
// engine changes its model if both models come clearly closer to their shares. At most one in
// enginesPerLoad of the engines changes at a time, because more loads slow each other down.
// Each model keeps an engine. quotas apply if there are fewer engines than models.
func keepQuotas(present []int, shares []float64, quotas []quota) []quota {
	total, have := 0, 0
	for i, q := range quotas {
		total += q.servers
		have += present[i]
	}
	if total < have || total < len(quotas) || slices.ContainsFunc(quotas, func(q quota) bool { return q.servers < 1 }) {
		return quotas
	}
	kept := make([]quota, len(quotas))
	missing := func(i int) float64 {
		if kept[i].servers == 0 {
			return float64(total) // comes before all others
		}
		return shares[i] - float64(kept[i].servers)
	}
	for i, q := range quotas {
		kept[i] = quota{q.model, present[i]}
	}
	neediest := func() int {
		best := 0
		for i := range kept {
			if missing(i) > missing(best) {
				best = i
			}
		}
		return best
	}
	for range total - have {
		kept[neediest()].servers++
	}
	for range max(1, total/enginesPerLoad) {
		to, from := neediest(), -1
		for i := range kept {
			if i != to && kept[i].servers > 1 && (from < 0 || missing(i) < missing(from)) {
				from = i
			}
		}
		if from < 0 || missing(to)-missing(from) < minTransfer {
			break
		}
		kept[from].servers--
		kept[to].servers++
	}
	return kept
}
