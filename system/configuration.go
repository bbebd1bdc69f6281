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
	// contactInterval is the time between contacts to a peer while the
	// configuration row cannot be read.
	contactInterval = 2 * time.Second
	// contactMaxAge is the maximum age of a contact that counts as a vote. It is
	// also the maximum age of a peer's read of the row that shows that only this
	// process cannot reach the store.
	contactMaxAge = 5 * time.Second
	// minContactInterval is the minimum time between contacts to one host.
	minContactInterval = 250 * time.Millisecond
	// prepareTimeout bounds the wait for acknowledgements from a majority of hosts.
	prepareTimeout = 2 * time.Second
	// commitTimeout bounds the commit, counted from the end of the prepare phase.
	commitTimeout = 4 * time.Second
	// changeQueueTimeout bounds the wait for an earlier change on this host.
	changeQueueTimeout = 10 * time.Second
	// prepareTTL is the time after which a prepared version that is still not in
	// the store counts as abandoned. It exceeds prepareTimeout + commitTimeout by
	// more than the timeout of one write.
	prepareTTL = 15 * time.Second
	// neverReadAge is the age of the last read that a process reports if it has
	// never read the row.
	neverReadAge = time.Hour
)

// ConfigTiming holds the intervals and time limits of Configuration.
type ConfigTiming struct {
	PollInterval  time.Duration // time between reads of the row
	ConfirmWithin time.Duration // maximum time of service without a confirmation
	ContactAfter  time.Duration // time without a successful read after which peers are contacted
}

// Configuration keeps t.Config at the newest accepted version, decides whether
// this process may serve new requests, and processes configuration changes that
// operators request.
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

// initConfig marks the configuration as never confirmed: ConfirmedAt plus
// ConfirmWithin is not in the future before the first read.
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
// sent, because the row may have changed since then.
func applyConfigRead(now time.Duration, t *table.Tables, read event.ConfigRead, out *command.Outbox) {
	c := &t.Config
	c.ReadPending = false
	if read.Failure != nil || read.Version < c.Version {
		return // a lower version is a delayed answer to an earlier read
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

// adoptConfig replaces the configuration by one with a higher version. It never
// goes back to a lower version.
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

// updateReadiness derives the readiness, reports a change of it, and counts the
// changes that are due to an unconfirmed configuration.
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
