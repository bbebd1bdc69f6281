package table

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestHandleOfDeletedRowFindsNothing guards against a handle of a deleted row that
// returns the row that uses its slot next.
func TestHandleOfDeletedRowFindsNothing(t *testing.T) {
	var hosts Table[int]
	row, created := hosts.Upsert("a")
	require.True(t, created)
	*row = 1
	old := hosts.Handle("a")
	hosts.Delete("a")
	row, _ = hosts.Upsert("b")
	*row = 2
	require.Nil(t, hosts.Get(old))
	require.Equal(t, 2, *hosts.Get(hosts.Handle("b")))
	require.Nil(t, hosts.Get(Handle{}))
	require.Nil(t, hosts.Find("a"))
}

// TestTableMatchesMap guards against rows that are lost or duplicated by a sequence of
// inserts and deletes.
func TestTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rows Table[int]
		want := map[string]int{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			key := rapid.StringMatching("[a-f]").Draw(t, "key")
			if rapid.Bool().Draw(t, "delete") {
				rows.Delete(key)
				delete(want, key)
				continue
			}
			value := rapid.Int().Draw(t, "value")
			row, _ := rows.Upsert(key)
			*row = value
			want[key] = value
		}
		got := map[string]int{}
		for key, row := range rows.All() {
			got[key] = *row
		}
		require.Equal(t, want, got)
		require.Equal(t, len(want), rows.Len())
	})
}

// TestDeleteWhileIterating guards against an iteration that skips rows when the current
// one is deleted.
func TestDeleteWhileIterating(t *testing.T) {
	var rows Table[int]
	for _, key := range []string{"a", "b", "c"} {
		_, _ = rows.Upsert(key)
	}
	var seen []string
	for key := range rows.All() {
		seen = append(seen, key)
		rows.Delete(key)
	}
	require.Equal(t, []string{"a", "b", "c"}, seen)
	require.Zero(t, rows.Len())
}

func BenchmarkFind(b *testing.B) {
	var rows Table[Backend]
	for i := range 5100 {
		_, _ = rows.Upsert(PartitionKey(i))
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = rows.Find("4711")
	}
}
