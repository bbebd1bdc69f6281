package lot

import (
	"context"
	"strconv"
	"sync"

	"github.com/lavenderstand/lavenderstand/store"
)

// maxCacheBytes bounds the result texts that a host caches. It is enough for a few steps of
// three trainers and is a small share of the 184 MB of memory of the smallest host.
const maxCacheBytes = 12 << 20

// maxCachePageBytes bounds the result texts in one page. A call between hosts is limited
// to 4 MB.
const maxCachePageBytes = 1 << 20

// ResultCache caches listed results in memory. The result at a position never changes once
// it is listed, so cached results stay valid while the store, or the partition that holds
// the results, is unavailable. A ResultCache is safe for concurrent use.
type ResultCache struct {
	mu        sync.Mutex
	parts     map[string]map[int]Result // by partition and position
	partOrder []string                  // partitions, oldest first
	bytes     int                       // total size of the cached texts
}

// add caches results that are listed from position from on. It evicts the oldest
// partitions if the cache is too large.
func (r *ResultCache) add(part string, from int, results []Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.parts == nil {
		r.parts = make(map[string]map[int]Result)
	}
	cached := r.parts[part]
	if cached == nil {
		cached = make(map[int]Result)
		r.parts[part] = cached
		r.partOrder = append(r.partOrder, part)
	}
	for i, res := range results {
		if _, ok := cached[from+i]; !ok {
			cached[from+i] = res
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

// page returns the cached results of a partition from position from up to end, a missing
// position or the size limits of a page.
func (r *ResultCache) page(part string, from, end int) []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	cached := r.parts[part]
	var results []Result
	bytes := 0
	for p := from; p < end && len(results) < maxPageRows && bytes < maxCachePageBytes; p++ {
		res, ok := cached[p]
		if !ok {
			break
		}
		bytes += len(res.Text)
		results = append(results, res)
	}
	return results
}

// CachingClient returns a client that serves reads of cached results from memory and passes
// all other calls to c. Hosts use it to serve the calls of other hosts.
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
