package control_test

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/tablestore"
)

// TestSessionRecordsMembership guards against a session that omits events, commands or row
// changes, or prints them in a nondeterministic order.
func TestSessionRecordsMembership(t *testing.T) {
	tables := table.New(table.Self{ID: "entry-1"})
	s := control.NewSession(tables, system.Named{Name: "membership", Run: system.Membership(time.Second)})
	control.Watch(s, "backends", &tables.Backends)
	s.Step(0)
	s.Step(10*time.Millisecond, event.HostListRead{Hosts: []tablestore.ListedHost{
		{Name: "m1", Kind: "engine", Model: "match", Address: "127.0.0.1:1", Zone: "a", State: tablestore.StateLive},
	}})
	s.Step(time.Second)
	s.Step(1100*time.Millisecond, event.HostListRead{})
	s.Step(12*time.Minute, event.HostListRead{})
	goldie.New(t).Assert(t, "membership", s.Bytes())
}
