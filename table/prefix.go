package table

import (
	"time"

	"github.com/lavenderstand/lavenderstand/plan"
)

const (
	// MaxHints is the maximum number of prefix hints of one backend server. 1,024 blocks
	// of 64 bytes are about 16 prompts of 4 KiB.
	MaxHints = 1024
	// MinHints is the number of hints that every server may have, enough for one prompt
	// of 1 KiB.
	MinHints = 16
	// HintBudget is the number of hints of all servers together, unless MinHints for each
	// server is more. A hint takes about 93 bytes, so 5,100 servers with MaxHints each
	// would take 490 MB.
	HintBudget = 64 * MaxHints
)

// HintLimit returns the maximum number of hints of one server for a number of servers.
func HintLimit(servers int) int {
	return max(MinHints, min(HintBudget/max(servers, 1), MaxHints))
}

// PrefixHints is the set of prompt prefix hashes that an engine probably has in its
// prefix cache. When the set is full, the oldest hash is evicted.
type PrefixHints struct {
	seen  map[uint64]time.Duration // time at which the hash was last reported or sent
	order []hint                   // by time; entries whose hash was seen again later are stale
	limit int                      // maximum number of hints, 0 for MaxHints

	Changed bool          // the hashes have changed since Set was built
	BuiltAt time.Duration // when Set was built
	Set     *plan.PrefixSet
}

// hint is a hash with the time at which it was seen.
type hint struct {
	hash uint64
	at   time.Duration
}

// Len returns the number of hints.
func (h *PrefixHints) Len() int { return len(h.seen) }

// Add records that the hash was reported as cached or sent to the engine at the given
// time.
func (h *PrefixHints) Add(hash uint64, now time.Duration) {
	at, known := h.seen[hash]
	if known && at == now {
		return
	}
	if h.seen == nil {
		h.seen = make(map[uint64]time.Duration)
	}
	h.seen[hash] = now
	h.order = append(h.order, hint{hash, now})
	h.Changed = h.Changed || !known
	h.trim()
}

// SetLimit sets the maximum number of hints and evicts the oldest ones beyond it.
func (h *PrefixHints) SetLimit(limit int) {
	if h.limit != limit {
		h.limit = limit
		h.trim()
	}
}

// effectiveLimit returns the maximum number of hints.
func (h *PrefixHints) effectiveLimit() int {
	if h.limit == 0 {
		return MaxHints
	}
	return h.limit
}

// trim evicts the oldest hints beyond the limit.
func (h *PrefixHints) trim() {
	for len(h.seen) > h.effectiveLimit() {
		h.removeOldest()
	}
	if len(h.order) > 2*h.effectiveLimit() {
		h.compact()
	}
}

// Remove removes a hash.
func (h *PrefixHints) Remove(hash uint64) {
	if _, ok := h.seen[hash]; ok {
		delete(h.seen, hash)
		h.Changed = true
	}
}

// Clear removes all hashes.
func (h *PrefixHints) Clear() {
	h.Changed = h.Changed || len(h.seen) > 0
	h.seen, h.order = nil, nil
}

// Expire removes the hashes that were last seen before the given time.
func (h *PrefixHints) Expire(before time.Duration) {
	for len(h.order) > 0 && h.order[0].at < before {
		h.removeOldest()
	}
}

// Build sets Set to a copy of the current hashes.
func (h *PrefixHints) Build(now time.Duration) {
	set := &plan.PrefixSet{Hashes: make(map[uint64]struct{}, len(h.seen))}
	for hash := range h.seen {
		set.Hashes[hash] = struct{}{}
	}
	h.Set, h.BuiltAt, h.Changed = set, now, false
}

// removeOldest removes the first entry of order, and its hash unless the entry is stale.
func (h *PrefixHints) removeOldest() {
	oldest := h.order[0]
	h.order = h.order[1:]
	if at, ok := h.seen[oldest.hash]; ok && at == oldest.at {
		delete(h.seen, oldest.hash)
		h.Changed = true
	}
}

// compact removes the stale entries of order, whose hashes were seen again later or
// removed.
func (h *PrefixHints) compact() {
	kept := make([]hint, 0, len(h.seen))
	for _, entry := range h.order {
		if at, ok := h.seen[entry.hash]; ok && at == entry.at {
			kept = append(kept, entry)
		}
	}
	h.order = kept
}
