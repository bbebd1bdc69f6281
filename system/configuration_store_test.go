package system_test

import (
	"sort"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/verdict"
)

func (w *configWorld) readRows(n *configHost, storeDown bool) {
	if storeDown {
		w.send(n, worldTimeout, event.HostRowsRead{Failure: unreachable})
		return
	}
	var rows []event.HostRow
	for _, row := range w.rows {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].ID < rows[j].ID })
	w.send(n, worldLatency, event.HostRowsRead{Rows: rows})
}

func (w *configWorld) writeRow(n *configHost, c command.WriteHostRow, storeDown bool) {
	if storeDown {
		w.send(n, worldTimeout, event.HostRowWritten{Failure: unreachable})
		return
	}
	row := c.Row
	row.RowVersion = w.rows[row.ID].RowVersion + 1
	w.rows[row.ID] = row
	if c.Delete {
		delete(w.rows, row.ID)
	}
	w.send(n, worldLatency, event.HostRowWritten{})
}

func (w *configWorld) commit(n *configHost, c command.CommitConfig, storeDown bool) {
	if storeDown {
		w.send(n, worldTimeout, event.ConfigCommitted{RequestID: c.RequestID, Failure: unreachable})
		return
	}
	unknown := event.ConfigCommitted{RequestID: c.RequestID, Failure: &event.Failure{Reason: verdict.ReasonStoreUnavailable}}
	if w.slowStore {
		w.lateCommits, w.lateCommitTimes = append(w.lateCommits, func() { w.accept(c) }), append(w.lateCommitTimes, w.now+slowCommit)
		w.send(n, worldTimeout, unknown)
		return
	}
	committed := w.accept(c)
	if n.loseNextAnswer {
		n.loseNextAnswer = false
		w.send(n, worldTimeout, unknown)
		return
	}
	w.send(n, worldLatency, event.ConfigCommitted{RequestID: c.RequestID, Committed: committed, Version: w.version, Author: w.author, Body: configBody(w.version)})
}

// accept stores a change if it still has the expected version.
func (w *configWorld) accept(c command.CommitConfig) bool {
	if c.ExpectedVersion != w.version {
		return false
	}
	w.version++
	w.author, w.accepted[w.version] = c.Author, w.now
	w.printf("store accepts version %d of %s", w.version, c.Author)
	return true
}
