package handler

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/standin"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

type fixture struct {
	*PlatformDeps
	tables  *standin.MemoryTables
	objects *standin.MemoryObjects
	mu      sync.Mutex
	counts  map[string]int
}

func newFixture() *fixture {
	f := &fixture{tables: standin.NewMemoryTables(1), objects: standin.NewMemoryObjects(1), counts: map[string]int{}}
	f.PlatformDeps = &PlatformDeps{
		Tables: f.tables, Objects: f.objects, Clock: func() time.Duration { return time.Minute },
		NewOpID: tablestore.OpIDs(rand.Uint64), Random: func() float64 { return 0.05 },
		Count: func(counter string, tags map[string]string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.counts[counter+" "+tags["kind"]]++
		},
	}
	return f
}

func (f *fixture) putRaw(key, value string) {
	f.tables.Store.Apply(tablestore.Txn{Put: []tablestore.Put{{Key: key, Value: json.RawMessage(value)}}})
}

func trainerRows(step int64, version uint64) []command.RowWrite {
	sample := ledger.SampleRecord{Group: "g", Tokens: 2, Ranges: []ledger.Range{{From: 0, To: 2, Version: 3}}}
	return []command.RowWrite{
		{Key: "trainer/t", IfVersion: version, Trainer: &ledger.TrainerRecord{Version: 3, BatchStep: step}},
		{Key: "group/t/g", AnyVersion: true, Group: &ledger.GroupRecord{Spec: ledger.GroupSpec{ID: "g", Samples: 1}}},
		{Key: "sample/t/g/0", AnyVersion: true, Sample: &sample},
		{Key: fmt.Sprintf("lot/t/%d", step), Batch: &ledger.BatchRecord{Trainer: "t", Step: step, Groups: []string{"g"}}},
	}
}

// TestCommitAndLoadTrainer guards against rows that a holder writes and the next
// holder cannot read. The answer to the write is lost.
func TestCommitAndLoadTrainer(t *testing.T) {
	f := newFixture()
	f.tables.Injector.Set(standin.PlatformFaults{LoseAnswers: 1}, 0)
	e := f.commitRows(context.Background(), command.CommitRows{ID: 7, Rows: trainerRows(1, 0)}).(event.RowsCommitted)
	require.Nil(t, e.Failure)
	require.True(t, e.Committed)
	require.Equal(t, uint64(7), e.ID)
	require.Equal(t, uint64(1), e.Versions["trainer/t"])
	e = f.commitRows(context.Background(), command.CommitRows{Rows: trainerRows(2, 0)}).(event.RowsCommitted)
	require.Nil(t, e.Failure)
	require.False(t, e.Committed, "a write of an outdated row version must not commit")

	f.putRaw("group/t/bad", `{"spec":{}}`)
	f.putRaw("sample/t/g/1", `{"group":"g","index":1,"tokens":5,"ranges":[]}`)
	f.putRaw("lot/t/9", `"x"`)
	loaded := f.loadTrainer(context.Background(), command.LoadTrainer{Trainer: "t"}).(event.TrainerLoaded)
	require.Nil(t, loaded.Failure)
	require.Equal(t, uint64(1), loaded.Trainer.RowVersion)
	require.Len(t, loaded.Groups, 1)
	require.Len(t, loaded.Samples, 1)
	require.Len(t, loaded.Batches, 1)
	for _, kind := range []string{"group", "sample", "lot"} {
		require.Equal(t, 1, f.counts[CounterMalformedRows+" "+kind], kind)
	}
	f.putRaw("trainer/t", `[]`)
	loaded = f.loadTrainer(context.Background(), command.LoadTrainer{Trainer: "t"}).(event.TrainerLoaded)
	require.NotNil(t, loaded.Failure, "a malformed trainer row must fail the load")
}

// TestCommitRowsLimits guards against sending transactions that the table service
// rejects as too large, and against writing rows without a record.
func TestCommitRowsLimits(t *testing.T) {
	f := newFixture()
	rows := make([]command.RowWrite, tablestore.MaxTxnRows+1)
	for i := range rows {
		rows[i] = command.RowWrite{Key: fmt.Sprint(i), Delete: true, AnyVersion: true}
	}
	for _, c := range [][]command.RowWrite{rows, {{Key: "a"}}, nil} {
		e := f.commitRows(context.Background(), command.CommitRows{Rows: c}).(event.RowsCommitted)
		require.Equal(t, verdict.NotRun, e.Failure.Verdict)
		require.Equal(t, verdict.ReasonBadRequest, e.Failure.Reason)
	}
	require.Empty(t, f.tables.Store.Ledger().Commits)
}

