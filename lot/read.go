package lot

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"

	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// maxPageRows bounds the rows of one page of results.
const maxPageRows = 400

// Head reads the head of a lot. Its error has the reason unknown_lot if there is none
// in any place; a place that cannot be read makes the answer uncertain, because it may
// hold the head that counts.
func (k *Repository) Head(ctx context.Context, id string) (StoredHead, error) {
	heads := make([]StoredHead, headPlaces)
	failures := make([]error, headPlaces)
	var wg sync.WaitGroup
	for place := range headPlaces {
		wg.Go(func() { heads[place], failures[place] = k.HeadAt(ctx, id, place) })
	}
	wg.Wait()
	var first StoredHead
	for place, h := range heads {
		if failures[place] != nil {
			return StoredHead{}, failures[place]
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

// HeadAt reads the head in one place, a zero StoredHead if there is none.
func (k *Repository) HeadAt(ctx context.Context, id string, place int) (StoredHead, error) {
	key := HeadKey(id, place)
	r, err := k.Store.Read(ctx, key.Table, key.Part, key.Name, 1)
	if err != nil || len(r.Rows) == 0 || r.Rows[0].Key != key {
		return StoredHead{}, err
	}
	h, ok := ParseHead(r.Rows[0])
	if !ok {
		return StoredHead{}, verdict.New(verdict.NotRun, verdict.ReasonInternal, "the head of lot %s cannot be read", id)
	}
	return StoredHead{Head: h, Version: r.Rows[0].Version}, nil
}

// Body reads the submission of a lot.
func (k *Repository) Body(ctx context.Context, h Head) (*Submission, error) {
	parts := make([][]byte, 0, h.BodyRows)
	if h.InObjects {
		for i := range h.BodyRows {
			data, err := k.Store.GetObject(ctx, ObjectName(h.ID, i))
			if err != nil {
				return nil, err
			}
			parts = append(parts, data)
		}
		return ParseBody(parts)
	}
	r, err := k.Store.Read(ctx, tableBodies, h.BodyPart, "", 0)
	if err != nil {
		return nil, err
	}
	if len(r.Rows) != h.BodyRows {
		return nil, fmt.Errorf("the submission of lot %s has %d rows instead of %d", h.ID, len(r.Rows), h.BodyRows)
	}
	for _, row := range r.Rows {
		parts = append(parts, row.Value)
	}
	return ParseBody(parts)
}

// Reader is the part of a store that results are read from.
type Reader interface {
	Read(ctx context.Context, table, part, from string, limit int) (store.Range, error)
}

// Results returns a page of results from a position on, which the head must list. The
// page is never empty: a store without the row does not hold what the head says.
func (k *Repository) Results(ctx context.Context, h *Head, from int) ([]Result, error) {
	if k.Cache != nil {
		part, end := segmentOf(h.Segments, from)
		if results := k.Cache.page(part, from, min(end, h.Listed)); len(results) > 0 {
			return results, nil
		}
	}
	return k.ReadResults(ctx, k.Store, h, from)
}

// ReadResults reads a page of results from a store or from a host that keeps them.
func (k *Repository) ReadResults(ctx context.Context, s Reader, h *Head, from int) ([]Result, error) {
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
		return nil, fmt.Errorf("part %q of the store holds no result at position %d of the %d that lot %s lists", part, from, h.Listed, h.ID)
	}
	if k.Cache != nil {
		k.Cache.add(part, from, results)
	}
	return results, nil
}

// Progress reads what is stored of the unfinished items of a lot.
func (k *Repository) Progress(ctx context.Context, h *Head) ([]Progress, error) {
	r, err := k.Store.Read(ctx, tableProgress, h.BodyPart, "", 0)
	if err != nil {
		return nil, err
	}
	var all []Progress
	for _, row := range r.Rows {
		if p, ok := ParseProgress(row); ok {
			all = append(all, p)
		}
	}
	return all, nil
}
