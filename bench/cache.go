package bench

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderstand/lavenderstand/engine"
)

// blockCache is an engine's prefix cache: a bounded number of prompt blocks, the
// least recently used one is evicted first.
type blockCache struct {
	byHash map[uint64]*list.Element
	recent *list.List // of uint64, newest in front
	events []engine.CacheEvent
	seq    uint64
}

func newBlockCache() *blockCache {
	return &blockCache{byHash: make(map[uint64]*list.Element), recent: list.New()}
}

// use returns the cached leading blocks and caches all of them.
func (c *blockCache) use(hashes []uint64) int {
	hit := 0
	for _, hash := range hashes {
		if c.byHash[hash] == nil {
			break
		}
		hit++
	}
	for i := len(hashes) - 1; i >= 0; i-- { // the shortest prefix ends in front
		if e := c.byHash[hashes[i]]; e != nil {
			c.recent.MoveToFront(e)
			continue
		}
		c.byHash[hashes[i]] = c.recent.PushFront(hashes[i])
		c.record(hashes[i], "add")
	}
	for c.recent.Len() > cacheBlocks {
		hash := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.byHash, hash)
		c.record(hash, "evict")
	}
	return hit
}

func (c *blockCache) record(hash uint64, op string) {
	c.seq++
	c.events = append(c.events, engine.CacheEvent{Seq: c.seq, Hash: hash, Op: op})
}

// after returns the events after a sequence number, up to a sequence number.
func (c *blockCache) after(seq, until uint64) []engine.CacheEvent {
	first := c.seq - uint64(len(c.events)) // sequence number before the first kept
	from, to := max(seq, first)-first, max(until, first)-first
	if from >= to {
		return nil
	}
	return c.events[from:to]
}

// promptHashes are the block hashes of a prompt whose first blocks are shared by
// all prompts of its source.
func promptHashes(source, prompt string) []uint64 {
	hashes := make([]uint64, promptBlocks)
	shared, own := xxhash.Sum64String(source), xxhash.Sum64String(source+"/"+prompt)
	for i := range hashes {
		if i < sharedBlocks {
			hashes[i] = shared + uint64(i)
		} else {
			hashes[i] = own + uint64(i)
		}
	}
	return hashes
}
