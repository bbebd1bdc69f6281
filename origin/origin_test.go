package origin_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/origin"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/standin/pamoja"
	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

func Example() {
	ctx, s := context.Background(), pamoja.NewStore()
	stream := origin.StreamOf("engines", "attempt-1")
	if _, err := origin.WriteRecord(ctx, s, "host-1", origin.Record{stream: "v1"}, 0); err != nil {
		fmt.Println(err)
	}
	found, err := origin.Find(ctx, s, []origin.Stream{stream, origin.StreamOf("engines", "attempt-2")})
	fmt.Println(len(found), found[stream], err)
	// Output: 1 v1 <nil>
}

// TestRecordsOfAllHostsAreRead guards against a stream whose record another host overwrites or
// hides, and against an identification that two services share.
func TestRecordsOfAllHostsAreRead(t *testing.T) {
	ctx, s := context.Background(), pamoja.NewStore()
	a, b, c := origin.StreamOf("x", "1"), origin.StreamOf("x", "2"), origin.StreamOf("y", "1")
	first, err := origin.WriteRecord(ctx, s, "h1", origin.Record{a: "v1", b: "v2"}, 0)
	require.NoError(t, err)
	_, err = origin.WriteRecord(ctx, s, "h2", origin.Record{c: "v3"}, 0)
	require.NoError(t, err)
	found, err := origin.Find(ctx, s, []origin.Stream{a, b, c, origin.StreamOf("y", "2")})
	require.NoError(t, err)
	require.Equal(t, map[origin.Stream]registry.Software{a: "v1", b: "v2", c: "v3"}, found)

	held, err := origin.WriteRecord(ctx, s, "h1", origin.Record{}, 0)
	require.Equal(t, verdict.ReasonConflict, verdict.ReasonOf(err))
	require.Equal(t, first, held, "what the row of an earlier process holds")
	require.NoError(t, origin.Purge(ctx, s))
	found, err = origin.Find(ctx, s, []origin.Stream{a, b, c})
	require.NoError(t, err)
	require.Empty(t, found)
}

// TestLargestRecordFitsInOneRow guards against a record that the store refuses.
func TestLargestRecordFitsInOneRow(t *testing.T) {
	const rowBytes = 64 << 10
	ctx, s := context.Background(), pamoja.NewStore()
	r := make(origin.Record)
	for i := range origin.MaxStreams {
		r[origin.StreamOf("service", fmt.Sprint(i))] = registry.Software(fmt.Sprintf("v%d", i%3))
	}
	_, err := origin.WriteRecord(ctx, s, "h", r, 0)
	require.NoError(t, err)
	rows, err := s.Read(ctx, "stream_origins", "", "", 0)
	require.NoError(t, err)
	require.LessOrEqual(t, len(rows.Rows[0].Value), rowBytes)
}

// TestHistory guards against a lost history, and against the row of another service whose name
// begins with the same letters.
func TestHistory(t *testing.T) {
	ctx, s := context.Background(), pamoja.NewStore()
	require.NoError(t, origin.WriteHistory(ctx, s, "engines-2", []registry.Software{"v9"}, 0))
	versions, err := origin.ReadHistory(ctx, s, "engines")
	require.NoError(t, err)
	require.Empty(t, versions)
	require.NoError(t, origin.WriteHistory(ctx, s, "engines", []registry.Software{"v1", "v2"}, 0))
	versions, err = origin.ReadHistory(ctx, s, "engines")
	require.NoError(t, err)
	require.Equal(t, []registry.Software{"v1", "v2"}, versions)
	require.Equal(t, verdict.ReasonConflict, verdict.ReasonOf(origin.WriteHistory(ctx, s, "engines", nil, 0)))
}

// FuzzParse guards against rows of other programs that end the process.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"s":{"v1":"AAAAAAAAAAE="}}`))
	f.Add([]byte(`["v1"]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		ctx, s := context.Background(), pamoja.NewStore()
		s.Set("stream_origins", "h", data)
		if _, err := origin.Find(ctx, s, []origin.Stream{origin.StreamOf("s", "a")}); err != nil {
			t.Fatal(err)
		}
		_, _ = origin.ParseHistory(store.Row{Key: store.Key{Table: lot.TableCoordination, Name: "software/s"}, Value: data})
	})
}

// BenchmarkRecord measures the size of a record and the time to write and to search it.
func BenchmarkRecord(b *testing.B) {
	ctx, s := context.Background(), pamoja.NewStore()
	const streams = 1000
	r := make(origin.Record)
	for i := range streams {
		r[origin.StreamOf("engines", fmt.Sprint(i))] = registry.Software(fmt.Sprintf("v%d", i%2))
	}
	var version uint64
	b.Run("write", func(b *testing.B) {
		for b.Loop() {
			stored, err := origin.WriteRecord(ctx, s, "h", r, version)
			require.NoError(b, err)
			version = stored.Version
		}
		rows, err := s.Read(ctx, "stream_origins", "", "", 0)
		require.NoError(b, err)
		b.ReportMetric(float64(len(rows.Rows[0].Value))/streams, "B/stream")
	})
	b.Run("find", func(b *testing.B) {
		wanted := []origin.Stream{origin.StreamOf("engines", "1"), origin.StreamOf("engines", "none")}
		for b.Loop() {
			_, err := origin.Find(ctx, s, wanted)
			require.NoError(b, err)
		}
	})
}
