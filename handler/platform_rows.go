package handler

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Key prefixes of rows. The prefix of weight rows is followed by the name of the
// model, the others by the name of the trainer.
const (
	trainerPrefix = "trainer/"
	groupPrefix   = "group/"
	samplePrefix  = "sample/"
	batchPrefix   = "lot/"
	weightsPrefix = "weights/"
)

// commitRows commits the rows in one transaction.
func (p *PlatformDeps) commitRows(ctx context.Context, c command.CommitRows) event.Event {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	txn, err := p.transaction(c.Rows)
	if err != nil {
		return event.RowsCommitted{ID: c.ID, Failure: event.FailureOf(err)}
	}
	options := p.resolveOptions(c.Name())
	// Created rows can be treated as write-once. The holder changes a row only
	// after the outcome of the row's creation is known, and another holder changes
	// it only after a takeover, which cannot happen within writeTimeout.
	options.WriteOnce = tablestore.EveryCreatedRow
	options.AbsentIsCommitted = true // rows are deleted only for cleanup
	result, err := tablestore.CommitResolved(ctx, p.Tables, txn, options)
	return event.RowsCommitted{
		ID: c.ID, Committed: result.Committed, Versions: result.Versions, Failure: event.FailureOf(err),
	}
}

func (p *PlatformDeps) transaction(rows []command.RowWrite) (tablestore.Txn, error) {
	txn := tablestore.Txn{Op: p.NewOpID()}
	for _, row := range rows {
		if !row.AnyVersion {
			txn.If = append(txn.If, tablestore.Condition{Key: row.Key, Version: row.IfVersion})
		}
		if row.Delete {
			txn.Delete = append(txn.Delete, row.Key)
			continue
		}
		value, err := encodeRow(row)
		if err != nil {
			return txn, err
		}
		txn.Put = append(txn.Put, tablestore.Put{Key: row.Key, Value: value})
	}
	return txn, txn.Check()
}

// encodeRow encodes the record of the row, of whichever kind is set.
func encodeRow(row command.RowWrite) (value json.RawMessage, err error) {
	switch {
	case row.Trainer != nil:
		value, err = json.Marshal(row.Trainer)
	case row.Group != nil:
		value, err = json.Marshal(row.Group)
	case row.Sample != nil:
		value, err = json.Marshal(row.Sample)
	case row.Batch != nil:
		value, err = json.Marshal(row.Batch)
	default:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "row %s has no record", row.Key)
	}
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "encode row %s", row.Key)
	}
	return value, nil
}

// loadTrainer reads all rows of a trainer, the trainer row first. A change after
// that read makes the holder's next write of the trainer row fail, so an
// inconsistent view of the other rows has no durable effect.
func (p *PlatformDeps) loadTrainer(ctx context.Context, c command.LoadTrainer) event.Event {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	loaded, err := p.readTrainer(ctx, c.Trainer)
	if err != nil {
		return event.TrainerLoaded{Trainer: event.TrainerRow{Name: c.Trainer}, Failure: event.FailureOf(err)}
	}
	return loaded
}

func (p *PlatformDeps) readTrainer(ctx context.Context, name string) (event.TrainerLoaded, error) {
	loaded := event.TrainerLoaded{Trainer: event.TrainerRow{Name: name}}
	row, found, err := p.Tables.Get(ctx, trainerPrefix+name)
	if err != nil {
		return loaded, err
	}
	if found {
		if err := json.Unmarshal(row.Value, &loaded.Trainer.Record); err != nil {
			// A malformed trainer row cannot be skipped, because the trainer's
			// progress is unknown without it.
			p.count(CounterMalformedRows, map[string]string{"kind": "trainer"})
			return loaded, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadAnswer, "decode trainer row %s", row.Key)
		}
		loaded.Trainer.RowVersion = row.Version
	}
	suffix := name + "/"
	groups, err := p.Tables.Scan(ctx, groupPrefix+suffix)
	if err != nil {
		return loaded, err
	}
	samples, err := p.Tables.Scan(ctx, samplePrefix+suffix)
	if err != nil {
		return loaded, err
	}
	batches, err := p.Tables.Scan(ctx, batchPrefix+suffix)
	if err != nil {
		return loaded, err
	}
	loaded.Groups = decodeRows(p, "group", groups, groupDecoder(name))
	loaded.Samples = decodeRows(p, "sample", samples, sampleDecoder(name))
	loaded.Batches = decodeRows(p, "lot", batches, decodeBatch)
	return loaded, nil
}

func groupDecoder(trainer string) func(tablestore.Row) (event.GroupRow, error) {
	return func(row tablestore.Row) (event.GroupRow, error) {
		var r ledger.GroupRecord
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return event.GroupRow{}, err
		}
		if r.Spec.ID == "" || r.Spec.Samples <= 0 || row.Key != groupPrefix+trainer+"/"+r.Spec.ID {
			return event.GroupRow{}, errorx.IllegalFormat.New("group row %s has no samples or a wrong id %q", row.Key, r.Spec.ID)
		}
		return event.GroupRow{Trainer: trainer, RowVersion: row.Version, Record: r}, nil
	}
}

func sampleDecoder(trainer string) func(tablestore.Row) (event.SampleRow, error) {
	return func(row tablestore.Row) (event.SampleRow, error) {
		var r ledger.SampleRecord
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return event.SampleRow{}, err
		}
		if r.Group == "" || r.Index < 0 || !strings.HasPrefix(row.Key, samplePrefix+trainer+"/"+r.Group+"/") {
			return event.SampleRow{}, errorx.IllegalFormat.New("sample row %s has a negative index or a wrong group %q", row.Key, r.Group)
		}
		if err := ledger.CheckRanges(r.Ranges, r.Tokens); err != nil {
			return event.SampleRow{}, err
		}
		return event.SampleRow{Trainer: trainer, Record: r}, nil
	}
}

func decodeBatch(row tablestore.Row) (ledger.BatchRecord, error) {
	var r ledger.BatchRecord
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, err
	}
	if r.Step < 0 || !strings.HasPrefix(row.Key, batchPrefix+r.Trainer+"/") {
		return r, errorx.IllegalFormat.New("batch row %s has a wrong trainer %q or a negative step %d", row.Key, r.Trainer, r.Step)
	}
	return r, nil
}

func decodeWeights(row tablestore.Row) (event.WeightsRow, error) {
	var v struct {
		Version ledger.Version `json:"version"`
	}
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return event.WeightsRow{}, err
	}
	model := strings.TrimPrefix(row.Key, weightsPrefix)
	if model == "" || v.Version <= 0 {
		return event.WeightsRow{}, errorx.IllegalFormat.New("weights row %s has no model or an invalid version %d", row.Key, v.Version)
	}
	return event.WeightsRow{Model: model, RowVersion: row.Version, Version: v.Version}, nil
}

func (p *PlatformDeps) readWeights(ctx context.Context, _ command.ReadWeights) event.Event {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, err := p.Tables.Scan(ctx, weightsPrefix)
	if err != nil {
		return event.WeightsRead{Failure: event.FailureOf(err)}
	}
	return event.WeightsRead{Rows: decodeRows(p, "weights", rows, decodeWeights)}
}
