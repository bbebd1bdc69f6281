package lot

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// MaxInlineBytes bounds the encoded size of a submission that is stored in rows;
	// larger submissions are stored in objects. The store limits a commit to 1 MB, in which
	// values take a third more space than here.
	MaxInlineBytes = 600_000
	// maxObjectBytes bounds the size of one object. The store allows 8 MiB.
	maxObjectBytes = 8_000_000
	// bucketBytes is the mean size of a bucket of a submission. The request body of an item is
	// read with the whole bucket.
	bucketBytes = 500_000
	// concurrentObjects is the number of objects of a lot that are read or deleted at the same
	// time. The store takes a fixed time for each, which dominates for single buckets.
	concurrentObjects = 4
)

// bucket holds the items of a large submission whose ids have the same hash, so that one item
// can be read without the others. The first bucket also holds the submission without its items.
type bucket struct {
	Submission *Submission    `json:"submission,omitempty"`
	Items      []positionItem `json:"items"`
}

// positionItem is an item and its position in the submission.
type positionItem struct {
	Position int `json:"position"`
	Item
}

// bucketOf returns the index of the bucket of an item.
func bucketOf(item string, buckets int) int { return int(xxhash.Sum64String(item) % uint64(buckets)) }

// EncodedSize returns the approximate size of the encoded submission.
func (s *Submission) EncodedSize() int {
	const itemOverhead = 160 // names of fields and punctuation
	n := itemOverhead + EncodedLength(s.ID) + EncodedLength(s.Host) + EncodedLength(s.Path) + EncodedLength(s.Model)
	for i := range s.Items {
		item := &s.Items[i]
		n += itemOverhead + EncodedLength(item.ID) + EncodedLength(item.Path) + EncodedLength(item.Group) + base64Length(len(item.Body))
		for name, value := range item.Headers {
			n += EncodedLength(name) + EncodedLength(value) + 2
		}
		if item.Scorer != nil {
			n += itemOverhead + EncodedLength(item.Scorer.ID) + EncodedLength(item.Scorer.Host) + EncodedLength(item.Scorer.Path) + base64Length(len(item.Scorer.Body))
		}
	}
	return n
}

// putBuckets stores a submission in objects, one bucket after the other, and returns the
// number of objects of each bucket.
func (repo *Repository) putBuckets(ctx context.Context, s *Submission, size int) ([]int, error) {
	buckets := make([]bucket, size/bucketBytes+1)
	header := *s
	header.Items = nil
	buckets[0].Submission = &header
	for i := range s.Items {
		b := &buckets[bucketOf(s.Items[i].ID, len(buckets))]
		b.Items = append(b.Items, positionItem{i, s.Items[i]})
	}
	parts := make([]int, len(buckets))
	for i := range buckets {
		data := mustMarshal(buckets[i])
		for len(data) > 0 {
			n := min(len(data), maxObjectBytes)
			if err := repo.Store.PutObject(ctx, objectName(s.ID, i, parts[i]), data[:n]); err != nil {
				return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonStoreUnavailable, "put object %d of bucket %d of lot %s", parts[i], i, s.ID)
			}
			data = data[n:]
			parts[i]++
		}
	}
	return parts, nil
}

// objectName returns the name of an object of a bucket.
func objectName(id string, bucket, part int) string {
	return fmt.Sprintf("lot-%s-bucket-%d-%d", id, bucket, part)
}

// getBucket reads a bucket of a submission.
func (repo *Repository) getBucket(ctx context.Context, h *Head, index int) (*bucket, error) {
	var data []byte
	for part := range h.BucketParts[index] {
		object, err := repo.getObject(ctx, objectName(h.ID, index, part))
		if err != nil {
			return nil, err
		}
		if data == nil {
			data = object
		} else {
			data = append(data, object...)
		}
	}
	var b bucket
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, fmt.Errorf("decode bucket %d of lot %s: %w", index, h.ID, err)
	}
	return &b, nil
}

// getObject reads an object.
func (repo *Repository) getObject(ctx context.Context, name string) (data []byte, err error) {
	err = repo.retryRead(ctx, func(ctx context.Context) error {
		data, err = repo.Store.GetObject(ctx, name)
		return err
	})
	return data, err
}

// Body reads the submission of a lot. Its duration grows with the size of the submission, so a
// caller bounds it by the deadline of its own request, if any.
func (repo *Repository) Body(ctx context.Context, h Head) (*Submission, error) {
	switch {
	case len(h.BucketParts) > 0:
		return repo.bodyFromBuckets(ctx, &h)
	case h.InObjects:
		return repo.bodyFromObjects(ctx, &h)
	default:
		return repo.bodyFromRows(ctx, &h)
	}
}

