package peer

import (
	"context"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// SampleRunner generates samples and stores their texts.
type SampleRunner interface {
	RunSample(ctx context.Context, r ledger.SampleRequest) (ledger.SampleRecord, error)
}

// GenerateServer implements Generate, the call of the Entry service that controllers
// use. The server of the whole service embeds it or delegates to it.
type GenerateServer struct{ Runner SampleRunner }

// Generate generates a sample for a controller.
func (g GenerateServer) Generate(ctx context.Context, r *peerpb.GenerateRequest) (*peerpb.GenerateResponse, error) {
	record, err := g.Runner.RunSample(ctx, requestFromProto(r))
	if err != nil {
		return nil, StatusOf(err)
	}
	return &peerpb.GenerateResponse{Sample: sampleToProto(&ledger.BatchSample{SampleRecord: record})}, nil
}

// MaxConcurrentSamples is the maximum number of samples that one controller has in
// progress at entry hosts. The bound per trainer that the control loop applies is
// lower in normal operation.
const MaxConcurrentSamples = 16384

// Generator executes command.GenerateSample.
type Generator struct {
	Dialer  *Dialer
	Timeout time.Duration // for one sample
}

// Run asks the entry host of the command to generate the sample.
func (g Generator) Run(ctx context.Context, c command.GenerateSample) event.Event {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	started := time.Now()
	record, err := generate(ctx, g.Dialer, c)
	record.Group, record.Index, record.Attempt = c.Spec.ID, c.Index, c.Attempt
	record.FinishedUnixMS = time.Now().UnixMilli()
	return event.SampleGenerated{
		Trainer: c.Trainer, EntryID: c.EntryID, Record: record,
		Failure: event.FailureOf(err), Took: time.Since(started),
	}
}

func generate(ctx context.Context, dialer *Dialer, c command.GenerateSample) (ledger.SampleRecord, error) {
	conn, err := dialer.Conn(c.Address)
	if err != nil {
		return ledger.SampleRecord{}, verdict.Wrap(err, verdict.NotRun, verdict.ReasonConnectFailed, "dial entry host")
	}
	m, err := peerpb.NewEntryClient(conn).Generate(ctx, requestToProto(ledger.SampleRequest{
		Trainer: c.Trainer, Class: c.Class, Spec: c.Spec, Index: c.Index, Attempt: c.Attempt,
		Urgent: c.Urgent, MinVersion: c.MinVersion,
	}))
	if err != nil {
		return ledger.SampleRecord{}, ErrorOf(err)
	}
	record := sampleFromProto(m.GetSample()).SampleRecord
	if record.Group != c.Spec.ID || record.Index != c.Index || record.Attempt != c.Attempt {
		return ledger.SampleRecord{}, verdict.New(verdict.Ran, verdict.ReasonForeignAnswer,
			"entry host answered for another sample or attempt: got sample %s/%d", record.Group, record.Index)
	}
	return record, nil
}
