package rollout

import (
	"slices"
	"strings"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// maxHistoryAge is the age of the known histories up to which this host answers from them.
	maxHistoryAge = 900 * time.Millisecond
	// newVersionDelay is the time for which no stream begins at servers of a version that this
	// host has just found recorded. Hosts that answer from the histories know it by then.
	newVersionDelay = maxHistoryAge + 100*time.Millisecond
	// maxHold bounds the time for which no stream begins at servers of a version that could not
	// be recorded, if the service has no others. The store is then unavailable to all hosts, and
	// none answers from the histories.
	maxHold = 3 * time.Second
	// maxVersions bounds the versions in a history, so that it fits in one row.
	maxVersions = 50
	// historyCheckInterval is the maximum time between two checks of the histories.
	historyCheckInterval = time.Second
	// historyRetryDelay is the wait after a write of a history before the next one.
	historyRetryDelay = 300 * time.Millisecond
	// minStreamTTL and maxStreamTTL bound the time after its first event for which a stream may
	// be resumed by its caller; streamTTLTimeouts is that time as a multiple of the timeout of
	// its route.
	minStreamTTL      = 10 * time.Second
	maxStreamTTL      = 60 * time.Second
	streamTTLTimeouts = 2
)

// resumableServices returns the services that have routes whose streams may be resumed, and
// the time after its first event for which such a stream may be.
func resumableServices(d *desired.State) (services []string, ttl time.Duration) {
	for _, route := range d.Routes {
		if route.Kind != desired.KindStream || !route.Resumable {
			continue
		}
		ttl = max(ttl, streamTTLTimeouts*route.Timeout)
		for _, s := range route.Services {
			if !slices.Contains(services, s.Service) {
				services = append(services, s.Service)
			}
		}
	}
	return services, min(maxStreamTTL, max(minStreamTTL, ttl))
}

func hasSeveralVersions(r *table.Rollout, service string) bool {
	h := r.SoftwareHistories.Find(service)
	return h != nil && len(h.Versions) > 1
}

// applyHistory applies the recorded versions of a service. Once there are several, the streams
// that this host forwarded before are recorded as well.
func applyHistory(now time.Duration, r *table.Rollout, row event.SoftwareHistoryRow, out *command.Outbox) {
	h := history(r, row.Service)
	if row.Version <= h.RowVersion {
		return
	}
	for _, v := range row.Versions {
		if !slices.Contains(h.Versions, v) {
			h.Since[v] = now
		}
	}
	if len(row.Versions) > 1 && len(h.Versions) <= 1 {
		r.StreamRecord.Changed = true
	}
	h.Versions, h.RowVersion, h.AvoidedUntil = row.Versions, row.Version, now+newVersionDelay
	r.PlanChanged = true
	out.Add(command.LogChange{Message: "software versions of service recorded", Fields: []command.Field{
		field("service", row.Service), field("versions", joinVersions(row.Versions)),
	}})
}

func history(r *table.Rollout, service string) *table.SoftwareHistory {
	h, created := r.SoftwareHistories.Upsert(service)
	if created {
		h.Since, h.ServedAt, h.KnownSince = make(map[registry.Software]time.Duration), make(map[registry.Software]time.Duration), make(map[registry.Software]time.Duration)
	}
	return h
}

func joinVersions(versions []registry.Software) string {
	texts := make([]string, len(versions))
	for i, v := range versions {
		texts[i] = string(v)
	}
	return strings.Join(texts, ",")
}

// avoidNewStreams reports whether a stream that its caller may resume begins at a server only if no
// other will do: hosts that answer from the histories might not know its version yet.
func avoidNewStreams(now time.Duration, r *table.Rollout, s *table.Server) bool {
	h := r.SoftwareHistories.Find(s.Service)
	if h == nil {
		return false
	}
	since, recorded := h.Since[s.Software]
	return !recorded || !slices.Contains(h.Versions, s.Software) || (len(h.Versions) > 1 && now < since+newVersionDelay)
}

// holdNewStreams reports whether no stream that its caller may resume begins at a server, also
// if there is no other: other hosts know an earlier version only and would continue the stream
// there.
func holdNewStreams(now time.Duration, r *table.Rollout, s *table.Server) bool {
	h := r.SoftwareHistories.Find(s.Service)
	if h == nil || len(h.Versions) == 0 || !avoidNewStreams(now, r, s) {
		return false
	}
	return slices.Contains(h.Versions, s.Software) || now < h.KnownSince[s.Software]+maxHold
}

