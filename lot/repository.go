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
	// maxCommitAttempts bounds the attempts of a commit that fails. Repeating a commit is
	// safe: its conditions let only one attempt take effect.
	maxCommitAttempts = 4
	// defaultRetryInterval is the wait between two attempts of a commit.
	defaultRetryInterval = 40 * time.Millisecond
	// maxCreateAttempts bounds the attempts to create a lot. It allows two attempts for
	// each candidate partition of the head while some partitions do not respond: with a
	// quarter of them unavailable, about half of the attempts reach their partitions.
	maxCreateAttempts = 2 * headCandidates
	// commitTimeout bounds one attempt, so that a connection that stopped responding is
	// noticed while there is time for another attempt. It allows for a direct call and one
	// through another host.
	commitTimeout = 1100 * time.Millisecond
	// maxEndAttempts bounds the commits of an End call that races with writes of the owner.
	maxEndAttempts = 12
)

// Repository stores lots. Its methods are safe for concurrent use.
type Repository struct {
	Store store.Client
	// Cache holds results that this host has listed or read. Nil disables caching.
	Cache *ResultCache
	// RetryInterval is the wait between two attempts of a commit. 0 means
	// defaultRetryInterval.
	RetryInterval time.Duration
}

// StoredHead is a stored head and the version of its row.
type StoredHead struct {
	Head    Head
	Version uint64
}

// Create stores a submission and its head and returns the head as stored. If Create finds
// that the lot exists, existing is its head and the head is not changed.
//
// An attempt whose outcome is unknown may be applied seconds later, and a partition that
// does not respond may already hold the lot. A lot may therefore get a head in several
// candidate partitions. The head that was created first is authoritative; see
// Head.CreationVersion.
func (repo *Repository) Create(ctx context.Context, s *Submission, h Head) (created StoredHead, existing *StoredHead, err error) {
	var data []byte
	if size := s.EncodedSize(); size <= MaxInlineBytes {
		data = mustMarshal(s)
	} else if h.BucketParts, err = repo.putBuckets(ctx, s, size); err != nil {
		return StoredHead{}, nil, err
	}
	h.InObjects = len(h.BucketParts) > 0
	return repo.commit(ctx, h.ID, maxCreateAttempts, func(attempt int) (Head, store.Commit) {
		h.CandidateIndex = candidateForAttempt(attempt)
		h.BodyPart = partName(h.ID, 0, attempt)
		h.Segments = []Segment{{Part: h.BodyPart}}
		c := store.Commit{Conditions: noHeadConditions(h.ID, h.CandidateIndex, attempt)}
		if !h.InObjects {
			c.Put = bodyRows(h.BodyPart, data)
			h.BodyChunks = len(c.Put)
		}
		c.Put = append(c.Put, HeadRow(h))
		return h, c
	})
}

// candidateForAttempt returns the index of the candidate partition that an attempt to create
// a lot uses for the head. The first one is used twice before the others: if only the response to the first attempt was
// lost, the second attempt finds the head.
func candidateForAttempt(attempt int) int { return max(0, attempt-1) % headCandidates }

// noHeadConditions returns the conditions of a creation: that no head exists. The first
// attempt checks all candidate partitions. Later attempts check only their own one, because
// the others may not respond.
func noHeadConditions(id string, candidate, attempt int) []store.Condition {
	if attempt > 0 {
		return []store.Condition{{Key: HeadKey(id, candidate)}}
	}
	var conditions []store.Condition
	for p := range headCandidates {
		conditions = append(conditions, store.Condition{Key: HeadKey(id, p)})
	}
	return conditions
}

// Append commits a changed head and the results that it adds to the list, and returns the
// head as stored. version is the expected row version of the current head. If another
// commit changed the head first, the second return value is the current head, zero if it
// was deleted.
func (repo *Repository) Append(ctx context.Context, h Head, version uint64, results []Result, progress []Progress) (StoredHead, *StoredHead, error) {
	segments := h.Segments
	from := h.Listed - len(results)
	h.CreatedVersion = h.CreationVersion(version)
	stored, existing, err := repo.commit(ctx, h.ID, maxCommitAttempts, func(attempt int) (Head, store.Commit) {
		part, _ := segmentOf(segments, from)
		if attempt > 0 && len(results) > 0 {
			part = partName(h.ID, from, maxCreateAttempts+attempt)
			h.Segments = append(slices.Clone(segments), Segment{From: from, Part: part})
		}
		c := store.Commit{
			Conditions: []store.Condition{{Key: HeadKey(h.ID, h.CandidateIndex), Version: version}},
			Put:        []store.Row{HeadRow(h)},
		}
		for i, r := range results {
			c.Put = append(c.Put, resultRows(part, from+i, r)...)
		}
		if attempt == 0 { // later attempts must not depend on an additional partition
			c.Put = append(c.Put, progressRows(h.BodyPart, progress)...)
		}
		return h, c
	})
	if err == nil && existing == nil && len(results) > 0 && repo.Cache != nil {
		part, _ := segmentOf(stored.Head.Segments, from)
		repo.Cache.add(part, from, results)
	}
	return stored, existing, err
}

