package lot

import (
	"context"

	"github.com/lavenderstand/lavenderstand/store"
)

// maxDeleteRows bounds the number of rows that one commit deletes. The store allows 100.
const maxDeleteRows = 90

// Delete deletes a lot. It deletes the head last, so that an interrupted deletion can be
// repeated. The deletion of the head fails if its version is no longer s.Version.
func (repo *Repository) Delete(ctx context.Context, s StoredHead) error {
	h := &s.Head
	if h.InObjects {
		for i := range h.BodyChunks {
			if err := repo.Store.DeleteObject(ctx, ObjectName(h.ID, i)); err != nil {
				return err
			}
		}
	}
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
	return err
}

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