// holdEnded reports whether the hold of a version ended between two times.
func holdEnded(h *table.SoftwareHistory, from, to time.Duration) bool {
	for _, since := range h.KnownSince {
		if end := since + maxHold; from < end && end <= to {
			return true
		}
	}
	return false
}

// updateHistories compares the histories with the versions of the servers and writes those that
// are to be changed.
func updateHistories(now time.Duration, r *table.Rollout, out *command.Outbox) {
	services, ttl := resumableServices(r.Desired)
	if len(services) == 0 {
		return
	}
	check := r.PlanChanged || now >= r.HistoriesCheckedAt+historyCheckInterval
	if check {
		recordServed(now, r, services, ttl)
		for _, service := range services {
			r.PlanChanged = r.PlanChanged || holdEnded(history(r, service), r.HistoriesCheckedAt, now)
		}
		r.HistoriesCheckedAt = now
		expireStreams(now, r, ttl)
	}
	for _, service := range services {
		h := history(r, service)
		if h.AvoidedUntil != 0 && now >= h.AvoidedUntil {
			h.AvoidedUntil, r.PlanChanged = 0, true
		}
		if h.AvoidedUntil != 0 {
			out.WakeAt(h.AvoidedUntil)
		}
		if check || h.ChangeSince != 0 {
			writeHistory(now, r, service, h, ttl, out)
		}
	}
}

// recordServed records which versions the servers of services have. A version that comes back
// after ttl counts as new.
func recordServed(now time.Duration, r *table.Rollout, services []string, ttl time.Duration) {
	for _, s := range r.Servers.All() {
		if s.Software == "" || !slices.Contains(services, s.Service) {
			continue
		}
		h := history(r, s.Service)
		if last, known := h.ServedAt[s.Software]; !known || now-last > ttl {
			h.KnownSince[s.Software] = now
		}
		h.ServedAt[s.Software] = now
	}
}

// wantedVersions returns the versions that the history of a service should list: those that a
// server has had within ttl, and those recorded by others that may have been served until this
// process read of them.
func wantedVersions(now time.Duration, h *table.SoftwareHistory, ttl time.Duration) []registry.Software {
	var wanted []registry.Software
	for v, at := range h.ServedAt {
		if now-at <= ttl {
			wanted = append(wanted, v)
		}
	}
	for _, v := range h.Versions {
		if now-h.Since[v] <= ttl && !slices.Contains(wanted, v) {
			wanted = append(wanted, v)
		}
	}
	slices.Sort(wanted)
	return wanted[:min(len(wanted), maxVersions)]
}

// writeHistory writes the history of a service if it is to be changed. The hosts do so in turn.
func writeHistory(now time.Duration, r *table.Rollout, service string, h *table.SoftwareHistory, ttl time.Duration, out *command.Outbox) {
	feed := r.Feeds.Find(feedCoordination)
	wanted := wantedVersions(now, h, ttl)
	if len(wanted) == 0 || slices.Equal(wanted, h.Versions) || feed == nil || feed.Down {
		h.ChangeSince = 0
		return
	}
	if h.ChangeSince == 0 {
		h.ChangeSince = now
	}
	if h.Writing {
		return // its outcome triggers a tick
	}
	due := max(h.NextWrite, h.ChangeSince+staggerDelay(r, service, handoverStaggerStep))
	if now < due {
		out.WakeAt(due)
		return
	}
	h.Writing = true
	out.Add(command.WriteSoftwareHistory{Service: service, Versions: wanted, Version: h.RowVersion})
	if len(wanted) == 1 && len(h.Versions) > 1 && !slices.ContainsFunc(historyServices(r), func(s string) bool { return s != service && hasSeveralVersions(r, s) }) {
		out.Add(command.PurgeStreamRecords{})
	}
}

func historyServices(r *table.Rollout) []string {
	var services []string
	for service := range r.SoftwareHistories.All() {
		services = append(services, service)
	}
	return services
}

func historyWritten(now time.Duration, r *table.Rollout, e event.SoftwareHistoryWritten, out *command.Outbox) {
	h := history(r, e.Service)
	h.Writing, h.NextWrite = false, now+historyRetryDelay
	if e.Failure != nil && e.Failure.Reason != verdict.ReasonConflict {
		out.Add(command.Count{Counter: "software_history_not_written", Tags: map[string]string{"reason": string(e.Failure.Reason)}, Delta: 1})
	}
}
