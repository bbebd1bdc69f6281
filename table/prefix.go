package table

import (
	"time"

	"github.com/lavenderstand/lavenderstand/plan"
)

const (
	// MaxHints bounds the prefix hints of one backend server; 1,024 blocks of 64
	// bytes are about 16 prompts of 4 KiB.
	MaxHints = 1024
	// MinHints is the least bound of one server: one prompt of 1 KiB.
	MinHints = 16
	// HintBudget bounds the hints of all servers above MinHints each. A hint takes
	// about 93 bytes, so 5,100 servers at MaxHints would take 490 MB.
	HintBudget = 64 * MaxHints
)

// HintLimit returns the bound of one server's hints among a number of servers.
func HintLimit(servers int) int {
	return max(MinHints, min(HintBudget/max(servers, 1), MaxHints))
}

// PrefixHints is what is believed about the prefix cache of one engine. When it
// is full, the oldest entry is forgotten.
type PrefixHints struct {
	seen  map[uint64]time.Duration // when the hash was last reported or sent
	order []hint                   // by time; entries that were seen again are skipped
	limit int                      // 0 is MaxHints

	Changed bool          // since Built
	BuiltAt time.Duration // when Set was built
	Set     *plan.PrefixSet
}

type hint struct {
	hash uint64
	at   time.Duration
}

// Len returns the number of hints.
func (h *PrefixHints) Len() int { return len(h.seen) }

// Add notes that the hash was seen in the cache or sent at the given time.
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

// SetLimit bounds the number of hints.
func (h *PrefixHints) SetLimit(limit int) {
	if h.limit != limit {
		h.limit = limit
		h.trim()
	}
}

func (h *PrefixHints) bound() int {
	if h.limit == 0 {
		return MaxHints
	}
	return h.limit
}

// trim forgets the oldest hints beyond the bound.
func (h *PrefixHints) trim() {
	for len(h.seen) > h.bound() {
		h.forgetOldest()
	}
	if len(h.order) > 2*h.bound() {
		h.compact()
	}
}

// Remove forgets a hash.
func (h *PrefixHints) Remove(hash uint64) {
	if _, ok := h.seen[hash]; ok {
		delete(h.seen, hash)
		h.Changed = true
	}
}

// Clear forgets everything.
func (h *PrefixHints) Clear() {
	h.Changed = h.Changed || len(h.seen) > 0
	h.seen, h.order = nil, nil
}

// Expire forgets the hashes that were last seen before the given time.
func (h *PrefixHints) Expire(before time.Duration) {
	for len(h.order) > 0 && h.order[0].at < before {
		h.forgetOldest()
	}
}

// Build replaces Set by the current hashes.
func (h *PrefixHints) Build(now time.Duration) {
	set := &plan.PrefixSet{Hashes: make(map[uint64]struct{}, len(h.seen))}
	for hash := range h.seen {
		set.Hashes[hash] = struct{}{}
	}
	h.Set, h.BuiltAt, h.Changed = set, now, false
}

func (h *PrefixHints) forgetOldest() {
	oldest := h.order[0]
	h.order = h.order[1:]
	if at, ok := h.seen[oldest.hash]; ok && at == oldest.at {
		delete(h.seen, oldest.hash)
		h.Changed = true
	}
}

// compact drops the order entries of hashes that were seen again later.
func (h *PrefixHints) compact() {
	kept := make([]hint, 0, len(h.seen))
	for _, entry := range h.order {
		if at, ok := h.seen[entry.hash]; ok && at == entry.at {
			kept = append(kept, entry)
		}
	}
	h.order = kept
}
