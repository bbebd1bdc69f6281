package peer

import (
	"context"
	"sync"
	"time"

	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/status"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// groupsTimeout bounds the calls to all controllers, which run concurrently.
const groupsTimeout = 2 * time.Second

// ListGroups returns the groups of the controllers at the given addresses. It fails
// if any of them does not answer, so that an incomplete list is never returned.
func ListGroups(ctx context.Context, dialer *Dialer, addresses []string) ([]status.Group, error) {
	ctx, cancel := context.WithTimeout(ctx, groupsTimeout)
	defer cancel()
	parts := make([][]status.Group, len(addresses))
	failures := make([]error, len(addresses))
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() { parts[i], failures[i] = listGroups(ctx, dialer, address) })
	}
	calls.Wait()
	all := []status.Group{}
	for i, part := range parts {
		if failures[i] != nil {
			return nil, verdict.Wrap(failures[i], verdict.NotRun, verdict.ReasonOf(failures[i]), "list groups of controller %s", addresses[i])
		}
		all = append(all, part...)
	}
	return all, nil
}

func listGroups(ctx context.Context, dialer *Dialer, address string) ([]status.Group, error) {
	conn, err := dial(dialer, address)
	if err != nil {
		return nil, err
	}
	r, err := peerpb.NewControllerClient(conn).Groups(ctx, &peerpb.GroupsRequest{})
	if err != nil {
		return nil, ErrorOf(err)
	}
	groups := make([]status.Group, 0, len(r.GetGroups()))
	for _, g := range r.GetGroups() {
		groups = append(groups, status.Group{
			Trainer: g.GetTrainer(), Group: g.GetGroup(), Phase: g.GetPhase(),
			Finished: int(g.GetFinished()), Samples: int(g.GetSamples()),
			Attempt: int(g.GetAttempt()), AgeMS: g.GetAgeMs(),
		})
	}
	return groups, nil
}
