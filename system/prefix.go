package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
)

// Limits of prefix hints.
const (
	minCachePollInterval = time.Second
	// maxCachePollInterval bounds the poll interval, which grows with the number of
	// engines. Cache events are only hints and arrive late anyway.
	maxCachePollInterval = 10 * time.Second
	// maxHintAge is the time after which a hint that was not seen again expires.
	maxHintAge = 5 * time.Minute
	// hintBuildInterval is the minimum time between rebuilds of an engine's
	// immutable set, and maxHintBuildsPerTick the maximum number of rebuilds per
	// tick. They bound the cost to 16 sets of 1,024 hashes per tick.
	hintBuildInterval    = 2 * time.Second
	maxHintBuildsPerTick = 16
)

// cacheOpAdd is the operation of a cache event that reports an added prefix.
const cacheOpAdd = "add"

// Prefixes maintains hints about the prompt prefixes that engines have cached. The
// hints come from the engines' cache events and from this host's own requests.
// The events arrive late and with gaps. A gap may hide an eviction, so all hints
// of the engine are then dropped.
func Prefixes() System {
	return func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
		for _, e := range in {
			switch e := e.(type) {
			case event.PrefixSent:
				if b := t.Backends.Find(e.Backend); b != nil {
					for _, hash := range e.Hashes {
						b.Hints.Add(hash, now)
					}
				}
			case event.CacheReported:
				applyCacheEvents(now, t, e, out)
			}
		}
		if !scanDue(now, &t.NextScans.Prefixes, t.Backends.Len(), out) {
			return
		}
		interval := pollInterval(minCachePollInterval, maxCachePollInterval, t.Backends.Len())
		limit, builds := table.HintLimit(t.Backends.Len()), 0
		for _, b := range t.Backends.All() {
			if b.Kind == table.KindEngine {
				b.Hints.SetLimit(limit)
				pollCache(now, interval, b, out)
				builds += rebuildHints(now, b, builds)
			}
		}
	}
}

func applyCacheEvents(now time.Duration, t *table.Tables, report event.CacheReported, out *command.Outbox) {
	b := t.Backends.Find(report.Backend)
	if b == nil {
		return
	}
	b.CachePending = false
	if report.Failure != nil {
		return
	}
	for _, c := range report.Events.Events {
		if c.Seq <= b.CacheAfter {
			continue // already applied from an earlier page
		}
		if b.CacheAfter > 0 && c.Seq != b.CacheAfter+1 {
			b.Hints.Clear()
			out.Add(command.Count{Counter: "cache_event_gaps", Delta: 1})
		}
		b.CacheAfter = c.Seq
		if c.Op == cacheOpAdd {
			b.Hints.Add(c.Hash, now)
		} else {
			b.Hints.Remove(c.Hash)
		}
	}
}

func pollCache(now, interval time.Duration, b *table.Backend, out *command.Outbox) {
	if b.CacheNext == 0 {
		b.CacheNext = now + pollOffset(b.Name, interval)
	}
	if now >= b.CacheNext && !b.CachePending {
		b.CachePending, b.CacheNext = true, now+interval
		out.Add(command.ReadCacheEvents{Backend: b.Name, Address: b.Address, After: b.CacheAfter})
	}
	if !b.CachePending {
		out.WakeAt(b.CacheNext)
	}
}

// rebuildHints removes expired hints and rebuilds the backend's set if it is due.
// It returns the number of sets that it built, 0 or 1.
func rebuildHints(now time.Duration, b *table.Backend, builds int) int {
	if now > maxHintAge {
		b.Hints.Expire(now - maxHintAge)
	}
	if builds >= maxHintBuildsPerTick || !b.Hints.Changed || b.Hints.Set != nil && now < b.Hints.BuiltAt+hintBuildInterval {
		return 0
	}
	b.Hints.Build(now)
	return 1
}
