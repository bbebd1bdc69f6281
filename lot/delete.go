package lot

import (
	"context"
	"errors"

	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// maxDeleteRows bounds the number of rows that one commit deletes. The store allows 100.
const maxDeleteRows = 90

// Delete deletes the lot whose authoritative head is s, with the heads that creations which
// were applied late left in other candidate partitions. It deletes the authoritative head
// last: without it, another head would become authoritative, and an interrupted deletion
// could not be repeated. The deletion fails if the version of the head is no longer
// s.Version, unless the head is already deleted.
func (repo *Repository) Delete(ctx context.Context, s StoredHead) error {
	superseded, err := repo.supersededHeads(ctx, s)
	if err != nil {
		return err
	}
	for _, other := range superseded {
		if err := repo.deleteRows(ctx, other); err != nil {
			return err
		}
	}
	if err := repo.deleteObjects(ctx, &s.Head); err != nil {
		return err
	}
	return repo.deleteRows(ctx, s)
}

// supersededHeads returns the heads of the lot in the other candidate partitions. The error
// is a conflict if one of them was created before s.
func (repo *Repository) supersededHeads(ctx context.Context, s StoredHead) ([]StoredHead, error) {
	var superseded []StoredHead
	for candidate := range headCandidates {
		if candidate == s.Head.CandidateIndex {
			continue
		}
		other, err := repo.HeadAt(ctx, s.Head.ID, candidate)
		switch {
		case err != nil:
			return nil, err
		case other.Version == 0:
			continue
		case other.CreationVersion() < s.CreationVersion():
			return nil, verdict.New(verdict.NotRun, verdict.ReasonConflict, "the head of lot %s in candidate partition %d was created first", s.Head.ID, candidate)
		}
		superseded = append(superseded, other)
	}
	return superseded, nil
}

// deleteRows deletes the rows that a head references and then the head.
func (repo *Repository) deleteRows(ctx context.Context, s StoredHead) error {
	h := &s.Head
	parts := map[string][]string{tableBodies: {h.BodyPart}, tableProgress: {h.BodyPart}}
	for _, segment := range h.Segments {
		parts[tableResults] = append(parts[tableResults], segment.Part)
	}
	for table, names := range parts {
		for _, part := range names {
			if err := repo.deletePart(ctx, table, part); err != nil {
				return err
			}
		}
	}
	head := HeadKey(h.ID, h.CandidateIndex)
	_, err := repo.Store.Commit(ctx, store.Commit{
		Conditions: []store.Condition{{Key: head, Version: s.Version}}, Delete: []store.Key{head},
	})
	var conflict *store.Conflict
	if errors.As(err, &conflict) && !exists(conflict.Find(head)) {
		return nil // an earlier deletion took effect
	}
	return err
}

// exists reports whether a row that a conflict names exists.
func exists(r *store.Row) bool { return r != nil && r.Version != 0 && !r.Deleted }

// deletePart deletes all rows of a partition that belongs to a single lot.
func (repo *Repository) deletePart(ctx context.Context, table, part string) error {
	for {
		r, err := repo.Store.Read(ctx, table, part, "", maxDeleteRows)
		if err != nil || len(r.Rows) == 0 {
			return err
		}
		var c store.Commit
		for _, row := range r.Rows {
			c.Delete = append(c.Delete, row.Key)
		}
		if _, err := repo.Store.Commit(ctx, c); err != nil {
			return err
		}
	}
}
