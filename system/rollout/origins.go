package rollout

import (
	"slices"
	"strings"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/origin"
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
	// maxVersions bounds the versions in a history, so that it fits in one row.
	maxVersions = 50
	// historyCheckInterval is the maximum time between two checks of the histories.
	historyCheckInterval = time.Second
	// historyRetryDelay is the wait after a write of a history before the next one.
	historyRetryDelay = 300 * time.Millisecond
	// minRecordInterval is the minimum time between two writes of the record of this host, and
	// recordWritesPerSecond the rate of such writes of all hosts together.
	minRecordInterval     = 100 * time.Millisecond
	recordWritesPerSecond = 100
	// recordDelay is the time after which a stream that another host forwarded is expected to
	// be recorded, on top of the interval between two writes. A caller that resumes a stream
	// gives up soon after maxRecordWait.
	recordDelay   = 150 * time.Millisecond
	maxRecordWait = 600 * time.Millisecond
	// minRecordReadInterval is the minimum time between two reads of the records of all hosts,
	// and recordReadsPerSecond the rate of such reads by all hosts together.
	minRecordReadInterval = 60 * time.Millisecond
	recordReadsPerSecond  = 250
	// minStreamTTL and maxStreamTTL bound the time after its first event for which a stream may
	// be resumed by its caller; streamTTLTimeouts is that time as a multiple of the timeout of its route.
	minStreamTTL      = 10 * time.Second
	maxStreamTTL      = 60 * time.Second
	streamTTLTimeouts = 2
)

// StreamOrigins keeps track of the software versions that began streams, so that a caller can
// resume a stream at any host. While a service has one version, the history of its versions
// suffices. While it has several, each host also records the streams that it forwards.
func StreamOrigins(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	r := &t.Rollout
	for _, e := range in {
		switch e := e.(type) {
		case event.StreamBegan:
			recordStream(now, r, e.Stream, e.Software, out)
		case event.SoftwareHistoryRead:
			for _, row := range e.Rows {
				applyHistory(now, r, row, out)
			}
		case event.SoftwareHistoryWritten:
			historyWritten(now, r, e, out)
		case event.StreamRecordWritten:
			streamRecordWritten(now, r, e, out)
		case event.StreamOriginRequested:
			requestOrigin(now, r, e, out)
		case event.StreamOriginsRead:
			originsRead(now, r, e, out)
		case event.RequestAbandoned:
			r.StreamQueries.Delete(e.RequestID)
		}
	}
	if r.Desired != nil {
		updateHistories(now, r, out)
	}
	writeStreamRecord(now, r, out)
	readStreamOrigins(now, r, out)
}

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

