package bench

import (
	"time"

	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/tablestore"
)

// Times of the faults. Each repeats, so that a run shows it several times.
const (
	faultInterval   = 4 * time.Minute
	faultDuration   = 60 * time.Second
	slowSpeedRatio  = 0.25
	longListLag     = 90 * time.Second
	departureNotice = 5 * time.Second // a leaving engine reports it, then refuses
)

// scheduleFault schedules the setup's fault, on the second engine.
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

func (sim *simulation) changeListing(s *server, state string, lag time.Duration) {
	sim.hostList.changes = append(sim.hostList.changes, listChange{at: sim.now + lag, name: s.name, to: state})
}

func (sim *simulation) setSpeed(s *server, speed float64) {
	sim.advance(s)
	s.speed = speed
	sim.schedule(s)
}

func (sim *simulation) leave(s *server) {
	s.leaving = true
	sim.changeListing(s, tablestore.StateLeaving, listLag)
	sim.after(departureNotice, func() { s.refusing = true })
}

// replace replaces a server that left with a new process under the same name.
func (sim *simulation) replace(s *server) {
	sim.crash(s)
	s.leaving, s.refusing = false, false
	s.loaded = []ledger.Version{s.active}
	sim.restart(s)
	sim.changeListing(s, tablestore.StateLive, listLag)
}
