package handler

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/bench"
	"github.com/lavenderstand/lavenderstand/claim"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/tablestore"
)

// BenchmarkWire reports the bytes that this process sends and receives in each
// exchange with the platform and with engines, and the number of table service
// operations.
func BenchmarkWire(b *testing.B) {
	ctx := context.Background()
	w := newWireFixture(b)
	w.fill("host/", 720, func(i int) any { h := bench.TargetHostRow(i); return hostValue{h.Host, h.Zone, h.Role, h.Address} })
	w.fill("lease/", 16, func(i int) any {
		return map[string]any{"holder": bench.TargetHostRow(i).ID, "address": bench.TargetHostRow(i).Address, "fence": 12, "length_ms": 6000}
	})
	raw, _ := json.Marshal(bench.TargetConfig(100))
	_, err := w.configStore("fill").Commit(ctx, 0, "operator-1", raw)
	require.NoError(b, err)
	list := make([]tablestore.ListedHost, 5100)
	for i := range list {
		list[i] = tablestore.ListedHost{Name: fmt.Sprintf("engine-%05d", i), Kind: "engine", Model: "matching", Address: "10.120.130.140:9001", Zone: "region-1-zone-a", State: "live"}
	}
	w.services.Hosts.Set(list)
	var leaseVersion, configVersion uint64
	claims := &claim.Store{Tables: w.Tables, ProcessID: bench.TargetHostRow(1).ID, NewOpID: w.NewOpID, Now: time.Now, Resolve: w.resolveOptions("claim")}
	n := 0
	for _, x := range []struct {
		name string
		run  func() error
	}{
		{"host_list_of_5100", func() error {
			return failureOf(w.readHostList(ctx, command.ReadHostList{}).(event.HostListRead).Failure)
		}},
		{"host_rows_of_720", func() error {
			return failureOf(w.readHostRows(ctx, command.ReadHostRows{}).(event.HostRowsRead).Failure)
		}},
		{"host_row_renewal", func() error {
			return failureOf(w.writeHostRow(ctx, command.WriteHostRow{Row: bench.TargetHostRow(1)}).(event.HostRowWritten).Failure)
		}},
		{"leases_of_16", func() error { return failureOf(w.readLeases(ctx, command.ReadLeases{}).(event.LeasesRead).Failure) }},
		{"lease_renewal", func() error {
			a := w.writeLease(ctx, command.WriteLease{Row: event.LeaseRow{Partition: 99, RowVersion: leaseVersion, Holder: bench.TargetHostRow(1).ID, Address: bench.TargetHostRow(1).Address, Fence: 1, TTL: 6 * time.Second}}).(event.LeaseWritten)
			leaseVersion = a.Row.RowVersion
			return failureOf(a.Failure)
		}},
		{"config_poll_of_100_routes", func() error { return failureOf(w.readConfig(ctx, command.ReadConfig{}).(event.ConfigRead).Failure) }},
		{"config_change_of_100_routes", func() error {
			configVersion++
			return failureOf(w.commitConfig(ctx, command.CommitConfig{ExpectedVersion: configVersion, Author: "operator-1", Body: bench.TargetConfig(100)}).(event.ConfigCommitted).Failure)
		}},
		{"weights_poll", func() error { return failureOf(w.readWeights(ctx, command.ReadWeights{}).(event.WeightsRead).Failure) }},
		{"claim_and_outcome", func() error {
			n++
			r, err := claims.Claim(ctx, "app-1", "claims", fmt.Sprint("key-", n), strings.Repeat("h", 64))
			if err != nil {
				return err
			}
			return claims.Finish(ctx, r.Handle, claim.Outcome{StatusCode: 200, ContentType: "application/json", Body: []byte(`{"id":1}`)})
		}},
		{"samples_512_in_one_write", func() error {
			n++
			rows := make([]command.RowWrite, 512)
			for i := range rows {
				s := bench.TargetSample(i)
				rows[i] = command.RowWrite{Key: fmt.Sprintf("sample/trainer-1/%d/%s/%d", n, s.Group, s.Index), Sample: &s}
			}
			return failureOf(w.commitRows(ctx, command.CommitRows{Rows: rows}).(event.RowsCommitted).Failure)
		}},
		{"lot_of_8192", func() error {
			n++
			return failureOf(w.commitRows(ctx, command.CommitRows{Rows: []command.RowWrite{
				{Key: fmt.Sprint("trainer/", n), Trainer: &ledger.TrainerRecord{BatchStep: 42}},
				{Key: fmt.Sprint("lot/trainer-1/", n), Batch: bench.TargetBatch(8192)},
			}}).(event.RowsCommitted).Failure)
		}},
		{"state_report", func() error {
			return failureOf(w.readState(ctx, command.ReadState{Backend: "engine-00001", Address: w.address}).(event.StateReported).Failure)
		}},
		{"cache_events_none", func() error {
			return failureOf(w.readCacheEvents(ctx, command.ReadCacheEvents{Backend: "engine-00001", Address: w.address}).(event.CacheReported).Failure)
		}},
		{"weight_order", func() error {
			return failureOf(w.orderWeights(ctx, command.OrderWeights{Backend: "engine-00001", Address: w.address, Deadline: time.Hour,
				Wanted: engine.Order{Fence: 12, OrderID: "matching/12/engine-00001/1234567890", Model: "matching", Preload: 4711, Active: 4711, IssuedBy: bench.TargetHostRow(1).ID}}).(event.OrderAnswered).Failure)
		}},
	} {
		b.Run(x.name, func(b *testing.B) {
			require.NoError(b, x.run()) // opens the connection
			before, in, out := w.services.Tables.Store.Ledger(), w.platform.BytesIn.Load()+w.engine.BytesIn.Load(), w.platform.BytesOut.Load()+w.engine.BytesOut.Load()
			for b.Loop() {
				require.NoError(b, x.run())
			}
			after := w.services.Tables.Store.Ledger()
			per := func(v int64) float64 { return float64(v) / float64(b.N) }
			b.ReportMetric(per(w.platform.BytesIn.Load()+w.engine.BytesIn.Load()-in), "B-sent/op")
			b.ReportMetric(per(w.platform.BytesOut.Load()+w.engine.BytesOut.Load()-out), "B-received/op")
			b.ReportMetric(per(int64(after.RowsWritten-before.RowsWritten)), "rows-written/op")
			b.ReportMetric(per(int64(after.Reads-before.Reads)), "reads/op")
		})
	}
}

func failureOf(f *event.Failure) error {
	if f == nil {
		return nil
	}
	return fmt.Errorf("%+v", *f)
}
