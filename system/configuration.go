package system

import (
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// contactInterval is the period of contacts while the row cannot be read.
	contactInterval = 2 * time.Second
	// contactMaxAge is the age up to which a contact counts, and up to which a
	// peer's read of the row shows that the outage is local.
	contactMaxAge = 5 * time.Second
	// minContactInterval is the shortest pause between contacts to one host.
	minContactInterval = 250 * time.Millisecond
	// prepareTimeout bounds the wait for a majority of acknowledgements.
	prepareTimeout = 2 * time.Second
	// commitTimeout bounds the commit, counted from the end of the preparation.
	commitTimeout = 4 * time.Second
	// changeQueueTimeout bounds the wait for an earlier change on this host.
	changeQueueTimeout = 10 * time.Second
	// prepareTTL is the time after which a prepared version that the store
	// still does not hold counts as abandoned. It exceeds prepareWithin +
	// commitWithin by more than the timeout of one write.
	prepareTTL = 15 * time.Second
	// neverReadAge is the age reported by a process that has not read the row.
	neverReadAge = time.Hour
)

// ConfigTiming holds the periods and bounds of Configuration.
type ConfigTiming struct {
	PollInterval  time.Duration // between two reads of the row
	ConfirmWithin time.Duration // longest service without a confirmation
	ContactAfter  time.Duration // without a read, after which peers are contacted
}

// Configuration keeps t.Config at the newest accepted version, decides whether
// this process may serve new requests, and carries out operators' changes.
func Configuration(timing ConfigTiming) System {
	return func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
		initConfig(t, timing)
		for _, e := range in {
			applyConfigEvent(now, t, e, out)
			applyChangeEvent(now, t, e, out)
		}
		pollConfig(now, t, timing, out)
		contactHosts(now, t, timing, out)
		confirmByPeers(now, t, timing)
		advanceChanges(now, t, out)
		updateReadiness(now, t, timing, out)
	}
}

// initConfig marks the configuration as never confirmed, so that a consumer
// that adds ConfirmWithin to ConfirmedAt finds no valid period before the first read.
func initConfig(t *table.Tables, timing ConfigTiming) {
	if !t.Config.Started {
		t.Config.Started, t.Config.ConfirmedAt = true, -timing.ConfirmWithin
	}
}

func applyConfigEvent(now time.Duration, t *table.Tables, e event.Event, out *command.Outbox) {
	switch e := e.(type) {
	case event.ConfigRead:
		applyConfigRead(now, t, e, out)
	case event.ConfigAnnounced:
		adoptConfig(t, e.Version, e.Body, "announcement", out)
	case event.ContactMade:
		applyContact(now, t, e, out)
	case event.ContactRequested:
		out.Add(command.AnswerContact{RequestID: e.RequestID, Contact: ownContact(now, t)})
	case event.PrepareRequested:
		out.Add(command.AnswerPrepare{RequestID: e.RequestID, Failure: prepare(now, t, e.Change, e.Version)})
	case event.PrepareWithdrawn:
		withdraw(t, e.Change)
	}
}

// applyConfigRead confirms the configuration as of the time when the read was
// sent: the row may have changed since.
func applyConfigRead(now time.Duration, t *table.Tables, read event.ConfigRead, out *command.Outbox) {
	c := &t.Config
	c.ReadPending = false
	if read.Failure != nil || read.Version < c.Version {
		return // a lower version is a read that was answered late
	}
	adoptConfig(t, read.Version, read.Body, "table service", out)
	c.EverRead, c.StoreReadAt = true, now
	c.ConfirmedAt = max(c.ConfirmedAt, c.ReadSentAt)
	if c.ReadSentAt >= prepareTTL {
		c.CountsVote = true
	}
	if c.Pending != 0 && c.ReadSentAt >= c.PendingSince+prepareTTL {
		clearPending(c)
	}
}

// adoptConfig takes a higher version; a version never falls.
func adoptConfig(t *table.Tables, version uint64, body plan.Config, source string, out *command.Outbox) {
	c := &t.Config
	if version > c.Version {
		c.Version, c.Body = version, body
		out.Add(command.LogChange{Message: "configuration changed", Fields: []command.Field{
			{Key: "version", Value: strconv.FormatUint(version, 10)}, {Key: "source", Value: source},
		}})
	}
	if c.Pending <= c.Version {
		clearPending(c)
	}
}

func pollConfig(now time.Duration, t *table.Tables, timing ConfigTiming, out *command.Outbox) {
	c := &t.Config
	if !c.ReadPending && now >= c.NextRead {
		c.ReadPending, c.ReadSentAt, c.NextRead = true, now, now+timing.PollInterval
		out.Add(command.ReadConfig{})
	}
	if !c.ReadPending {
		out.WakeAt(c.NextRead)
	}
}

// updateReadiness reports a change of readiness and counts its cause.
func updateReadiness(now time.Duration, t *table.Tables, timing ConfigTiming, out *command.Outbox) {
	c := &t.Config
	c.Confirmed = now < c.ConfirmedAt+timing.ConfirmWithin
	if c.Confirmed {
		out.WakeAt(c.ConfirmedAt + timing.ConfirmWithin)
	}
	ready := c.Confirmed && !t.Self.Draining
	if c.ReadyKnown && ready == c.Ready {
		return
	}
	if c.Ready && !c.Confirmed {
		out.Add(command.Count{Counter: "config_unconfirmed", Delta: 1})
	}
	c.ReadyKnown, c.Ready = true, ready
	out.Add(command.SetReady{Ready: ready})
	out.Add(command.LogChange{Message: "readiness changed", Fields: []command.Field{
		{Key: "ready", Value: strconv.FormatBool(ready)},
		{Key: "config_confirmed", Value: strconv.FormatBool(c.Confirmed)},
	}})
}
