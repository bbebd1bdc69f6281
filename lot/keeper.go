package lot

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// maxCommitAttempts and commitPause bound how often one call repeats a commit whose
	// outcome is unknown. The repetition is safe: the conditions let one copy apply.
	maxCommitAttempts    = 4
	defaultRetryInterval = 40 * time.Millisecond
	// maxCreateAttempts leaves each place of a head two tries while parts of the store do not
	// answer: with a quarter of them away, one try in two reaches its parts.
	maxCreateAttempts = 2 * headPlaces
	// commitTimeout bounds one try, so that a silent channel is noticed while time for
	// another try is left. It has room for a direct call and one through another host.
	commitTimeout = 1100 * time.Millisecond
	// maxEndAttempts bounds the commits of an end that races with writes of the owner.
	maxEndAttempts = 12
)

// Repository stores lots. Its methods may be called by many goroutines.
type Repository struct {
	Store store.Client
	// Cache keeps what this host has listed or read, nil to keep nothing.
	Cache *ResultCache
	// RetryInterval is the wait between two tries of a commit, commitPause if it is 0.
	RetryInterval time.Duration
}

// StoredHead is a head as the store holds it.
type StoredHead struct {
	Head    Head
	Version uint64
}

// Create stores a submission and its head and returns the head as stored. If the lot
// exists, existing is its head and nothing is changed.
//
// A try whose outcome is unknown may apply seconds later, and a part of the store that
// does not answer may hold the lot already. A lot may therefore get a head in several
// places. The head that was created first counts, see Head.CreationVersion.
func (k *Repository) Create(ctx context.Context, s *Submission, h Head) (created StoredHead, existing *StoredHead, err error) {
	data := mustMarshal(s)
	h.InObjects = len(data) > MaxInlineBytes
	if h.InObjects {
		objects := bodyObjects(s, data)
		h.BodyRows = len(objects)
		for name, part := range objects {
			if err := k.Store.PutObject(ctx, name, part); err != nil {
				return StoredHead{}, nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonStoreUnavailable, "object %s", name)
			}
		}
	}
	return k.commit(ctx, h.ID, maxCreateAttempts, func(try int) (Head, store.Commit) {
		h.Place = placeForAttempt(try)
		h.BodyPart = partName(h.ID, 0, try)
		h.Segments = []Segment{{Part: h.BodyPart}}
		c := store.Commit{Conditions: noHeadConditions(h.ID, h.Place, try)}
		if !h.InObjects {
			c.Put = bodyRows(h.BodyPart, data)
			h.BodyRows = len(c.Put)
		}
		c.Put = append(c.Put, HeadRow(h))
		return h, c
	})
}

// placeForAttempt returns the place of a try. The first place is tried twice before others: its
// second try finds the head if only the answer of the first was lost.
func placeForAttempt(try int) int { return max(0, try-1) % headPlaces }

// noHeadConditions are the conditions of a creation. The first try finds a head in any place;
// later ones do without the other places, which may be in parts that do not answer.
func noHeadConditions(id string, place, try int) []store.Condition {
	if try > 0 {
		return []store.Condition{{Key: HeadKey(id, place)}}
	}
	var expect []store.Condition
	for p := range headPlaces {
		expect = append(expect, store.Condition{Key: HeadKey(id, p)})
	}
	return expect
}

// Append commits a head and results after those that are listed, and returns the head
// as stored. Version is that of the head's row; existing is another head that came
// before.
func (k *Repository) Append(ctx context.Context, h Head, version uint64, results []Result, progress []Progress) (StoredHead, *StoredHead, error) {
	segments := h.Segments
	from := h.Listed - len(results)
	h.CreatedVersion = h.CreationVersion(version)
	stored, existing, err := k.commit(ctx, h.ID, maxCommitAttempts, func(try int) (Head, store.Commit) {
		part, _ := segmentOf(segments, from)
		if try > 0 && len(results) > 0 {
			part = partName(h.ID, from, maxCreateAttempts+try)
			h.Segments = append(slices.Clone(segments), Segment{From: from, Part: part})
		}
		c := store.Commit{
			Conditions: []store.Condition{{Key: HeadKey(h.ID, h.Place), Version: version}},
			Put:        []store.Row{HeadRow(h)},
		}
		for i, r := range results {
			c.Put = append(c.Put, resultRows(part, from+i, r)...)
		}
		if try == 0 { // later tries must not depend on one more part of the store
			c.Put = append(c.Put, progressRows(h.BodyPart, progress)...)
		}
		return h, c
	})
	if err == nil && existing == nil && len(results) > 0 && k.Cache != nil {
		part, _ := segmentOf(stored.Head.Segments, from)
		k.Cache.add(part, from, results)
	}
	return stored, existing, err
}

