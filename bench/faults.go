package bench

import (
	"time"

	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/tablestore"
)

// Parameters of the faults. A fault recurs during a run, so that the result covers
// several occurrences.
const (
	faultInterval   = 4 * time.Minute  // between the starts of two occurrences
	faultDuration   = 60 * time.Second // of one occurrence
	slowSpeedRatio  = 0.25             // speed of a slow server relative to its normal speed
	longListLag     = 90 * time.Second // lag of the host list in the fault lagging_list
	departureNotice = 5 * time.Second  // time between the report that an engine is leaving and its first refusal
)

// scheduleFault schedules the occurrences of the setup's fault. It affects the second
// engine or the table service.
func (sim *simulation) scheduleFault() {
	s := sim.serverRows[1]
	var begin, end func()
	switch sim.setup.Fault {
	case "crash":
		begin = func() { sim.crash(s); sim.changeListing(s, "", listLag) }
		end = func() { sim.restart(s); sim.changeListing(s, tablestore.StateLive, listLag) }
	case "lagging_list":
		begin = func() { sim.crash(s); sim.changeListing(s, "", longListLag) }
		end = func() { sim.restart(s); sim.changeListing(s, tablestore.StateLive, longListLag) }
	case "slow":
		begin = func() { sim.setSpeed(s, slowSpeedRatio) }
		end = func() { sim.setSpeed(s, 1) }
	case "store":
		begin = func() { sim.store.down = true }
		end = func() { sim.store.down = false }
	case "departure":
		begin = func() { sim.leave(s) }
		end = func() { sim.replace(s) }
	default:
		return
	}
	for at := sim.setup.WarmUp + time.Minute; at < sim.setup.WarmUp+sim.setup.Measure; at += faultInterval {
		sim.at(at, begin)
		sim.at(at+faultDuration, end)
	}
}

// changeListing changes the state of a server in the host list after a lag. An empty
// state removes the server from the list.
func (sim *simulation) changeListing(s *server, state string, lag time.Duration) {
	sim.hostList.changes = append(sim.hostList.changes, listChange{at: sim.now + lag, name: s.name, to: state})
}

func (sim *simulation) setSpeed(s *server, speed float64) {
	sim.advance(s)
	s.speed = speed
	sim.schedule(s)
}

// leave lets a server announce its departure and refuse requests after
// departureNotice.
func (sim *simulation) leave(s *server) {
	s.leaving = true
	sim.changeListing(s, tablestore.StateLeaving, listLag)
	sim.after(departureNotice, func() { s.refusing = true })
}

// replace replaces a server that left by a new process with the same name.
func (sim *simulation) replace(s *server) {
	sim.crash(s)
	s.leaving, s.refusing = false, false
	s.loaded = []ledger.Version{s.active}
	sim.restart(s)
	sim.changeListing(s, tablestore.StateLive, listLag)
}
