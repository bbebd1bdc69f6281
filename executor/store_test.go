package executor_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/executor"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/standin/pamoja"
	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// slowObjects is a store that takes objectTime for each call for an object. It refuses the first
// read of each object, never answers that of one object, and takes slowTime for each of another.
type slowObjects struct {
	*pamoja.Store
	mu    sync.Mutex
	reads map[string]int
}

const (
	objectTime = 100 * time.Millisecond
	slowTime   = 5 * time.Second
)

func (s *slowObjects) GetObject(ctx context.Context, name string) ([]byte, error) {
	s.mu.Lock()
	s.reads[name]++
	first := s.reads[name] == 1
	s.mu.Unlock()
	took := objectTime
	switch {
	case strings.HasSuffix(name, "bucket-7-0") && first:
		took = time.Hour
	case strings.HasSuffix(name, "bucket-8-0"):
		took, first = slowTime, false
	}
	select {
	case <-time.After(took):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if first {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "refused")
	}
	return s.Store.GetObject(ctx, name)
}

func (s *slowObjects) DeleteObject(ctx context.Context, name string) error {
	time.Sleep(objectTime)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return s.Store.DeleteObject(ctx, name)
}

// TestLargeLotIsAdopted guards against a lot that no host can adopt because it takes longer to
// load than a fixed time, and against an adoption that begins anew after one failed read.
func TestLargeLotIsAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items, itemBytes, listed = 400, 75_000, 2 // 40 MB as stored
		slow := &slowObjects{Store: pamoja.NewStore(), reads: make(map[string]int)}
		repo := &lot.Repository{Store: slow}
		s := &lot.Submission{ID: "l", Host: "h", Path: "/p/", Model: "m"}
		for i := range items {
			s.Items = append(s.Items, lot.Item{ID: fmt.Sprintf("i%03d", i), Path: "/p/x", Body: make([]byte, itemBytes)})
		}
		stored, _, err := repo.Create(t.Context(), s, lot.Head{ID: "l", Total: items, WriteID: "w"})
		require.NoError(t, err)
		require.Greater(t, len(stored.Head.BucketParts), 60)
		h := stored.Head
		h.WriteID, h.Listed, h.HasProgress = "w2", listed, true
		var progress []lot.Progress
		for _, item := range s.Items[listed:] {
			progress = append(progress, lot.Progress{Item: item.ID, Events: []string{"e"}})
		}
		stored, _, err = repo.Append(t.Context(), h, stored.Version, []lot.Result{{Item: "i000"}, {Item: "i001"}}, progress)
		require.NoError(t, err)

		h = stored.Head
		h.WriteID, h.Owner = "w3", lot.Process{Host: "b", BootID: "1"}
		e := executor.AdoptLot(t.Context(), repo, command.AdoptLot{Head: h, Version: stored.Version}).(event.LotAdopted)
		require.Nil(t, e.Failure)
		require.Equal(t, s.Items, e.Submission.Items)
		require.Equal(t, []string{"i000", "i001"}, e.Listed)
		require.Len(t, e.Progress, items-listed)
	})
}

// TestLargeLotIsDeleted guards against a lot that is never deleted because the deletion of its
// objects takes longer than a fixed time and begins anew each time.
func TestLargeLotIsDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &slowObjects{Store: pamoja.NewStore(), reads: make(map[string]int)}
		repo := &lot.Repository{Store: slow}
		h := lot.Head{ID: "l", Total: 1, Ended: true, InObjects: true, WriteID: "w", BucketParts: make([]int, 300)}
		for i := range h.BucketParts {
			h.BucketParts[i] = 1
		}
		version, err := slow.Commit(t.Context(), store.Commit{Put: []store.Row{lot.HeadRow(h)}})
		require.NoError(t, err)
		e := executor.DeleteLot(t.Context(), repo, command.DeleteLot{Head: h, Version: version}).(event.LotDeleted)
		require.Nil(t, e.Failure)
		require.Zero(t, slow.Len())
	})
}
