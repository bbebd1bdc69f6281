package executor

import (
	"context"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/orderlease"
	"github.com/lavenderstand/lavenderstand/origin"
	"github.com/lavenderstand/lavenderstand/presence"
	"github.com/lavenderstand/lavenderstand/quarantine"
	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// writeTimeout bounds all attempts of one command that writes to the store. After a
// timeout, control decides whether to repeat the command.
const writeTimeout = 2 * time.Second

// WriteLot executes command.WriteLot.
func WriteLot(ctx context.Context, repo *lot.Repository, c command.WriteLot) event.Event {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	stored, existing, err := repo.Append(ctx, c.Head, c.Version, c.Results, c.Progress)
	e := event.LotWritten{ID: c.Head.ID, WriteID: c.Head.WriteID, Head: stored.Head, Version: stored.Version, Failure: event.FailureOf(err)}
	if existing != nil {
		e.Current = &event.HeadRow{ID: c.Head.ID, Head: existing.Head, Version: existing.Version, Deleted: existing.Version == 0}
	}
	return e
}

// AdoptLot executes command.AdoptLot. Only the commit is bounded by writeTimeout. What is loaded
// after it grows with the size of the lot, and repo bounds each read.
func AdoptLot(ctx context.Context, repo *lot.Repository, c command.AdoptLot) event.Event {
	e := event.LotAdopted{ID: c.Head.ID, Head: c.Head}
	err := commitAdoption(ctx, repo, c, &e)
	if err == nil {
		err = loadLot(ctx, repo, &e)
	}
	e.Failure = event.FailureOf(err)
	return e
}

// CheckHead executes command.CheckHead.
func CheckHead(ctx context.Context, repo *lot.Repository, c command.CheckHead) event.Event {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	stored, err := repo.HeadAt(ctx, c.ID, c.CandidateIndex)
	return event.HeadChecked{
		Row:     event.HeadRow{ID: c.ID, Head: stored.Head, Version: stored.Version},
		Failure: event.FailureOf(err),
	}
}

// commitAdoption commits the new head of a lot and sets it in e.
func commitAdoption(ctx context.Context, repo *lot.Repository, c command.AdoptLot, e *event.LotAdopted) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	stored, existing, err := repo.Append(ctx, c.Head, c.Version, nil, nil)
	if err != nil {
		return err
	}
	if existing != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonConflict, "the head of the lot changed to version %d", existing.Version)
	}
	e.Head, e.Version = stored.Head, stored.Version
	return nil
}

// loadLot reads what the new owner of a lot needs into e.
func loadLot(ctx context.Context, repo *lot.Repository, e *event.LotAdopted) (err error) {
	if e.Submission, err = repo.Body(ctx, e.Head); err != nil {
		return err
	}
	if e.Listed, err = repo.ListedItems(ctx, &e.Head); err != nil {
		return err
	}
	if e.Head.HasProgress {
		e.Progress, err = repo.Progress(ctx, &e.Head)
		e.ProgressLost = event.FailureOf(err)
	}
	return nil
}

// deleteTimeout bounds the deletion of the rows of one lot, which takes a few reads and writes
// for each partition, and deleteObjectTimeout is added for each of its objects.
const (
	deleteTimeout       = 5 * time.Second
	deleteObjectTimeout = 250 * time.Millisecond
)

// DeleteLot executes command.DeleteLot.
func DeleteLot(ctx context.Context, repo *lot.Repository, c command.DeleteLot) event.Event {
	ctx, cancel := context.WithTimeout(ctx, deleteTimeout+time.Duration(c.Head.ObjectCount())*deleteObjectTimeout)
	defer cancel()
	err := repo.Delete(ctx, lot.StoredHead{Head: c.Head, Version: c.Version})
	return event.LotDeleted{ID: c.Head.ID, Version: c.Version, Failure: event.FailureOf(err)}
}

// WriteOrderLease executes command.WriteOrderLease.
func WriteOrderLease(ctx context.Context, w *orderlease.Writer, c command.WriteOrderLease) event.Event {
	rec := orderlease.Record{Holder: w.Self, Settled: c.Settled, StoreUpFor: c.StoreUpFor}
	if c.Release {
		rec = orderlease.Record{Quiet: c.Quiet}
	}
	result, err := w.Write(ctx, c.Version, rec)
	return event.OrderLeaseWritten{
		SentAt: result.SentAt, Version: result.Version, Acquired: c.Acquire, Released: c.Release, Failure: event.FailureOf(err),
	}
}

// DecodeCoordination converts rows of the coordination table to events.
func DecodeCoordination(rows []store.Row, full bool, version uint64) []event.Event {
	heads := event.HeadsRead{Full: full, Version: version}
	var hosts event.PresenceRead
	var contents event.QuarantineRead
	var histories event.SoftwareHistoryRead
	var events []event.Event
	for _, r := range rows {
		if r.Key == orderlease.Key {
			rec, ok := orderlease.Parse(r) // the holder is empty if the row is not valid
			events = append(events, event.OrderLeaseRead{Holder: rec.Holder, Settled: rec.Settled, Quiet: rec.Quiet, StoreUpFor: rec.StoreUpFor, Version: r.Version})
			appendUnreadable(ok, r, &events)
			continue
		}
		if host := presence.HostName(r); host != "" {
			rec, ok := presence.Parse(r) // the address is empty if the row is not valid
			appendUnreadable(ok, r, &events)
			hosts.Rows = append(hosts.Rows, event.PresenceRow{
				Host: host, Address: rec.Address, BootID: rec.BootID, LimitedEngines: rec.LimitedEngines, Version: r.Version, Deleted: r.Deleted,
			})
			continue
		}
		if content := quarantine.Content(r); content != "" {
			contents.Rows = append(contents.Rows, event.QuarantineRow{Content: content, Version: r.Version, Deleted: r.Deleted})
			continue
		}
		if service := origin.HistoryService(r); service != "" {
			versions, ok := origin.ParseHistory(r)
			appendUnreadable(ok, r, &events)
			histories.Rows = append(histories.Rows, event.SoftwareHistoryRow{Service: service, Versions: versions, Version: r.Version})
			continue
		}
		id := lot.HeadID(r.Name)
		if id == "" {
			continue
		}
		h, ok := lot.ParseHead(r)
		appendUnreadable(ok, r, &events)
		if r.Deleted {
			h.CandidateIndex, _ = lot.CandidateIndex(r.Key)
		}
		if ok || r.Deleted {
			heads.Heads = append(heads.Heads, event.HeadRow{ID: id, Head: h, Version: r.Version, Deleted: r.Deleted})
		}
	}
	if len(histories.Rows) > 0 {
		events = append(events, histories)
	}
	if len(contents.Rows) > 0 {
		events = append(events, contents)
	}
	if len(hosts.Rows) > 0 {
		events = append(events, hosts)
	}
	if full || len(rows) > 0 {
		events = append(events, heads)
	}
	return events
}

// appendUnreadable appends an event for a row that could not be decoded, unless the row was
// deleted.
func appendUnreadable(ok bool, r store.Row, events *[]event.Event) {
	if !ok && !r.Deleted {
		*events = append(*events, event.RowUnreadable{Table: r.Table, Row: r.Name, Version: r.Version})
	}
}
