package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// LeaseReader reads the lease rows.
type LeaseReader interface {
	Leases(ctx context.Context) ([]event.LeaseRow, error)
}

// Delays and timeouts of the router.
const (
	// minRetryDelay and maxRetryDelay bound the delay before an attempt is
	// repeated. The delay doubles from one attempt to the next.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// minLeaseReadInterval is the minimum time between two reads of the lease
	// rows, so that calls that wait during a takeover share one read.
	minLeaseReadInterval = 200 * time.Millisecond
	leaseReadTimeout     = 2 * time.Second
	// attemptTimeout bounds one attempt, because a suspended holder keeps its
	// connections open but does not answer.
	attemptTimeout = 3 * time.Second
	// maxAttemptPullWait bounds the part of a pull's wait that one attempt
	// covers, for the same reason.
	maxAttemptPullWait = 5 * time.Second
)

// maxBatchBytes is the maximum size of the message that carries a batch. A batch of
// 8,192 samples with a few version ranges each takes less than a quarter of it.
const maxBatchBytes = 16 << 20

// ControllerRouter calls the controller that holds a trainer's partition. All its
// calls are safe to repeat. It repeats a call until the caller's deadline if the
// holder has changed or cannot be reached.
type ControllerRouter struct {
	dialer     *Dialer
	leases     LeaseReader
	partitions int

	mu      sync.Mutex
	holders map[int]string // addresses by partition
	readAt  time.Time
}

// NewControllerRouter returns a router for the given number of partitions.
func NewControllerRouter(dialer *Dialer, leases LeaseReader, partitions int) *ControllerRouter {
	return &ControllerRouter{dialer: dialer, leases: leases, partitions: partitions}
}

// holder returns the address of the partition's holder. If refresh is set, it reads
// the lease rows again unless they were read within minLeaseReadInterval.
func (r *ControllerRouter) holder(ctx context.Context, partition int, refresh bool) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holders == nil || (refresh && time.Since(r.readAt) >= minLeaseReadInterval) {
		ctx, cancel := context.WithTimeout(ctx, leaseReadTimeout)
		defer cancel()
		rows, err := r.leases.Leases(ctx)
		if err != nil {
			return "", verdict.Wrap(err, verdict.NotRun, verdict.ReasonStoreUnavailable, "read lease rows")
		}
		r.holders, r.readAt = make(map[int]string, len(rows)), time.Now()
		for _, row := range rows {
			r.holders[row.Partition] = row.Address
		}
	}
	if address := r.holders[partition]; address != "" {
		return address, nil
	}
	return "", verdict.New(verdict.NotRun, verdict.ReasonNotHolder, "partition %d has no holder", partition)
}

// callHolder runs do with a client of the holder of the trainer's partition. It
// repeats do until do succeeds, fails for a reason that another attempt cannot
// remedy, or ctx ends. The parameter limit bounds each attempt.
func callHolder[R any](ctx context.Context, r *ControllerRouter, trainer string, limit time.Duration, do func(context.Context, peerpb.ControllerClient) (R, error)) (R, error) {
	partition := ledger.PartitionOf(trainer, r.partitions)
	wait, refresh, mayHaveRun := minRetryDelay, false, false
	for {
		attemptCtx, cancel := context.WithTimeout(ctx, limit)
		result, sent, err := callHolderOnce(attemptCtx, r, partition, refresh, do)
		cancel()
		mayHaveRun = mayHaveRun || sent
		if err == nil || ctx.Err() != nil || !retryable(err) {
			return result, err
		}
		if !sleepJittered(ctx, wait) {
			return result, withEarlierAttempts(err, mayHaveRun)
		}
		wait, refresh = min(2*wait, maxRetryDelay), true
	}
}

// callHolderOnce makes one attempt. The result sent reports whether the call may
// have reached a controller.
func callHolderOnce[R any](ctx context.Context, r *ControllerRouter, partition int, refresh bool, do func(context.Context, peerpb.ControllerClient) (R, error)) (result R, sent bool, err error) {
	address, err := r.holder(ctx, partition, refresh)
	if err != nil {
		return result, false, err
	}
	conn, err := r.dialer.Conn(address)
	if err != nil {
		return result, false, verdict.Wrap(err, verdict.NotRun, verdict.ReasonConnectFailed, "dial controller")
	}
	result, err = do(ctx, peerpb.NewControllerClient(conn))
	err = ErrorOf(err)
	return result, verdict.Of(err) != verdict.NotRun, err
}

// retryable reports whether another attempt, possibly at another holder, may
// succeed.
func retryable(err error) bool {
	switch verdict.ReasonOf(err) {
	case verdict.ReasonNotHolder, verdict.ReasonConnectFailed, verdict.ReasonConnectionLost,
		verdict.ReasonStoreUnavailable, verdict.ReasonDraining, verdict.ReasonDeadline:
		return true
	}
	return false
}

// withEarlierAttempts returns err with the verdict MayHaveRun if any attempt may
// have taken effect.
func withEarlierAttempts(err error, mayHaveRun bool) error {
	if !mayHaveRun || verdict.Of(err) != verdict.NotRun {
		return err
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonOf(err), "an earlier attempt may have taken effect")
}