// TestLeaseHostWeightsRows guards against a malformed row that makes the valid
// rows unreadable, and against a host row that a delayed renewal restores after
// the graceful shutdown.
func TestLeaseHostWeightsRows(t *testing.T) {
	f, ctx := newFixture(), context.Background()
	w := f.writeLease(ctx, command.WriteLease{
		Row: event.LeaseRow{Partition: 3, Holder: "h", Fence: 1, TTL: 6 * time.Second},
	}).(event.LeaseWritten)
	require.True(t, w.Committed)
	require.Equal(t, time.Minute, w.SentAt)
	f.putRaw("lease/x", `{}`)
	f.putRaw("lease/03", `{}`)
	require.Equal(t, []event.LeaseRow{w.Row}, f.readLeases(ctx, command.ReadLeases{}).(event.LeasesRead).Rows)
	require.Equal(t, 2, f.counts[CounterMalformedRows+" lease"])

	row := event.HostRow{ID: "e1#1", Host: "e1", Zone: "a", Role: "entry", Address: "127.0.0.1:1"}
	require.Nil(t, f.writeHostRow(ctx, command.WriteHostRow{Row: row}).(event.HostRowWritten).Failure)
	f.tables.Injector.Set(standin.PlatformFaults{LateWrites: 1}, 0)
	require.Nil(t, f.writeHostRow(ctx, command.WriteHostRow{Row: row}).(event.HostRowWritten).Failure)
	f.putRaw("host/bad", `{"host":""}`)
	row.RowVersion = 2
	require.Equal(t, []event.HostRow{row}, f.readHostRows(ctx, command.ReadHostRows{}).(event.HostRowsRead).Rows)
	f.tables.Injector.Set(standin.PlatformFaults{LoseAnswers: 1}, 0)
	require.Nil(t, f.writeHostRow(ctx, command.WriteHostRow{Row: row, Delete: true}).(event.HostRowWritten).Failure)
	require.Zero(t, f.tables.ApplyLate())
	require.Empty(t, f.readHostRows(ctx, command.ReadHostRows{}).(event.HostRowsRead).Rows)

	f.putRaw("weights/m", `{"model":"m","version":4,"object_key":"k","size":1}`)
	f.putRaw("weights/bad", `{}`)
	weights := f.readWeights(ctx, command.ReadWeights{}).(event.WeightsRead)
	require.Equal(t, []event.WeightsRow{{Model: "m", RowVersion: 1, Version: 4}}, weights.Rows)
}

// TestConfigCommands guards against a conflict that does not report the accepted
// change, and against a failed read that is taken for a missing configuration.
func TestConfigCommands(t *testing.T) {
	f, ctx := newFixture(), context.Background()
	change := command.CommitConfig{RequestID: "1", Author: "a", Body: plan.Config{Policy: plan.PolicyConfig{MaxAheadGroups: 2}}}
	first := f.commitConfig(ctx, change).(event.ConfigCommitted)
	require.True(t, first.Committed)
	change.Author, change.Deadline = "b", time.Minute+time.Second
	second := f.commitConfig(ctx, change).(event.ConfigCommitted)
	require.Nil(t, second.Failure)
	require.False(t, second.Committed)
	require.Equal(t, "a", second.Author)
	require.Equal(t, 2, second.Body.Policy.MaxAheadGroups)
	read := f.readConfig(ctx, command.ReadConfig{}).(event.ConfigRead)
	require.Equal(t, uint64(1), read.Version)
	f.tables.Injector.Set(standin.PlatformFaults{Down: true}, 0)
	require.NotNil(t, f.readConfig(ctx, command.ReadConfig{}).(event.ConfigRead).Failure)
	f.tables.Injector.Set(standin.PlatformFaults{}, 0)
	f.putRaw("config/current", `{"version":3,"body":[]}`)
	require.NotNil(t, f.readConfig(ctx, command.ReadConfig{}).(event.ConfigRead).Failure)
}

// TestRegisterPlatform guards against a command without an executor, which
// would never be answered.
func TestRegisterPlatform(t *testing.T) {
	f := newFixture()
	f.Hosts = tablestore.NewHostListClient("http://127.0.0.1:1", nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	dispatcher := control.NewDispatcher(ctx, control.NewInbox(1), func(c command.Command) { t.Errorf("no executor for %s", c.Name()) })
	RegisterPlatform(dispatcher, *f.PlatformDeps)
	for _, c := range []command.Command{
		command.ReadHostList{}, command.ReadHostRows{}, command.WriteHostRow{}, command.ReadConfig{}, command.CommitConfig{},
		command.ReadLeases{}, command.WriteLease{}, command.LoadTrainer{}, command.CommitRows{}, command.DeleteObjects{},
		command.ReadWeights{},
	} {
		require.True(t, dispatcher.Registered(c.Name()), c.Name())
	}
}

// FuzzDecoders guards against a stored row that makes a decoder panic.
func FuzzDecoders(f *testing.F) {
	f.Add("lease/3", []byte(`{"holder":"a","fence":1,"length_ms":6000}`))
	f.Add("group/t/g", []byte(`{"spec":{"id":"g","samples":2},"newer":1}`))
	f.Add("sample/t/g/0", []byte(`{"group":"g","tokens":1,"ranges":[{"from":0,"to":1,"version":1}]}`))
	f.Add("lot/t/1", []byte(`{"trainer":"t","step":1,"samples":[{}]}`))
	f.Fuzz(func(_ *testing.T, key string, value []byte) {
		row := tablestore.Row{Key: key, Version: 1, Value: value}
		_, _ = decodeLease(row)
		_, _ = decodeHost(row)
		_, _ = groupDecoder("t")(row)
		_, _ = sampleDecoder("t")(row)
		_, _ = decodeBatch(row)
		_, _ = decodeWeights(row)
	})
}

// BenchmarkBatchCommit reports the number of table service operations per frozen
// batch.
func BenchmarkBatchCommit(b *testing.B) {
	f := newFixture()
	for step := int64(0); b.Loop(); step++ {
		rows := []command.RowWrite{
			{Key: "trainer/t", IfVersion: uint64(step), Trainer: &ledger.TrainerRecord{BatchStep: step}},
			{Key: fmt.Sprintf("lot/t/%d", step), Batch: &ledger.BatchRecord{Trainer: "t", Step: step}},
		}
		f.commitRows(context.Background(), command.CommitRows{Rows: rows})
	}
	l := f.tables.Store.Ledger()
	b.ReportMetric(float64(l.RowsWritten)/float64(b.N), "rows-written/op")
	b.ReportMetric(float64(l.Reads)/float64(b.N), "reads/op")
}