// recordStream keeps the version that began a stream. Beyond origin.MaxStreams, streams are not
// kept; a caller that resumes one of them is refused while its service has several versions.
func recordStream(now time.Duration, r *table.Rollout, s origin.Stream, v registry.Software, out *command.Outbox) {
	key := table.StreamKey(s)
	if r.StreamOrigins.Find(key) == nil && r.StreamOrigins.Len() >= origin.MaxStreams {
		out.Add(command.Count{Counter: "stream_origin_dropped", Delta: 1})
		return
	}
	row, _ := r.StreamOrigins.Upsert(key)
	*row = table.StreamOrigin{Stream: s, Software: v, SeenAt: now}
	if hasSeveralVersions(r, s.Service) {
		r.StreamRecord.Changed = true
	}
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
		h.Since, h.ServedAt = make(map[registry.Software]time.Duration), make(map[registry.Software]time.Duration)
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

// updateHistories compares the histories with the versions of the servers and writes those that
// are to be changed.
func updateHistories(now time.Duration, r *table.Rollout, out *command.Outbox) {
	services, ttl := resumableServices(r.Desired)
	if len(services) == 0 {
		return
	}
	check := r.PlanChanged || now >= r.HistoriesCheckedAt+historyCheckInterval
	if check {
		r.HistoriesCheckedAt = now
		recordServed(now, r, services)
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

// recordServed records which versions the servers of services have.
func recordServed(now time.Duration, r *table.Rollout, services []string) {
	for _, s := range r.Servers.All() {
		if s.Software != "" && slices.Contains(services, s.Service) {
			history(r, s.Service).ServedAt[s.Software] = now
		}
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
	due := max(h.NextWrite, h.ChangeSince+staggerDelay(r, service, handoverStaggerStep))
	if h.Writing || now < due {
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

// expireStreams deletes the streams that can no longer be resumed.
func expireStreams(now time.Duration, r *table.Rollout, ttl time.Duration) {
	for key, s := range r.StreamOrigins.All() {
		if now-s.SeenAt > ttl {
			r.StreamOrigins.Delete(key)
		}
	}
}

// recordInterval returns the time between two writes of the record of a host.
func recordInterval(r *table.Rollout) time.Duration {
	return max(minRecordInterval, perSecond(r, recordWritesPerSecond))
}

// perSecond returns the interval between two calls of a host at which all hosts together make a
// number of calls per second.
func perSecond(r *table.Rollout, calls int) time.Duration {
	return time.Duration(r.Peers.Len()) * time.Second / time.Duration(calls)
}

// writeStreamRecord records the streams that this host forwarded, of services with several
// versions.
func writeStreamRecord(now time.Duration, r *table.Rollout, out *command.Outbox) {
	rec := &r.StreamRecord
	if !rec.Changed || rec.Writing {
		return
	}
	if now < rec.NextWrite {
		out.WakeAt(rec.NextWrite)
		return
	}
	streams := make(origin.Record)
	for _, s := range r.StreamOrigins.All() {
		if hasSeveralVersions(r, s.Stream.Service) {
			streams[s.Stream] = s.Software
		}
	}
	rec.Changed = false
	if len(streams) == 0 {
		return
	}
	rec.Writing, rec.NextWrite = true, now+recordInterval(r)
	out.Add(command.WriteStreamRecord{Record: streams, Version: rec.RowVersion})
}

// streamRecordWritten applies the outcome of a write. The row of an earlier process of this host
// holds streams that its callers may still resume: they are recorded again.
func streamRecordWritten(now time.Duration, r *table.Rollout, e event.StreamRecordWritten, out *command.Outbox) {
	rec := &r.StreamRecord
	rec.Writing = false
	if e.Failure == nil {
		rec.RowVersion = e.Stored.Version
		return
	}
	rec.Changed = true
	if e.Failure.Reason != verdict.ReasonConflict {
		out.Add(command.Count{Counter: "stream_record_not_written", Tags: map[string]string{"reason": string(e.Failure.Reason)}, Delta: 1})
		return
	}
	rec.RowVersion, rec.NextWrite = e.Stored.Version, now
	for s, v := range e.Stored.Record {
		if r.StreamOrigins.Find(table.StreamKey(s)) == nil {
			recordStream(now, r, s, v, out)
		}
	}
}

// requestOrigin answers a request for the version that began a stream, if this host knows it,
// or keeps the request until the records of the other hosts have been read.
func requestOrigin(now time.Duration, r *table.Rollout, e event.StreamOriginRequested, out *command.Outbox) {
	if known := r.StreamOrigins.Find(table.StreamKey(e.Stream)); known != nil {
		answerOrigin(e.RequestID, known.Software, "", "memory", out)
		return
	}
	h, feed := r.SoftwareHistories.Find(e.Stream.Service), r.Feeds.Find(feedCoordination)
	if h != nil && len(h.Versions) == 1 && feed != nil && !feed.Down && e.HistoryAge <= maxHistoryAge {
		answerOrigin(e.RequestID, h.Versions[0], "", "history", out)
		return
	}
	q, _ := r.StreamQueries.Upsert(e.RequestID)
	*q = table.StreamQuery{Stream: e.Stream, AskedAt: now}
}

// answerOrigin answers a request. source says how the version became known.
func answerOrigin(id string, v registry.Software, reason verdict.Reason, source string, out *command.Outbox) {
	out.Add(command.AnswerStreamOrigin{RequestID: id, Software: v, Reason: reason})
	out.Add(command.Count{Counter: "stream_origins_requested", Tags: map[string]string{"source": source}, Delta: 1})
}

// readStreamOrigins reads the records of the other hosts while requests wait for them.
func readStreamOrigins(now time.Duration, r *table.Rollout, out *command.Outbox) {
	rec := &r.StreamRecord
	if r.StreamQueries.Len() == 0 || rec.Reading {
		return
	}
	if now < rec.NextRead {
		out.WakeAt(rec.NextRead)
		return
	}
	rec.Reading, rec.NextRead = true, now+max(minRecordReadInterval, perSecond(r, recordReadsPerSecond))
	c := command.ReadStreamOrigins{IssuedAt: now}
	for _, q := range r.StreamQueries.All() {
		if !slices.Contains(c.Streams, q.Stream) {
			c.Streams = append(c.Streams, q.Stream)
		}
	}
	out.Add(c)
}

// originsRead answers the requests that were waiting when a read of the records began. A stream
// that is not recorded may have begun just before.
func originsRead(now time.Duration, r *table.Rollout, e event.StreamOriginsRead, out *command.Outbox) {
	r.StreamRecord.Reading = false
	wait := min(maxRecordWait, recordInterval(r)+recordDelay)
	for id, q := range r.StreamQueries.All() {
		if q.AskedAt > e.IssuedAt {
			continue
		}
		v, found := e.Origins[q.Stream]
		versions := e.Histories[q.Stream.Service]
		switch {
		case e.Failure != nil:
			answerOrigin(id, "", e.Failure.Reason, "store_unavailable", out)
		case found:
			answerOrigin(id, v, "", "record", out)
		case len(versions) == 1:
			answerOrigin(id, versions[0], "", "history", out)
		case now-q.AskedAt < wait:
			continue
		default:
			answerOrigin(id, "", verdict.ReasonSoftwareUnknown, "none", out)
		}
		r.StreamQueries.Delete(id)
	}
}
