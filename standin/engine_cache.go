package standin

import (
	"container/list"
	"time"

	"github.com/lavenderstand/lavenderstand/engine"
)

const (
	maxCacheEvents     = 4096 // events kept for slow readers
	maxCacheEventsPage = 512  // events in one response
)

// timedEvent is a cache event with the time at which it occurred.
type timedEvent struct {
	engine.CacheEvent
	at time.Duration
}

// prefixCache is a cache of prompt prefix blocks that evicts the least recently
// used block.
type prefixCache struct {
	limit  int                      // blocks
	order  *list.List               // of uint64 block hashes, most recently used first
	blocks map[uint64]*list.Element // by block hash
	seq    uint64                   // sequence number of the newest event
	events []timedEvent
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// use returns the number of leading blocks that were cached and adds the
// others. Events for which lost returns true are dropped.
func (c *prefixCache) use(hashes []uint64, now time.Duration, lost func() bool) int {
	hit := 0
	for hit < len(hashes) && c.blocks[hashes[hit]] != nil {
		c.order.MoveToFront(c.blocks[hashes[hit]])
		hit++
	}
	for _, hash := range hashes[hit:] {
		c.add(hash, now, lost)
	}
	return hit
}

func (c *prefixCache) add(hash uint64, now time.Duration, lost func() bool) {
	if element := c.blocks[hash]; element != nil {
		c.order.MoveToFront(element)
		return
	}
	c.blocks[hash] = c.order.PushFront(hash)
	c.publish(hash, "add", now, lost)
	if c.order.Len() > c.limit {
		oldest := c.order.Back()
		evicted := c.order.Remove(oldest).(uint64)
		delete(c.blocks, evicted)
		c.publish(evicted, "evict", now, lost)
	}
}

func (c *prefixCache) publish(hash uint64, op string, now time.Duration, lost func() bool) {
	c.seq++
	if lost() {
		return
	}
	c.events = append(c.events, timedEvent{CacheEvent: engine.CacheEvent{Seq: c.seq, Hash: hash, Op: op}, at: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// page returns the events that follow a sequence number and occurred no later
// than until.
func (c *prefixCache) page(after uint64, until time.Duration) engine.CacheEvents {
	page := engine.CacheEvents{Events: []engine.CacheEvent{}, Next: after}
	for _, e := range c.events {
		if e.Seq <= after {
			continue
		}
		if e.at > until || len(page.Events) == maxCacheEventsPage {
			break
		}
		page.Events = append(page.Events, e.CacheEvent)
		page.Next = e.Seq
	}
	return page
}
