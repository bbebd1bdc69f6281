package bench

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderstand/lavenderstand/engine"
)

// blockCache models the prefix cache of an engine. It holds up to cacheBlocks prompt
// blocks and evicts the least recently used one first.
type blockCache struct {
	byHash map[uint64]*list.Element
	recent *list.List // of uint64 block hashes, most recently used first
	events []engine.CacheEvent
	seq    uint64 // sequence number of the newest event
}

func newBlockCache() *blockCache {
	return &blockCache{byHash: make(map[uint64]*list.Element), recent: list.New()}
}

// use returns the number of leading blocks that were cached and adds the others.
func (c *blockCache) use(hashes []uint64) int {
	hit := 0
	for _, hash := range hashes {
		if c.byHash[hash] == nil {
			break
		}
		hit++
	}
	for i := len(hashes) - 1; i >= 0; i-- { // in reverse, so that the first block is evicted last
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

// after returns the events with sequence numbers greater than seq and up to until.
func (c *blockCache) after(seq, until uint64) []engine.CacheEvent {
	first := c.seq - uint64(len(c.events)) // sequence number before that of the first event
	from, to := max(seq, first)-first, max(until, first)-first
	if from >= to {
		return nil
	}
	return c.events[from:to]
}

// promptHashes returns the block hashes of a prompt. All prompts of a source share
// the first sharedBlocks blocks.
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
