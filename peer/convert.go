package peer

import (
	"time"

	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
)

func specToProto(s ledger.GroupSpec) *peerpb.GroupSpec {
	return &peerpb.GroupSpec{
		Id: s.ID, Model: s.Model, Prompt: s.Prompt, Samples: int32(s.Samples),
		MaxTokens: int32(s.MaxTokens), StalenessBound: s.StalenessBound, Scorer: s.Scorer,
	}
}

func specFromProto(m *peerpb.GroupSpec) ledger.GroupSpec {
	return ledger.GroupSpec{
		ID: m.GetId(), Model: m.GetModel(), Prompt: m.GetPrompt(), Samples: int(m.GetSamples()),
		MaxTokens: int(m.GetMaxTokens()), StalenessBound: m.GetStalenessBound(), Scorer: m.GetScorer(),
	}
}

func sampleToProto(s *ledger.BatchSample) *peerpb.Sample {
	m := &peerpb.Sample{
		Group: s.Group, Index: int32(s.Index), Attempt: int32(s.Attempt), Tokens: int32(s.Tokens),
		ObjectKey: s.ObjectKey, Backend: s.Backend, Score: s.Score,
		FinishedUnixMs: s.FinishedUnixMS,
	}
	for _, r := range s.Ranges {
		m.Ranges = append(m.Ranges, &peerpb.Range{From: int32(r.From), To: int32(r.To), Version: int64(r.Version)})
	}
	return m
}

func sampleFromProto(m *peerpb.Sample) ledger.BatchSample {
	s := ledger.BatchSample{Score: m.GetScore(), SampleRecord: ledger.SampleRecord{
		Group: m.GetGroup(), Index: int(m.GetIndex()), Attempt: int(m.GetAttempt()), Tokens: int(m.GetTokens()),
		ObjectKey: m.GetObjectKey(), Backend: m.GetBackend(),
		FinishedUnixMS: m.GetFinishedUnixMs(),
	}}
	for _, r := range m.GetRanges() {
		s.Ranges = append(s.Ranges, ledger.Range{
			From: int(r.GetFrom()), To: int(r.GetTo()), Version: ledger.Version(r.GetVersion()),
		})
	}
	return s
}

func requestToProto(r ledger.SampleRequest) *peerpb.GenerateRequest {
	return &peerpb.GenerateRequest{
		Trainer: r.Trainer, Class: r.Class, Spec: specToProto(r.Spec), Index: int32(r.Index),
		Attempt: int32(r.Attempt), Urgent: r.Urgent, MinVersion: int64(r.MinVersion),
	}
}

func requestFromProto(m *peerpb.GenerateRequest) ledger.SampleRequest {
	return ledger.SampleRequest{
		Trainer: m.GetTrainer(), Class: m.GetClass(), Spec: specFromProto(m.GetSpec()), Index: int(m.GetIndex()),
		Attempt: int(m.GetAttempt()), Urgent: m.GetUrgent(), MinVersion: ledger.Version(m.GetMinVersion()),
	}
}

func batchToProto(batch *ledger.BatchRecord) *peerpb.PullLotResponse {
	m := &peerpb.PullLotResponse{Step: batch.Step, Attempt: int32(batch.Attempt), CheckedVersion: int64(batch.CheckedVersion)}
	for i := range batch.Samples {
		m.Samples = append(m.Samples, sampleToProto(&batch.Samples[i]))
	}
	return m
}

// batchFromProto returns the parts of a batch that an entry host needs. The message
// does not carry the staleness bounds, which only the holder needs.
func batchFromProto(trainer string, m *peerpb.PullLotResponse) *ledger.BatchRecord {
	batch := &ledger.BatchRecord{
		Trainer: trainer, Step: m.GetStep(), Attempt: int(m.GetAttempt()),
		CheckedVersion: ledger.Version(m.GetCheckedVersion()),
	}
	for _, s := range m.GetSamples() {
		batch.Samples = append(batch.Samples, sampleFromProto(s))
	}
	return batch
}

func groupStatusToProto(s event.GroupStatus) *peerpb.GroupStatus {
	return &peerpb.GroupStatus{
		Trainer: s.Trainer, Group: s.Group, Phase: s.Phase, Finished: int32(s.Finished),
		Samples: int32(s.Samples), Attempt: int32(s.Attempt), AgeMs: s.Age.Milliseconds(),
	}
}

func groupStatusFromProto(m *peerpb.GroupStatus) event.GroupStatus {
	return event.GroupStatus{
		Trainer: m.GetTrainer(), Group: m.GetGroup(), Phase: m.GetPhase(), Finished: int(m.GetFinished()),
		Samples: int(m.GetSamples()), Attempt: int(m.GetAttempt()), Age: time.Duration(m.GetAgeMs()) * time.Millisecond,
	}
}
