package control

import "github.com/lavenderstand/lavenderstand/event"

// Drain removes and returns all events in the inbox. Tests of executors use it instead of
// a control loop.
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
