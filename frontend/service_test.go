package frontend_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/frontend"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/standin/pamoja"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// storeLot stores a lot of three items, two of which are listed, and returns its head.
func storeLot(t *testing.T, repo *lot.Repository) lot.StoredHead {
	ctx := context.Background()
	s := &lot.Submission{ID: "l", Items: []lot.Item{{ID: "i0"}, {ID: "i1"}, {ID: "i2"}}}
	created, _, err := repo.Create(ctx, s, lot.Head{ID: "l", Total: 3, Owner: lot.Process{Host: "owner"}, WriteID: "w"})
	require.NoError(t, err)
	h := created.Head
	h.Listed, h.WriteID = 2, "r"
	listed, _, err := repo.Append(ctx, h, created.Version, []lot.Result{{Item: "i0", Text: "a"}, {Item: "i1", Text: "b"}}, nil)
	require.NoError(t, err)
	return listed
}

// newService returns a service with one published head, whose age is *age.
func newService(repo *lot.Repository, known lot.StoredHead, age *time.Duration) *frontend.Service {
	s := &frontend.Service{
		Forwarder: &forward.Forwarder{Count: func(string, verdict.Reason) {}}, Repository: repo, Lots: frontend.NewLots(), Log: zap.NewNop(),
		LotsAge: func() time.Duration { return *age },
	}
	s.Lots.Publish(command.PublishLots{Lots: map[string]lot.StoredHead{"l": known}})
	return s
}

// TestListedResultsAreReadableWithoutStore guards against results that a trainer cannot read
// while the store, or the partition that holds them, is unavailable. During the outage of a
// partition, steps were lost although all their results had been listed.
func TestListedResultsAreReadableWithoutStore(t *testing.T) {
	rows := pamoja.NewStore()
	owner := &lot.Repository{Store: rows, Cache: new(lot.ResultCache)}
	known := storeLot(t, owner)
	rows.SetFault(func(pamoja.Call) pamoja.Outcome { return pamoja.RequestLost })
	ctx := context.Background()
	for _, age := range []time.Duration{0, time.Minute} {
		at := age
		page, err := newService(owner, known, &at).Results(ctx, forward.Caller{}, "l", 1, 0)
		require.NoError(t, err, "the owner has the results in its cache")
		require.Equal(t, "b", page.Results[0].Text)

		other := newService(&lot.Repository{Store: rows, Cache: new(lot.ResultCache)}, known, &at)
		_, err = other.Results(ctx, forward.Caller{}, "l", 0, 0)
		require.Error(t, err, "the address of the owner is not known")
		other.Peers.Publish(command.PublishPeers{Addresses: map[string]string{"owner": "x:1"}})
		other.PeerReader = func(string) lot.Reader { return owner.Cache.CachingClient(rows) }
		page, err = other.Results(ctx, forward.Caller{}, "l", 0, 0)
		require.NoError(t, err, "the results are read from the owner")
		require.Len(t, page.Results, 2)
		require.Equal(t, 3, page.Total)
	}
}

// TestOldHeadIsNotConclusive guards against the answer "no result yet" for a position that
// has been listed, and read at another host, since this host last read the heads.
func TestOldHeadIsNotConclusive(t *testing.T) {
	rows := pamoja.NewStore()
	repo := &lot.Repository{Store: rows, Cache: new(lot.ResultCache)}
	known := storeLot(t, repo)
	rows.SetFault(func(pamoja.Call) pamoja.Outcome { return pamoja.RequestLost })
	age := time.Duration(0)
	s := newService(repo, known, &age)
	page, err := s.Results(context.Background(), forward.Caller{}, "l", 2, 0)
	require.NoError(t, err)
	require.Empty(t, page.Results)
	age = time.Minute
	_, err = s.Results(context.Background(), forward.Caller{}, "l", 2, 0)
	require.Equal(t, verdict.NotRun, verdict.Of(err))
}
