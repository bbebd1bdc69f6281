package rollout

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/quarantine"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// endedForContent is the number of servers that end under different requests with the same
	// content after which the content is put in quarantine. It is higher than that for one
	// request, because the same harmless content may be in flight at several servers.
	endedForContent = 3
	// suspectPeriod is the time for which an ended server counts against a content.
	suspectPeriod = time.Minute
	// quarantinePeriod is the time after which a content is tried again.
	quarantinePeriod = 5 * time.Minute
	// sameEndPeriod is the time in which several reports about a server mean one end.
	sameEndPeriod = 300 * time.Millisecond
	// quarantineWriteRetry is the wait between two writes of a row, within which the feed shows
	// a write whose answer was lost.
	quarantineWriteRetry = 700 * time.Millisecond
	// missingRowPeriod is the time after which the holder of the order lease writes a row that
	// the host that put the content in quarantine has not written.
	missingRowPeriod = 3 * time.Second
	// maxSuspects bounds the contents that are kept.
	maxSuspects = 1000
)

// Quarantine puts the contents of requests that crash servers in quarantine, so that no host
// sends such requests to a server. A success shows that a content does no harm.
func Quarantine(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	r := &t.Rollout
	for _, e := range in {
		switch e := e.(type) {
		case event.ServerOutcome:
			applyContentOutcome(now, r, e.Outcome, out)
		case event.SuspectReported:
			applyReport(now, r, e.Report, out)
		case event.QuarantineRead:
			for _, row := range e.Rows {
				applyQuarantineRow(now, r, row, out)
			}
		case event.QuarantineWritten:
			quarantineWritten(now, r, e, out)
		}
	}
	for content, s := range r.Suspects.All() {
		writeQuarantine(now, r, content, s, out)
		expireSuspect(now, r, content, s, out)
	}
	if r.SuspectsChanged {
		r.SuspectsChanged = false
		out.Add(command.PublishQuarantine{Contents: quarantinedContents(r)})
	}
}

// applyContentOutcome applies the outcome of a request that this host sent.
func applyContentOutcome(now time.Duration, r *table.Rollout, o forward.Outcome, out *command.Outbox) {
	if o.Content == "" {
		return
	}
	if !o.Ended {
		if s := r.Suspects.Find(o.Content); s != nil && !s.Quarantined && o.Answered && !o.Failed {
			r.Suspects.Delete(o.Content)
		}
		return
	}
	s := suspect(now, r, o.Content, out)
	if s == nil {
		return
	}
	addEnded(now, s, o.Server)
	report := quarantine.Report{Content: o.Content, Server: o.Server}
	if o.EndedServers >= forward.MaxEndedServers || len(s.Ended) >= endedForContent {
		beginQuarantine(now, r, o.Content, s, out)
		s.Reporter, report.Quarantined = true, true
	}
	out.Add(command.ReportSuspect{Report: report})
}

// applyReport applies the report of another host. The host whose count reaches the threshold
// tells the others.
func applyReport(now time.Duration, r *table.Rollout, report quarantine.Report, out *command.Outbox) {
	s := suspect(now, r, report.Content, out)
	if s == nil {
		return
	}
	addEnded(now, s, report.Server)
	switch {
	case report.Quarantined:
		beginQuarantine(now, r, report.Content, s, out)
	case !s.Quarantined && len(s.Ended) >= endedForContent:
		beginQuarantine(now, r, report.Content, s, out)
		s.Reporter, report.Quarantined = true, true
		out.Add(command.ReportSuspect{Report: report})
	}
}

// suspect returns the entry of a content, or nil if there is no room for a new one.
func suspect(now time.Duration, r *table.Rollout, content string, out *command.Outbox) *table.Suspect {
	if s := r.Suspects.Find(content); s != nil {
		return s
	}
	if r.Suspects.Len() >= maxSuspects {
		out.Add(command.Count{Counter: "suspect_dropped", Delta: 1})
		return nil
	}
	s, _ := r.Suspects.Upsert(content)
	s.Until = now + suspectPeriod
	return s
}

// addEnded adds an ended server to a content. Several hosts may report the same end.
func addEnded(now time.Duration, s *table.Suspect, server string) {
	if !s.Quarantined {
		s.Until = now + suspectPeriod
	}
	for _, e := range s.Ended {
		if e.Server == server && now-e.At < sameEndPeriod {
			return
		}
	}
	if len(s.Ended) < endedForContent {
		s.Ended = append(s.Ended, table.EndedServer{Server: server, At: now})
	}
}

func beginQuarantine(now time.Duration, r *table.Rollout, content string, s *table.Suspect, out *command.Outbox) {
	if s.Quarantined {
		return
	}
	s.Quarantined, s.Until, s.NextWrite, r.SuspectsChanged = true, now+quarantinePeriod, now, true
	fields := []command.Field{field("content", content)}
	for _, e := range s.Ended {
		fields = append(fields, field("server", e.Server))
	}
	out.Add(command.LogChange{Message: "requests that crash servers in quarantine", Fields: fields})
	out.Add(command.Count{Counter: "content_quarantined", Delta: 1})
}

func applyQuarantineRow(now time.Duration, r *table.Rollout, row event.QuarantineRow, out *command.Outbox) {
	if row.Deleted {
		if s := r.Suspects.Find(row.Content); s != nil && s.RowVersion < row.Version {
			r.SuspectsChanged = r.SuspectsChanged || s.Quarantined
			r.Suspects.Delete(row.Content)
		}
		return
	}
	if s := suspect(now, r, row.Content, out); s != nil {
		beginQuarantine(now, r, row.Content, s, out)
		s.RowVersion = row.Version
	}
}

func quarantineWritten(now time.Duration, r *table.Rollout, e event.QuarantineWritten, out *command.Outbox) {
	s := r.Suspects.Find(e.Content)
	if s == nil {
		return
	}
	s.Writing, s.NextWrite = false, now+quarantineWriteRetry
	if e.Failure != nil && e.Failure.Reason != verdict.ReasonConflict {
		out.Add(command.Count{Counter: "quarantine_not_written", Tags: map[string]string{"reason": string(e.Failure.Reason)}, Delta: 1})
	}
}

// writeQuarantine writes the row of a content in quarantine, from which hosts that start later
// know it.
func writeQuarantine(now time.Duration, r *table.Rollout, content string, s *table.Suspect, out *command.Outbox) {
	if !s.Quarantined || s.RowVersion != 0 || s.Writing || now >= s.Until {
		return
	}
	due := s.NextWrite
	switch {
	case s.Reporter:
	case r.OrderLease.Held:
		due = max(due, s.Until-quarantinePeriod+missingRowPeriod)
	default:
		return
	}
	if now < due {
		out.WakeAt(due)
		return
	}
	s.Writing = true
	out.Add(command.WriteQuarantine{Content: content})
}

// expireSuspect deletes an entry whose time has passed. The holder of the order lease also
// removes its row.
func expireSuspect(now time.Duration, r *table.Rollout, content string, s *table.Suspect, out *command.Outbox) {
	if now < s.Until {
		return
	}
	if s.Quarantined && s.RowVersion != 0 && r.OrderLease.Held {
		out.Add(command.WriteQuarantine{Content: content, Version: s.RowVersion, Remove: true})
	}
	r.SuspectsChanged = r.SuspectsChanged || s.Quarantined
	r.Suspects.Delete(content)
}

func quarantinedContents(r *table.Rollout) map[string]bool {
	contents := make(map[string]bool)
	for content, s := range r.Suspects.All() {
		if s.Quarantined {
			contents[content] = true
		}
	}
	return contents
}
