package lot_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/standin/pamoja"
	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// objectCounter counts the objects that are read.
type objectCounter struct {
	*pamoja.Store
	mu            sync.Mutex
	read, largest int
}

func (c *objectCounter) GetObject(ctx context.Context, name string) ([]byte, error) {
	data, err := c.Store.GetObject(ctx, name)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read++
	c.largest = max(c.largest, len(data))
	return data, err
}

func largeSubmission(items, bodyBytes int) *lot.Submission {
	s := &lot.Submission{ID: lotID, Host: "h", Path: "/p/", Model: "m", Step: 3}
	for i := range items {
		s.Items = append(s.Items, lot.Item{
			ID: fmt.Sprintf("i%d", i), Path: "/p/x", Headers: map[string]string{"Model": "m"}, Group: fmt.Sprint(i / 8),
			Body: []byte(strings.Repeat(string(rune('a'+i%26)), bodyBytes)), EstimatedTokens: 10,
		})
	}
	return s
}

// TestItemOfLargeSubmission guards against a read of one body that reads the whole submission,
// and against items that are lost or reordered by the way in which it is stored.
func TestItemOfLargeSubmission(t *testing.T) {
	ctx := context.Background()
	for _, size := range []struct{ items, bodyBytes int }{{2000, 1500}, {3, 700_000}, {1, 13_000_000}} {
		objects := &objectCounter{Store: pamoja.NewStore()}
		repo := &lot.Repository{Store: objects}
		s := largeSubmission(size.items, size.bodyBytes)
		stored, _, err := repo.Create(ctx, s, headOf(s, "w"))
		require.NoError(t, err)
		for _, i := range []int{0, size.items / 2, size.items - 1} {
			objects.read = 0
			body, err := repo.ItemBody(ctx, &stored.Head, s.Items[i].ID)
			require.NoError(t, err)
			require.Equal(t, s.Items[i].Body, body)
			require.LessOrEqual(t, objects.read, 1+size.bodyBytes/5_000_000)
		}
		if size.items > 100 {
			require.Less(t, objects.largest, 1_000_000)
		}
		_, err = repo.ItemBody(ctx, &stored.Head, "unknown")
		require.Equal(t, verdict.ReasonUnknownLot, verdict.ReasonOf(err))
		body, err := repo.Body(ctx, stored.Head)
		require.NoError(t, err)
		require.Equal(t, s, body)
		require.NoError(t, repo.Delete(ctx, stored))
		require.Zero(t, objects.Len())
	}
}

// TestSubmissionOfEarlierRelease guards against lots that cannot be run or deleted after an
// upgrade.
func TestSubmissionOfEarlierRelease(t *testing.T) {
	ctx := context.Background()
	rows := pamoja.NewStore()
	repo := &lot.Repository{Store: rows}
	s := largeSubmission(300, 3000)
	data, err := json.Marshal(s)
	require.NoError(t, err)
	require.NoError(t, rows.PutObject(ctx, "lot-"+lotID+"-0", data[:500_000]))
	require.NoError(t, rows.PutObject(ctx, "lot-"+lotID+"-1", data[500_000:]))
	h := headOf(s, "w")
	h.InObjects, h.BodyChunks = true, 2
	version, err := rows.Commit(ctx, store.Commit{Put: []store.Row{lot.HeadRow(h)}})
	require.NoError(t, err)
	body, err := repo.Body(ctx, h)
	require.NoError(t, err)
	require.Equal(t, s, body)
	item, err := repo.ItemBody(ctx, &h, "i299")
	require.NoError(t, err)
	require.Equal(t, s.Items[299].Body, item)
	require.NoError(t, repo.Delete(ctx, lot.StoredHead{Head: h, Version: version}))
	require.Zero(t, rows.Len())
}

// BenchmarkItemBody measures a read of one request body.
func BenchmarkItemBody(b *testing.B) {
	for _, items := range []int{72, 8192} {
		b.Run(fmt.Sprint(items), func(b *testing.B) {
			repo := &lot.Repository{Store: pamoja.NewStore()}
			s := largeSubmission(items, 2400)
			stored, _, err := repo.Create(context.Background(), s, headOf(s, "w"))
			require.NoError(b, err)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				if _, err := repo.ItemBody(context.Background(), &stored.Head, s.Items[n*31%items].ID); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
