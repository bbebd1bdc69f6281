package lot

import (
	"context"
	"strconv"
	"sync"

	"github.com/lavenderstand/lavenderstand/store"
)

// maxCacheBytes bounds the texts that a host keeps in memory: some steps of three
// trainers, and a small part of the smallest host's 184 MB.
const maxCacheBytes = 12 << 20

// maxCachePageBytes bounds the texts of one page: a call between hosts holds 4 MB.
const maxCachePageBytes = 1 << 20

// ResultCache keeps listed results in memory. A position never changes once it is listed, so
// what is kept stays right while the store, or the part of it that holds the results, is
// away. It may be used by many goroutines.
type ResultCache struct {
	mu        sync.Mutex
	parts     map[string]map[int]Result // by part of the store and position
	partOrder []string                  // parts, the oldest first
	bytes     int
}

// add keeps results that are listed from a position on.
func (r *ResultCache) add(part string, from int, results []Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.parts == nil {
		r.parts = make(map[string]map[int]Result)
	}
	kept := r.parts[part]
	if kept == nil {
		kept = make(map[int]Result)
		r.parts[part] = kept
		r.partOrder = append(r.partOrder, part)
	}
	for i, res := range results {
		if _, ok := kept[from+i]; !ok {
			kept[from+i] = res
			r.bytes += len(res.Text)
		}
	}
	for r.bytes > maxCacheBytes && len(r.partOrder) > 1 {
		r.evictOldestPart()
	}
}

func (r *ResultCache) evictOldestPart() {
	for _, res := range r.parts[r.partOrder[0]] {
		r.bytes -= len(res.Text)
	}
	delete(r.parts, r.partOrder[0])
	r.partOrder = r.partOrder[1:]
}

// page returns the kept results of a part from a position on, up to the first that is
// not kept.
func (r *ResultCache) page(part string, from, end int) []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.parts[part]
	var results []Result
	bytes := 0
	for p := from; p < end && len(results) < maxPageRows && bytes < maxCachePageBytes; p++ {
		res, ok := kept[p]
		if !ok {
			break
		}
		bytes += len(res.Text)
		results = append(results, res)
	}
	return results
}

// CachingClient returns a client for other hosts that answers reads of kept results from memory.
func (r *ResultCache) CachingClient(c store.Client) store.Client { return &cachingStore{c, r} }

type cachingStore struct {
	store.Client
	cache *ResultCache
}

// Read implements store.Client.
func (s *cachingStore) Read(ctx context.Context, table, part, from string, limit int) (store.Range, error) {
	position, err := strconv.Atoi(from)
	if table != tableResults || err != nil {
		return s.Client.Read(ctx, table, part, from, limit)
	}
	var rows []store.Row
	for i, res := range s.cache.page(part, position, position+limit) {
		rows = append(rows, resultRows(part, position+i, res)...)
	}
	if len(rows) == 0 {
		return s.Client.Read(ctx, table, part, from, limit)
	}
	return store.Range{Rows: rows}, nil
}
