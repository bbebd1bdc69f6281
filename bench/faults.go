package bench

import (
	"time"

	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/tablestore"
)

// Times of the faults. Each repeats, so that a run shows it several times.
const (
	faultPeriod = 4 * time.Minute
	faultLength = 60 * time.Second
	slowSpeed   = 0.25
	longListLag = 90 * time.Second
	leaveNotice = 5 * time.Second // a leaving engine reports it, then refuses
)

// startFault schedules the setup's fault, on the second engine.
func (w *world) startFault() {
	s := w.serverRows[1]
	var begin, end func()
	switch w.setup.Fault {
	case "crash":
		begin = func() { w.crash(s); w.relist(s, "", listLag) }
		end = func() { w.restart(s); w.relist(s, tablestore.StateLive, listLag) }
	case "lagging_list":
		begin = func() { w.crash(s); w.relist(s, "", longListLag) }
		end = func() { w.restart(s); w.relist(s, tablestore.StateLive, longListLag) }
	case "slow":
		begin = func() { w.setSpeed(s, slowSpeed) }
		end = func() { w.setSpeed(s, 1) }
	case "store":
		begin = func() { w.store.down = true }
		end = func() { w.store.down = false }
	case "departure":
		begin = func() { w.leave(s) }
		end = func() { w.comeBack(s) }
	default:
		return
	}
	for at := w.setup.WarmUp + time.Minute; at < w.setup.WarmUp+w.setup.Measure; at += faultPeriod {
		w.at(at, begin)
		w.at(at+faultLength, end)
	}
}

func (w *world) relist(s *server, state string, lag time.Duration) {
	w.list.changes = append(w.list.changes, listChange{at: w.now + lag, name: s.name, to: state})
}

func (w *world) setSpeed(s *server, speed float64) {
	w.advance(s)
	s.speed = speed
	w.schedule(s)
}

func (w *world) leave(s *server) {
	s.leaving = true
	w.relist(s, tablestore.StateLeaving, listLag)
	w.after(leaveNotice, func() { s.refusing = true })
}

// comeBack replaces a server that left with a new process under the same name.
func (w *world) comeBack(s *server) {
	w.crash(s)
	s.leaving, s.refusing = false, false
	s.loaded = []ledger.Version{s.active}
	w.restart(s)
	w.relist(s, tablestore.StateLive, listLag)
}
