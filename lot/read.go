package lot

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// maxPageRows bounds the number of rows in one page of results or progress, which is held in
	// memory.
	maxPageRows = 128
	// maxReadAttempts and readTimeout bound each read of what a new owner loads. A call that
	// gets no answer is repeated on another connection. Each attempt has twice the time of the
	// one before: a large object may take seconds while all hosts load lots, since they share
	// the rate of the store.
	maxReadAttempts = 3
	readTimeout     = 2 * time.Second
)

// retryRead repeats a read that fails. What the store does not hold is not read again.
func (repo *Repository) retryRead(ctx context.Context, read func(context.Context) error) (err error) {
	for attempt := range maxReadAttempts {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout<<attempt)
		err = read(readCtx)
		cancel()
		if err == nil || errors.Is(err, store.ErrObjectNotFound) || !sleep(ctx, cmp.Or(repo.RetryInterval, defaultRetryInterval)) {
			return err
		}
	}
	return err
}

// Head reads the authoritative head of a lot. The error has the reason unknown_lot if no
// candidate partition holds a head. If one of them cannot be read, Head fails, because that
// partition may hold the authoritative head.
func (repo *Repository) Head(ctx context.Context, id string) (StoredHead, error) {
	heads := make([]StoredHead, headCandidates)
	errs := make([]error, headCandidates)
	var wg sync.WaitGroup
	for candidate := range headCandidates {
		wg.Go(func() { heads[candidate], errs[candidate] = repo.HeadAt(ctx, id, candidate) })
	}
	wg.Wait()
	var first StoredHead
	for candidate, h := range heads {
		if errs[candidate] != nil {
			return StoredHead{}, errs[candidate]
		}
		if h.Version != 0 && (first.Version == 0 || h.CreationVersion() < first.CreationVersion()) {
			first = h
		}
	}
	if first.Version == 0 {
		return StoredHead{}, verdict.New(verdict.NotRun, verdict.ReasonUnknownLot, "lot %q does not exist", id)
	}
	return first, nil
}

// HeadAt reads the head in the candidate partition with index candidate. It returns a zero
// StoredHead if there is none.
func (repo *Repository) HeadAt(ctx context.Context, id string, candidate int) (StoredHead, error) {
	key := HeadKey(id, candidate)
	r, err := repo.Store.Read(ctx, key.Table, key.Part, key.Name, 1)
	if err != nil || len(r.Rows) == 0 || r.Rows[0].Key != key {
		return StoredHead{}, err
	}
	h, ok := ParseHead(r.Rows[0])
	if !ok {
		return StoredHead{}, verdict.New(verdict.NotRun, verdict.ReasonInternal, "the stored head of lot %s cannot be decoded", id)
	}
	return StoredHead{Head: h, Version: r.Rows[0].Version}, nil
}

// Reader reads rows of a store. It is the subset of store.Client that reading results needs.
type Reader interface {
	Read(ctx context.Context, table, part, from string, limit int) (store.Range, error)
}

// Results returns a page of results that begins at position from, which the head must
// list. The page is never empty: a listed result that the store does not hold is an error.
func (repo *Repository) Results(ctx context.Context, h *Head, from int) ([]Result, error) {
	if repo.Cache != nil {
		part, end := segmentOf(h.Segments, from)
		if results := repo.Cache.page(part, from, min(end, h.Listed)); len(results) > 0 {
			return results, nil
		}
	}
	return repo.ReadResults(ctx, repo.Store, h, from)
}

// ReadResults is like Results but reads from s, a store or another host that caches the
// results.
func (repo *Repository) ReadResults(ctx context.Context, s Reader, h *Head, from int) ([]Result, error) {
	part, end := segmentOf(h.Segments, from)
	r, err := s.Read(ctx, tableResults, part, ResultRowName(from), maxPageRows)
	if err != nil {
		return nil, err
	}
	rows := r.Rows
	if last := ResultRowName(end); end != math.MaxInt {
		rows = slices.DeleteFunc(rows, func(row store.Row) bool { return row.Name >= last })
	}
	results, err := ParseResults(rows, from)
	if err != nil {
		return nil, err
	}
	results = results[:min(len(results), max(0, h.Listed-from))]
	if len(results) == 0 {
		return nil, fmt.Errorf("partition %q has no result at position %d of the %d that lot %s lists", part, from, h.Listed, h.ID)
	}
	if repo.Cache != nil {
		repo.Cache.add(part, from, results)
	}
	return results, nil
}

// ListedItems reads the ids of the items whose results a head lists, in the order of positions.
func (repo *Repository) ListedItems(ctx context.Context, h *Head) ([]string, error) {
	items := make([]string, 0, h.Listed)
	for len(items) < h.Listed {
		var page []Result
		err := repo.retryRead(ctx, func(ctx context.Context) (err error) {
			page, err = repo.Results(ctx, h, len(items))
			return err
		})
		if err != nil {
			return nil, err
		}
		for i := range page {
			items = append(items, page[i].Item)
		}
	}
	return items, nil
}

// Progress reads the stored progress of the unfinished items of a lot. Rows that cannot be
// decoded are left out.
func (repo *Repository) Progress(ctx context.Context, h *Head) ([]Progress, error) {
	var all []Progress
	for from := ""; ; {
		var page store.Range
		err := repo.retryRead(ctx, func(ctx context.Context) (err error) {
			page, err = repo.Store.Read(ctx, tableProgress, h.BodyPart, from, maxPageRows)
			return err
		})
		if err != nil {
			return nil, err
		}
		for _, row := range page.Rows {
			if p, ok := ParseProgress(row); ok {
				all = append(all, p)
			}
		}
		if len(page.Rows) < maxPageRows {
			return all, nil
		}
		from = page.Rows[len(page.Rows)-1].Name + "\x00"
	}
}