func progressRows(part string, progress []Progress) []store.Row {
	var rows []store.Row
	for _, p := range progress {
		if row, ok := progressRow(part, p); ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// commit sends a commit until its outcome is known. build returns it for each try: a
// later try may use another part of the store, whose data then count only if that try
// takes effect. If the head in the store has the same WriteID, one of the tries did.
func (k *Repository) commit(ctx context.Context, id string, tries int, build func(try int) (Head, store.Commit)) (stored StoredHead, existing *StoredHead, err error) {
	unknown := false
	var parts []string
	for try := range tries {
		h, c := build(try)
		version, failure := k.tryCommit(ctx, c)
		var conflict *store.Conflict
		switch {
		case failure == nil:
			return StoredHead{Head: h, Version: version}, nil, nil
		case errors.As(failure, &conflict):
			return k.resolveConflict(conflict, h)
		}
		err = failure
		parts = append(parts, dataParts(c))
		unknown = unknown || verdict.Of(failure) != verdict.NotRun
		if !sleep(ctx, cmp.Or(k.RetryInterval, defaultRetryInterval)) {
			break
		}
	}
	v := verdict.NotRun
	if unknown {
		v = verdict.MayHaveRun
	}
	return StoredHead{}, nil, verdict.Wrap(err, v, verdict.ReasonStoreUnavailable, "commit of lot %s to parts %q", id, parts)
}

// dataParts lists the parts of a commit beside that of the head.
func dataParts(c store.Commit) string {
	var parts []string
	for _, r := range c.Put {
		if r.Table != TableCoordination && !slices.Contains(parts, r.Part) {
			parts = append(parts, r.Part)
		}
	}
	return strings.Join(parts, ",")
}

func (k *Repository) tryCommit(ctx context.Context, c store.Commit) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return k.Store.Commit(ctx, c)
}

func (k *Repository) resolveConflict(c *store.Conflict, h Head) (StoredHead, *StoredHead, error) {
	var first *StoredHead
	for place := range headPlaces {
		row := c.Find(HeadKey(h.ID, place))
		if row == nil || row.Version == 0 || row.Deleted {
			continue
		}
		current, ok := ParseHead(*row)
		if !ok {
			return StoredHead{}, nil, verdict.New(verdict.NotRun, verdict.ReasonInternal, "the head of lot %s cannot be read", h.ID)
		}
		stored := StoredHead{Head: current, Version: row.Version}
		if current.WriteID == h.WriteID {
			return stored, nil, nil
		}
		if first == nil || stored.CreationVersion() < first.CreationVersion() {
			first = &stored
		}
	}
	if first == nil {
		first = &StoredHead{}
	}
	return StoredHead{}, first, nil
}

// End ends a lot. It may be repeated. current is the head as far as it is known, zero
// if it is not; nonce must differ with each call.
func (k *Repository) End(ctx context.Context, id string, current StoredHead, nonce string) (StoredHead, error) {
	if current.Version == 0 {
		var err error
		if current, err = k.Head(ctx, id); err != nil {
			return StoredHead{}, err
		}
	}
	for range maxEndAttempts {
		if current.Head.Ended {
			return current, nil
		}
		h := current.Head
		h.Ended, h.WriteID = true, nonce
		stored, existing, err := k.Append(ctx, h, current.Version, nil, nil)
		if err != nil {
			return StoredHead{}, err
		}
		if existing == nil {
			return stored, nil
		}
		current = *existing
	}
	return StoredHead{}, verdict.New(verdict.MayHaveRun, verdict.ReasonConflict, "lot %s changes too often to be ended", id)
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
