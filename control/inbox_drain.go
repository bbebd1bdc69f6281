package control

import "github.com/lavenderstand/lavenderstand/event"

// Drain removes and returns the events that wait. Tests of executors use it in
// place of a loop.
func (b *Inbox) Drain() []event.Event {
	var events []event.Event
	for {
		select {
		case e := <-b.events:
			events = append(events, e)
		default:
			return events
		}
	}
}