// progressRows encodes the progress of items as rows. Items whose progress does not fit in
// one row are left out.
func progressRows(part string, progress []Progress) []store.Row {
	var rows []store.Row
	for _, p := range progress {
		if row, ok := progressRow(part, p); ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// commit repeats a commit until its outcome is known or maxAttempts are used up. build
// returns the commit of each attempt. A later attempt may write data to another partition;
// that data is referenced only if the attempt takes effect. If the stored head has the same
// WriteID, one of the attempts took effect.
func (repo *Repository) commit(ctx context.Context, id string, maxAttempts int, build func(attempt int) (Head, store.Commit)) (stored StoredHead, existing *StoredHead, err error) {
	mayHaveRun := false
	var parts []string
	for attempt := range maxAttempts {
		h, c := build(attempt)
		version, commitErr := repo.tryCommit(ctx, c)
		var conflict *store.Conflict
		switch {
		case commitErr == nil:
			return StoredHead{Head: h, Version: version}, nil, nil
		case errors.As(commitErr, &conflict):
			return repo.resolveConflict(conflict, h)
		}
		if verdict.ReasonOf(commitErr) == verdict.ReasonStoreRejected && attempt > 0 {
			// Earlier attempts held at least as much and were rejected as well.
			return StoredHead{}, nil, commitErr
		}
		err = commitErr
		parts = append(parts, dataParts(c))
		mayHaveRun = mayHaveRun || verdict.Of(commitErr) != verdict.NotRun
		if !sleep(ctx, cmp.Or(repo.RetryInterval, defaultRetryInterval)) {
			break
		}
	}
	v := verdict.NotRun
	if mayHaveRun {
		v = verdict.MayHaveRun
	}
	return StoredHead{}, nil, verdict.Wrap(err, v, verdict.ReasonStoreUnavailable, "commit of lot %s to partitions %q", id, parts)
}

// dataParts returns the partitions that a commit writes besides that of the head, separated
// by commas.
func dataParts(c store.Commit) string {
	var parts []string
	for _, r := range c.Put {
		if r.Table != TableCoordination && !slices.Contains(parts, r.Part) {
			parts = append(parts, r.Part)
		}
	}
	return strings.Join(parts, ",")
}

// tryCommit sends one attempt of a commit.
func (repo *Repository) tryCommit(ctx context.Context, c store.Commit) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return repo.Store.Commit(ctx, c)
}

// resolveConflict handles a commit of h whose conditions did not hold. It returns the
// stored head if an earlier attempt of the commit took effect, else the authoritative head
// among those that exist, which is zero if there is none.
func (repo *Repository) resolveConflict(c *store.Conflict, h Head) (StoredHead, *StoredHead, error) {
	var first *StoredHead
	for candidate := range headCandidates {
		row := c.Find(HeadKey(h.ID, candidate))
		if !exists(row) {
			continue
		}
		current, ok := ParseHead(*row)
		if !ok {
			return StoredHead{}, nil, verdict.New(verdict.NotRun, verdict.ReasonInternal, "the stored head of lot %s cannot be decoded", h.ID)
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

// End ends a lot. It is idempotent. current is the last known head, or zero if none is
// known. It does not end a lot that another organisation has created in its place. nonce becomes the WriteID of the head and must be unique to each call.
func (repo *Repository) End(ctx context.Context, id string, current StoredHead, nonce string) (StoredHead, error) {
	if current.Version == 0 {
		var err error
		if current, err = repo.Head(ctx, id); err != nil {
			return StoredHead{}, err
		}
	}
	for range maxEndAttempts {
		if current.Head.Ended {
			return current, nil
		}
		h := current.Head
		h.Ended, h.WriteID = true, nonce
		stored, existing, err := repo.Append(ctx, h, current.Version, nil, nil)
		if err != nil {
			return StoredHead{}, err
		}
		if existing == nil {
			return stored, nil
		}
		if o := existing.Head.Organisation; o != "" && o != current.Head.Organisation {
			return StoredHead{}, verdict.New(verdict.NotRun, verdict.ReasonUnknownLot, "lot %q was replaced by one of another organisation", id)
		}
		current = *existing
	}
	return StoredHead{}, verdict.New(verdict.MayHaveRun, verdict.ReasonConflict, "lot %s not ended: its head changed during every attempt", id)
}

// sleep waits for d. It returns false if ctx ends first.
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
