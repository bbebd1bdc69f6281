package rollout

import (
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/origin"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
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
	if dropped := streams.Fit(); dropped > 0 {
		out.Add(command.Count{Counter: "stream_origin_dropped", Delta: int64(dropped)})
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
