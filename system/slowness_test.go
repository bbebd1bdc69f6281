package system_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
)

// TestSlowEngineIsAvoided guards against an engine that generates tokens at a
// quarter of the others' rate but receives as many requests and samples as they do.
func TestSlowEngineIsAvoided(t *testing.T) {
	loop := control.NewLoop(control.Options{
		Tables: table.New(table.Self{ID: "entry-1", Host: "entry-1", Zone: "a"}),
		Systems: []system.Named{
			{Run: system.Membership(time.Hour)}, {Run: system.LoadReports(time.Hour)}, {Run: system.Routing(system.RoutingOptions{})},
		},
	})
	loop.Step(0, []event.Event{listed("live", "m1", "m2", "m3")})
	var in []event.Event
	for _, name := range []string{"m1", "m2", "m3"} {
		report := reported(name, "boot", 4, 0)
		report.State.TokensPerSecond = 400
		if name == "m3" {
			report.State.TokensPerSecond = 100
		}
		in = append(in, report)
	}
	var p *plan.Plan
	commands, _ := loop.Step(time.Second, in)
	for _, c := range commands {
		if published, ok := c.(command.PublishPlan); ok {
			p = published.Plan
		}
	}
	require.NotNil(t, p)
	q := &plan.Query{Zone: "a", Training: true, TrainingShare: 1}
	samples := map[string]int{}
	for i := range uint64(30) {
		q.Random = i | (i*7)<<32
		if b := p.Pick(p.Models["match"], q); b != nil && p.Begin(b, q) {
			samples[b.Name]++
		}
	}
	require.GreaterOrEqual(t, samples["m1"], 8)
	require.LessOrEqual(t, samples["m3"], 3, "m3 must get at most about a quarter of its 8 slots")
}
