package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// prepare records a version that may soon be accepted. It refuses a version that
// is not higher than the current one, because it can no longer be accepted.
func prepare(now time.Duration, t *table.Tables, change string, version uint64) *event.Failure {
	c := &t.Config
	if version <= c.Version {
		return &event.Failure{
			Verdict: verdict.NotRun, Reason: verdict.ReasonConflict,
			Message: "a configuration of this or a higher version is already accepted",
		}
	}
	if c.Prepared == nil {
		c.Prepared = make(map[string]uint64)
	}
	c.Prepared[change] = version
	c.Pending, c.PendingSince = max(c.Pending, version), now
	return nil
}

func applyChangeEvent(now time.Duration, t *table.Tables, e event.Event, out *command.Outbox) {
	switch e := e.(type) {
	case event.ConfigChangeRequested:
		change, _ := t.Changes.Upsert(e.RequestID)
		*change = table.ConfigChange{
			ExpectedVersion: e.ExpectedVersion, Author: e.Author, Body: e.Body,
			Until: now + changeQueueTimeout,
		}
	case event.RequestAbandoned:
		if change := t.Changes.Find(e.RequestID); change != nil && change.Phase != table.ChangeCommitting {
			withdrawOnAllHosts(t, e.RequestID, change, out)
			t.Changes.Delete(e.RequestID)
		}
	case event.PrepareAnswered:
		recordPrepareAnswer(t, e)
	case event.ConfigCommitted:
		finishChange(t, e, out)
	}
}

func recordPrepareAnswer(t *table.Tables, e event.PrepareAnswered) {
	change, host := t.Changes.Find(e.RequestID), t.Hosts.Find(e.HostID)
	if change == nil || host == nil || change.Phase != table.ChangePreparing {
		return
	}
	if e.Failure == nil {
		change.Acknowledged[host.Host] = true
	} else {
		change.Refused[host.Host] = true
	}
}

// advanceChanges moves each change to its next phase. Only one change at a time
// is prepared. A change whose expected version is outdated is committed without
// preparation: the store rejects it, and the conflict contains the accepted
// version.
func advanceChanges(now time.Duration, t *table.Tables, out *command.Outbox) {
	busy := false
	for _, change := range t.Changes.All() {
		busy = busy || change.Phase == table.ChangePreparing ||
			change.Phase == table.ChangeCommitting && change.ExpectedVersion >= t.Config.Version
	}
	for id, change := range t.Changes.All() {
		switch {
		case change.Phase == table.ChangeCommitting:
		case change.ExpectedVersion < t.Config.Version:
			commitChange(now, id, change, out)
		case change.Phase == table.ChangePreparing:
			advancePreparing(now, t, id, change, out)
		case now >= change.Until:
			refuseChange(t, id, verdict.ReasonDeadline, "an earlier change did not finish in time", out)
		case !busy:
			busy = true
			startPreparing(now, t, id, change, out)
		}
	}
}

func startPreparing(now time.Duration, t *table.Tables, id string, change *table.ConfigChange, out *command.Outbox) {
	version := change.ExpectedVersion + 1
	change.Phase, change.Until = table.ChangePreparing, now+prepareTimeout
	change.Known = len(knownHosts(t))
	change.Acknowledged, change.Refused = make(map[string]bool), make(map[string]bool)
	if t.Self.Role == table.RoleEntry && prepare(now, t, id, version) == nil {
		change.Acknowledged[t.Self.Host] = true
	}
	for hostID, h := range t.Hosts.All() {
		if isPeer(t, h) {
			out.Add(command.PrepareHost{RequestID: id, HostID: hostID, Address: h.Address, Version: version})
		}
	}
	advancePreparing(now, t, id, change, out)
}

// advancePreparing commits the change once a majority has acknowledged it. After
// the phase has timed out it refuses the change even with a majority, because
// peers may have discarded the version, for example if this process was
// suspended in the meantime.
func advancePreparing(now time.Duration, t *table.Tables, id string, change *table.ConfigChange, out *command.Outbox) {
	known := max(change.Known, len(knownHosts(t)))
	switch {
	case now >= change.Until || !t.HostRowSync.EverRead:
		refuseChange(t, id, verdict.ReasonNoMajority, "no majority of the known hosts prepared the change", out)
	case len(change.Acknowledged) > known/2:
		commitChange(now, id, change, out)
	default:
		out.WakeAt(change.Until)
	}
}

func commitChange(now time.Duration, id string, change *table.ConfigChange, out *command.Outbox) {
	change.Phase, change.CommitSentAt, change.Until = table.ChangeCommitting, now, now+commitTimeout
	out.Add(command.CommitConfig{
		RequestID: id, ExpectedVersion: change.ExpectedVersion,
		Author: change.Author, Body: change.Body, Deadline: change.Until,
	})
}

func refuseChange(t *table.Tables, id string, reason verdict.Reason, message string, out *command.Outbox) {
	out.Add(command.Count{Counter: "config_change_refused", Tags: map[string]string{"reason": string(reason)}, Delta: 1})
	out.Add(command.AnswerConfigChange{RequestID: id, Failure: &event.Failure{
		Verdict: verdict.NotRun, Reason: reason, Message: message,
	}})
	if change := t.Changes.Find(id); change != nil {
		withdrawOnAllHosts(t, id, change, out)
	}
	t.Changes.Delete(id)
}

// finishChange applies the outcome of a commit, announces an accepted version
// and answers the operator. A version that was definitely not accepted is
// withdrawn. After an unknown outcome it stays pending until the row is read.
func finishChange(t *table.Tables, e event.ConfigCommitted, out *command.Outbox) {
	change := t.Changes.Find(e.RequestID)
	if change == nil {
		return
	}
	defer t.Changes.Delete(e.RequestID)
	answer := command.AnswerConfigChange{RequestID: e.RequestID, Failure: e.Failure}
	if e.Failure == nil {
		adoptConfig(t, e.Version, e.Body, "commit", out)
		answer.Accepted, answer.Version = e.Committed, e.Version
		answer.Author, answer.Body = e.Author, e.Body
	}
	if e.Failure == nil && e.Committed {
		t.Config.ConfirmedAt = max(t.Config.ConfirmedAt, change.CommitSentAt)
		announceConfig(t, e, out)
	}
	if e.Failure != nil && e.Failure.Verdict == verdict.NotRun {
		withdrawOnAllHosts(t, e.RequestID, change, out)
	}
	out.Add(answer)
}

func announceConfig(t *table.Tables, e event.ConfigCommitted, out *command.Outbox) {
	for id, h := range t.Hosts.All() {
		if h.ID != t.Self.ID {
			out.Add(command.AnnounceConfig{
				HostID: id, Address: h.Address, Controller: h.Role == table.RoleController,
				Version: e.Version, Body: e.Body,
			})
		}
	}
}
