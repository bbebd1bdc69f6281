package bench

import (
	"fmt"

	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/plan"
)

// TargetHostRow returns the row of entry host i. Its names and addresses have the
// lengths that are expected at the target size of a deployment.
func TargetHostRow(i int) event.HostRow {
	return event.HostRow{
		ID: fmt.Sprintf("entry-%05d-1889f0c2b1a4e3d7", i), Host: fmt.Sprintf("entry-%05d", i), Zone: "region-1-zone-a",
		Role: "entry", Address: "10.120.130.140:8081",
	}
}

// TargetConfig returns a configuration with 12 classes, the given number of routes and
// 4 trainers.
func TargetConfig(routes int) plan.Config {
	c := plan.Config{Classes: map[string]plan.ClassConfig{}, Routes: map[string]plan.RouteConfig{}, Trainers: map[string]plan.TrainerConfig{}}
	for i := range 12 {
		c.Classes[fmt.Sprint("class-", i)] = plan.ClassConfig{LatencyMS: 250, OnTimeShare: 0.99}
	}
	for i := range routes {
		c.Routes[fmt.Sprint("route-", i)] = plan.RouteConfig{Service: fmt.Sprint("service-", i), Class: "class-1"}
	}
	for i := range 4 {
		c.Trainers[fmt.Sprint("trainer-", i)] = plan.TrainerConfig{Model: "matching", Class: "class-11"}
	}
	return c
}

// TargetSample returns finished sample i. Its weights changed once during generation.
func TargetSample(i int) ledger.SampleRecord {
	return ledger.SampleRecord{
		Group: fmt.Sprintf("step-00042-group-%04d", i/16), Index: i % 16, Attempt: 1, Tokens: 1500,
		Ranges:    []ledger.Range{{From: 0, To: 900, Version: 4711}, {From: 900, To: 1500, Version: 4712}},
		ObjectKey: fmt.Sprintf("samples/trainer-1/step-00042-group-%04d/%d/0123456789abcdef", i/16, i%16),
		Backend:   fmt.Sprintf("engine-%05d", i), FinishedUnixMS: 1796371200000,
	}
}

// TargetBatch returns a batch with the given number of samples, in groups of 16.
func TargetBatch(samples int) *ledger.BatchRecord {
	batch := &ledger.BatchRecord{Trainer: "trainer-1", Step: 42, Attempt: 1, CheckedVersion: 4712}
	for i := range samples {
		batch.Samples = append(batch.Samples, ledger.BatchSample{SampleRecord: TargetSample(i), Score: 0.123456, StalenessBound: 2})
		if i%16 == 0 {
			batch.Groups = append(batch.Groups, TargetSample(i).Group)
		}
	}
	return batch
}
