package system_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
)

// waitingGroup returns tables with a held partition, a trainer with the given
// version, one group of 12 waiting samples, and entry hosts in two zones.
func waitingGroup(version ledger.Version) *table.Tables {
	t := table.New(table.Self{ID: "c", Zone: "a"})
	p, _ := t.Partitions.Upsert(table.PartitionKey(0))
	p.Held = true
	tr, _ := t.Trainers.Upsert("t")
	*tr = table.Trainer{Name: "t", Claimed: true, BatchGroups: 1}
	tr.Record.Version = version
	g, _ := t.Groups.Upsert(table.GroupKey("t", "g"))
	g.Trainer, g.Waiting = "t", 12
	g.Record = ledger.GroupRecord{Spec: ledger.GroupSpec{ID: "g", Model: "m", Samples: 12, StalenessBound: 1}, Attempt: 1}
	for i := range 12 {
		key := table.SampleKey("t", "g", i)
		s, _ := t.Samples.Upsert(key)
		*s = table.Sample{Trainer: "t", Group: "g", Index: i}
		g.Samples = append(g.Samples, t.Samples.Handle(key))
	}
	tr.GroupOrder = append(tr.GroupOrder, t.Groups.Handle(table.GroupKey("t", "g")))
	for _, id := range []string{"a1", "b1", "b2"} {
		h, _ := t.Hosts.Upsert(id)
		*h = table.Host{ID: id, Role: table.RoleEntry, Zone: id[:1], Address: id}
	}
	return t
}

func samplesByEntry(t *table.Tables) map[string]int {
	var out command.Outbox
	system.Generate()(time.Second, t, []event.Event{}, &out)
	sent := make(map[string]int)
	for _, c := range out.Take() {
		if c, ok := c.(command.GenerateSample); ok {
			sent[c.EntryID]++
		}
	}
	return sent
}

// TestSamplesSpreadOverEntryHosts guards against samples that are concentrated on
// the entry hosts of one zone, whose part of the engines' slots for training is too
// small for them.
func TestSamplesSpreadOverEntryHosts(t *testing.T) {
	require.Equal(t, map[string]int{"a1": 4, "b1": 4, "b2": 4}, samplesByEntry(waitingGroup(1)))
}

// TestSamplesWaitForVersion guards against samples that are sent before any engine
// has reached the required version. All entry hosts would refuse them, and the
// backoff would delay them.
func TestSamplesWaitForVersion(t *testing.T) {
	tables := waitingGroup(4)
	b, _ := tables.Backends.Upsert("e")
	*b = table.Backend{Name: "e", Kind: table.KindEngine, Model: "m", Active: 2, ReportSeen: 1}
	require.Empty(t, samplesByEntry(tables))
	b.Active = 3
	require.Len(t, samplesByEntry(tables), 3)
}