func (repo *Repository) bodyFromBuckets(ctx context.Context, h *Head) (*Submission, error) {
	buckets := make([]*bucket, len(h.BucketParts))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(concurrentObjects)
	for i := range buckets {
		group.Go(func() (err error) {
			buckets[i], err = repo.getBucket(groupCtx, h, i)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	s, items, read := buckets[0].Submission, make([]Item, h.Total), 0
	for _, b := range buckets {
		for _, item := range b.Items {
			if item.Position < 0 || item.Position >= len(items) {
				return nil, fmt.Errorf("item %q of lot %s has position %d of %d", item.ID, h.ID, item.Position, len(items))
			}
			items[item.Position] = item.Item
			read++
		}
	}
	if s == nil || read != len(items) {
		return nil, fmt.Errorf("submission of lot %s: got %d items, want %d", h.ID, read, len(items))
	}
	s.Items = items
	return s, nil
}

// bodyFromObjects reads a submission that an earlier release stored.
func (repo *Repository) bodyFromObjects(ctx context.Context, h *Head) (*Submission, error) {
	var data []byte
	for i := range h.BodyChunks {
		object, err := repo.getObject(ctx, chunkObjectName(h.ID, i))
		if err != nil {
			return nil, err
		}
		data = append(data, object...)
	}
	return parseBody(data)
}

// chunkObjectName returns the name of the i-th object of a submission that an earlier release
// stored.
func chunkObjectName(id string, i int) string { return fmt.Sprintf("lot-%s-%d", id, i) }

func (repo *Repository) bodyFromRows(ctx context.Context, h *Head) (*Submission, error) {
	var r store.Range
	err := repo.retryRead(ctx, func(ctx context.Context) (err error) {
		r, err = repo.Store.Read(ctx, tableBodies, h.BodyPart, "", 0)
		return err
	})
	if err != nil {
		return nil, err
	}
	if len(r.Rows) != h.BodyChunks {
		return nil, fmt.Errorf("submission of lot %s: got %d rows, want %d", h.ID, len(r.Rows), h.BodyChunks)
	}
	var data []byte
	for _, row := range r.Rows {
		data = append(data, row.Value...)
	}
	return parseBody(data)
}

func parseBody(data []byte) (*Submission, error) {
	var s Submission
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("decode submission: %w", err)
	}
	return &s, nil
}

// ItemBody reads the request body of an item. It reads no more than one bucket of a large
// submission. The error has the reason unknown_lot if the lot has no such item.
func (repo *Repository) ItemBody(ctx context.Context, h *Head, item string) ([]byte, error) {
	if len(h.BucketParts) > 0 {
		b, err := repo.getBucket(ctx, h, bucketOf(item, len(h.BucketParts)))
		if err != nil {
			return nil, err
		}
		for i := range b.Items {
			if b.Items[i].ID == item {
				return b.Items[i].Body, nil
			}
		}
		return nil, unknownItem(h.ID, item)
	}
	s, err := repo.Body(ctx, *h)
	if err != nil {
		return nil, err
	}
	for i := range s.Items {
		if s.Items[i].ID == item {
			return s.Items[i].Body, nil
		}
	}
	return nil, unknownItem(h.ID, item)
}

func unknownItem(id, item string) error {
	return verdict.New(verdict.NotRun, verdict.ReasonUnknownLot, "lot %q has no item %q", id, item)
}

// ItemReadBytes returns the approximate number of bytes that a read of one item takes.
func (h *Head) ItemReadBytes() int64 {
	switch {
	case len(h.BucketParts) > 0:
		return bucketBytes
	case h.InObjects:
		return int64(h.BodyChunks) * maxObjectBytes
	default:
		return int64(h.BodyChunks) * maxChunkBytes
	}
}

// ObjectCount returns the number of objects in which the submission is stored.
func (h *Head) ObjectCount() int { return len(h.objectNames()) }

// objectNames returns the names of the objects in which the submission is stored.
func (h *Head) objectNames() []string {
	var names []string
	for i, parts := range h.BucketParts {
		for part := range parts {
			names = append(names, objectName(h.ID, i, part))
		}
	}
	if h.InObjects && len(h.BucketParts) == 0 {
		for i := range h.BodyChunks {
			names = append(names, chunkObjectName(h.ID, i))
		}
	}
	return names
}

// deleteObjects deletes the objects of a submission. All heads of a lot share them.
func (repo *Repository) deleteObjects(ctx context.Context, h *Head) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(concurrentObjects)
	for _, name := range h.objectNames() {
		group.Go(func() error {
			if err := repo.Store.DeleteObject(ctx, name); err != nil && !errors.Is(err, store.ErrObjectNotFound) {
				return err
			}
			return nil
		})
	}
	return group.Wait()
}