// sleepJittered waits between d/2 and d. It returns false if ctx ends first.
func sleepJittered(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d/2 + rand.N(d/2))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// SubmitGroups submits groups of a trainer and returns the ids of the accepted
// groups.
func (r *ControllerRouter) SubmitGroups(ctx context.Context, trainer string, groups []ledger.GroupSpec) ([]string, error) {
	m := &peerpb.SubmitGroupsRequest{Trainer: trainer}
	for _, g := range groups {
		m.Groups = append(m.Groups, specToProto(g))
	}
	answer, err := callHolder(ctx, r, trainer, attemptTimeout, func(ctx context.Context, c peerpb.ControllerClient) (*peerpb.SubmitGroupsResponse, error) {
		return c.SubmitGroups(ctx, m)
	})
	return answer.GetAccepted(), err
}

// DeclareVersion declares the weight version of a trainer and returns the version
// in force.
func (r *ControllerRouter) DeclareVersion(ctx context.Context, trainer string, v ledger.Version) (ledger.Version, error) {
	m := &peerpb.DeclareVersionRequest{Trainer: trainer, Version: int64(v)}
	answer, err := callHolder(ctx, r, trainer, attemptTimeout, func(ctx context.Context, c peerpb.ControllerClient) (*peerpb.DeclareVersionResponse, error) {
		return c.DeclareVersion(ctx, m)
	})
	return ledger.Version(answer.GetVersion()), err
}

// PullRequest holds the parameters of a trainer's pull of a batch.
type PullRequest struct {
	Step    int64
	Version ledger.Version
	Groups  int
	Wait    time.Duration
}

// PullBatch waits up to p.Wait for the batch of a step. It divides the wait into
// attempts of at most maxAttemptPullWait.
func (r *ControllerRouter) PullBatch(ctx context.Context, trainer string, p PullRequest) (*ledger.BatchRecord, error) {
	end := time.Now().Add(p.Wait)
	for {
		attemptWait := max(0, min(maxAttemptPullWait, time.Until(end)))
		answer, err := callHolder(ctx, r, trainer, attemptWait+attemptTimeout, func(ctx context.Context, c peerpb.ControllerClient) (*peerpb.PullLotResponse, error) {
			return c.PullLot(ctx, &peerpb.PullLotRequest{
				Trainer: trainer, Step: p.Step, Version: int64(p.Version), Groups: int32(p.Groups), WaitMs: attemptWait.Milliseconds(),
			}, grpc.MaxCallRecvMsgSize(maxBatchBytes))
		})
		if err == nil {
			return batchFromProto(trainer, answer), nil
		}
		if verdict.ReasonOf(err) != verdict.ReasonNotReady || !time.Now().Before(end) {
			return nil, err
		}
	}
}

// ConfirmBatch asks the holder whether a batch may be delivered now and returns the
// weight version against which the holder checked it.
func (r *ControllerRouter) ConfirmBatch(ctx context.Context, trainer string, step int64, batchAttempt int) (ledger.Version, error) {
	m := &peerpb.ConfirmLotRequest{Trainer: trainer, Step: step, Attempt: int32(batchAttempt)}
	answer, err := callHolder(ctx, r, trainer, attemptTimeout, func(ctx context.Context, c peerpb.ControllerClient) (*peerpb.ConfirmLotResponse, error) {
		return c.ConfirmLot(ctx, m)
	})
	return ledger.Version(answer.GetCheckedVersion()), err
}

// Groups returns the progress of a trainer's groups, or that of the groups of all
// holders if trainer is empty.
func (r *ControllerRouter) Groups(ctx context.Context, trainer string) ([]event.GroupStatus, error) {
	if trainer == "" {
		return r.allGroups(ctx)
	}
	m := &peerpb.GroupsRequest{Trainer: trainer}
	answer, err := callHolder(ctx, r, trainer, attemptTimeout, func(ctx context.Context, c peerpb.ControllerClient) (*peerpb.GroupsResponse, error) {
		return c.Groups(ctx, m)
	})
	return groupsFromProto(answer), err
}

func (r *ControllerRouter) allGroups(ctx context.Context) ([]event.GroupStatus, error) {
	var groups []event.GroupStatus
	var failures []error
	asked := make(map[string]bool)
	for partition := range r.partitions {
		address, err := r.holder(ctx, partition, partition == 0)
		if err != nil || asked[address] {
			continue
		}
		asked[address] = true
		conn, err := r.dialer.Conn(address)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		answer, err := peerpb.NewControllerClient(conn).Groups(ctx, &peerpb.GroupsRequest{})
		if err != nil {
			failures = append(failures, ErrorOf(err))
			continue
		}
		groups = append(groups, groupsFromProto(answer)...)
	}
	return groups, errors.Join(failures...)
}

func groupsFromProto(m *peerpb.GroupsResponse) []event.GroupStatus {
	groups := make([]event.GroupStatus, 0, len(m.GetGroups()))
	for _, g := range m.GetGroups() {
		groups = append(groups, groupStatusFromProto(g))
	}
	return groups
}
