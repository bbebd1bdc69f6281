package frontend

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// maxLotsAge is the maximum age of the published heads at which this host may answer from
	// them that there are no new results. Readers rely on seeing a result at every host
	// within one second of its first read at any host.
	maxLotsAge = 900 * time.Millisecond
	// acceptTimeout bounds the store calls that create or end a lot.
	acceptTimeout = 2500 * time.Millisecond
	// readTimeout bounds a read from the store for a trainer. Trainers repeat failed reads.
	readTimeout = 1200 * time.Millisecond
	// peerReadTimeout bounds a read from another host, which responds from memory. It leaves
	// time for a read from the store if that host is unavailable.
	peerReadTimeout = 300 * time.Millisecond
	// itemReadCopies is the number of copies of what a read of one item takes that exist at
	// the same time: encoded and decoded.
	itemReadCopies = 2
)

// Service is the front end of a host.
type Service struct {
	*forward.Forwarder
	Repository *lot.Repository
	Lots       *Lots
	Runners    Runners
	Now        func() time.Duration // clock of the times in published snapshots
	Self       lot.Process
	Deliver    func(context.Context, event.Event) error
	LotsAge    func() time.Duration // age of the published heads
	Peers      Peers
	PeerReader func(address string) lot.Reader // reads results from the cache of another host
	Log        *zap.Logger

	writes atomic.Uint64
}

// Ready reports whether the host has received a desired state and is not draining.
func (s *Service) Ready() bool {
	plan := s.Plans.Load()
	return !s.Stopping() && plan != nil && plan.Desired != nil
}

// Admit returns the route and the caller of a request.
func (s *Service) Admit(host, path string, keys []string) (*desired.Route, forward.Caller, error) {
	route, caller, err := s.Forwarder.Admit(host, path, keys)
	if err != nil {
		s.Count("refused", verdict.ReasonOf(err))
	}
	return route, caller, err
}

// LogRefusal records that a request was refused while its body was read.
func (s *Service) LogRefusal(requestID string, err error) {
	s.Count("refused", verdict.ReasonOf(err))
	s.Log.Info("request refused", zap.String("request", requestID), zap.Stringer("verdict", verdict.Of(err)),
		zap.String("reason", string(verdict.ReasonOf(err))), zap.String("error", verdict.Message(err)))
}

// Limits returns the limits of the desired state. They are zero until the first desired
// state is known.
func (s *Service) Limits() desired.Limits {
	if plan := s.Plans.Load(); plan != nil && plan.Desired != nil {
		return plan.Desired.Limits
	}
	return desired.Limits{}
}

// CheckSubmission returns an error while the host accepts no submissions.
func (s *Service) CheckSubmission() error {
	if s.Stopping() {
		return verdict.New(verdict.NotRun, verdict.ReasonDraining, "this host is draining and accepts no submissions")
	}
	return nil
}

// Accept stores a submission, and starts the lot if this process is to run it. It returns
// nil if the lot is already stored, so a submission may be repeated by callers that may access
// the lot. An error with the verdict not run guarantees that no item of the submission runs.
func (s *Service) Accept(ctx context.Context, caller forward.Caller, sub *lot.Submission) error {
	if err := s.CheckSubmission(); err != nil {
		return err
	}
	sub.Organisation = caller.Organisation
	if known, ok, _ := s.Lots.lot(sub.ID); ok {
		return s.acceptRepeated(caller, sub.ID, &known.Head)
	}
	// The commit continues if the caller disconnects, so that its outcome becomes known.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), acceptTimeout)
	defer cancel()
	head := lot.Head{
		ID: sub.ID, Owner: s.runner(sub.Model), Model: sub.Model, Organisation: sub.Organisation, Total: len(sub.Items), EstimatedTokens: sub.EstimatedTokens(),
		AcceptedUnixMS: time.Now().UnixMilli(), WriteID: s.newWriteID(),
	}
	start := time.Now()
	created, existing, err := s.Repository.Create(ctx, sub, head)
	fields := []zap.Field{
		zap.String("lot", sub.ID), zap.Int("items", len(sub.Items)), zap.String("model", sub.Model), zap.Int("step", sub.Step),
		zap.Duration("took", time.Since(start)), zap.String("runner", head.Owner.Host),
		zap.String("organisation", sub.Organisation),
	}
	switch {
	case err != nil:
		s.Count("refused", verdict.ReasonOf(err))
		s.Log.Info("submission not accepted", append(fields, zap.Stringer("verdict", verdict.Of(err)), zap.String("error", verdict.Message(err)))...)
		return err
	case existing != nil:
		return s.acceptRepeated(caller, sub.ID, &existing.Head)
	}
	s.Log.Info("submission accepted", append(fields, zap.Uint64("row_version", created.Version))...)
	if head.Owner != s.Self {
		return nil // the runner receives the lot through its feed
	}
	return s.Deliver(ctx, event.LotAccepted{Submission: sub, Head: created.Head, Version: created.Version})
}

const (
	// minRunnerCPURatio is the minimum CPU share of another host, relative to that of this
	// host, at which this host assigns a lot to it.
	minRunnerCPURatio = 0.75
)

// runner returns the process that should run a lot. It prefers the process that runs the
// other lots of the model, because that process tracks the load of the model's engines and
// has connections to them. It returns no process if this host has a low CPU share, so that
// another host adopts the lot.
func (s *Service) runner(model string) lot.Process {
	known, ok := s.Runners.runner(model)
	alive := ok && s.Now() < known.AliveUntil
	switch {
	case alive && float64(known.Owner.CPUMillicores) >= minRunnerCPURatio*float64(s.Self.CPUMillicores):
		return known.Owner
	case s.Self.LowCPU():
		return lot.Process{}
	default:
		return s.Self
	}
}

// newWriteID returns a WriteID that is unique to one commit of a lot.
func (s *Service) newWriteID() string {
	return fmt.Sprintf("%s/%s/front/%d", s.Self.Host, s.Self.BootID, s.writes.Add(1))
}

// Results returns a page of the results of a lot, starting at position after. If there are
// none yet, it waits for them for up to wait.
func (s *Service) Results(ctx context.Context, caller forward.Caller, id string, after int, wait time.Duration) (lot.Page, error) {
	if err := s.CheckStop(time.Now().Add(wait + 2*readTimeout)); err != nil {
		return lot.Page{}, s.readFailure(id, err)
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		// A listed result stays listed, so the published head may be of any age here.
		if known, ok, _ := s.Lots.lot(id); ok && known.Head.Listed > after {
			if err := s.checkAccess(caller, &known.Head); err != nil {
				return lot.Page{}, err
			}
			return s.page(ctx, &known.Head, after)
		}
		stored, changed, err := s.head(ctx, caller, id)
		if err != nil {
			return lot.Page{}, err
		}
		h := &stored.Head
		if h.Listed > after {
			return s.page(ctx, h, after)
		}
		if wait <= 0 || !h.Open() {
			return lot.Page{Total: h.Total}, nil
		}
		select {
		case <-ctx.Done():
			return lot.Page{}, verdict.New(verdict.NotRun, verdict.ReasonCanceled, "the trainer disconnected while it waited for results")
		case <-deadline.C:
			wait = 0
		case <-changed:
		}
	}
}

// head returns the published head of a lot that the caller may access, or reads it from the
// store if the published heads are too old or do not include the lot.
func (s *Service) head(ctx context.Context, caller forward.Caller, id string) (lot.StoredHead, <-chan struct{}, error) {
	head, known, changed := s.Lots.lot(id)
	if known && s.LotsAge() < maxLotsAge {
		return head, changed, s.checkAccess(caller, &head.Head)
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	stored, err := s.readHead(ctx, id, head, known)
	if err != nil {
		return lot.StoredHead{}, nil, s.readFailure(id, caller.HideLot(err))
	}
	return stored, changed, s.checkAccess(caller, &stored.Head)
}

// readHead reads the head of a lot from the store. If a head is published, it reads only the
// candidate partition of that head.
func (s *Service) readHead(ctx context.Context, id string, published lot.StoredHead, known bool) (lot.StoredHead, error) {
	if !known {
		return s.Repository.Head(ctx, id)
	}
	stored, err := s.Repository.HeadAt(ctx, id, published.Head.CandidateIndex)
	if err == nil && stored.Version == 0 {
		err = verdict.New(verdict.NotRun, verdict.ReasonInternal, "the head of lot %s no longer exists", id)
	}
	return stored, err
}

// page returns a page of results that a head lists. It reads them from the cache, the store
// or the owner of the lot, which caches the results that it lists.
func (s *Service) page(ctx context.Context, h *lot.Head, after int) (lot.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sources := []func(context.Context, *lot.Head, int) ([]lot.Result, error){s.Repository.Results, s.ownerResults}
	if s.LotsAge() >= maxLotsAge {
		slices.Reverse(sources) // the store has not responded for a while
	}
	results, err := sources[0](ctx, h, after)
	if err != nil {
		var secondErr error
		if results, secondErr = sources[1](ctx, h, after); secondErr != nil {
			return lot.Page{}, s.readFailure(h.ID, errors.Join(err, secondErr))
		}
	}
	return lot.Page{Total: h.Total, Results: results}, nil
}

// ownerResults reads results from the host that runs the lot.
func (s *Service) ownerResults(ctx context.Context, h *lot.Head, after int) ([]lot.Result, error) {
	address, ok := s.Peers.address(h.Owner.Host)
	if !ok || h.Owner.Host == s.Self.Host {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonConnectFailed, "the owner of lot %s, host %q, is this host or has no known address", h.ID, h.Owner.Host)
	}
	ctx, cancel := context.WithTimeout(ctx, peerReadTimeout)
	defer cancel()
	return s.Repository.ReadResults(ctx, s.PeerReader(address), h, after)
}

// readFailure counts and logs a failed read and returns the error for the trainer. Its
// verdict is not run: nothing was changed, and the trainer may read from another host.
func (s *Service) readFailure(id string, err error) error {
	reason := verdict.ReasonOf(err)
	s.Count("refused", reason)
	if reason == verdict.ReasonUnknownLot || reason == verdict.ReasonUnauthenticated {
		return err
	}
	s.Log.Info("lot could not be read", zap.String("lot", id), zap.String("reason", string(reason)), zap.String("error", verdict.Message(err)))
	if reason != verdict.ReasonDraining {
		reason = verdict.ReasonStoreUnavailable
	}
	return verdict.Wrap(err, verdict.NotRun, reason, "read of lot %s", id)
}

// ItemBody returns the request body of an item.
func (s *Service) ItemBody(ctx context.Context, caller forward.Caller, id, item string) ([]byte, error) {
	if err := s.CheckStop(time.Now().Add(readTimeout)); err != nil {
		return nil, s.readFailure(id, err)
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	stored, _, err := s.head(ctx, caller, id)
	if err != nil {
		return nil, err
	}
	scope := s.MemoryScope()
	defer scope.Close()
	if err := scope.Open(nil).Resize(itemReadCopies * stored.Head.ItemReadBytes()); err != nil {
		s.LogRefusal(id, err)
		return nil, err
	}
	body, err := s.Repository.ItemBody(ctx, &stored.Head, item)
	if err != nil {
		return nil, s.readFailure(id, err)
	}
	return body, nil
}

// End ends a lot: its remaining items no longer run. It is idempotent.
func (s *Service) End(ctx context.Context, caller forward.Caller, id string) error {
	if err := s.CheckStop(time.Now().Add(acceptTimeout)); err != nil {
		s.Count("refused", verdict.ReasonOf(err))
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), acceptTimeout)
	defer cancel()
	known, ok, _ := s.Lots.lot(id)
	var err error
	if !ok {
		known, err = s.Repository.Head(ctx, id)
	}
	if err == nil {
		if err := s.checkAccess(caller, &known.Head); err != nil {
			return err
		}
		known, err = s.Repository.End(ctx, id, known, s.newWriteID())
	}
	if err != nil {
		if err := caller.HideLot(err); verdict.ReasonOf(err) == verdict.ReasonUnknownLot || verdict.ReasonOf(err) == verdict.ReasonUnauthenticated {
			return err
		}
		s.Log.Info("lot not ended", zap.String("lot", id), zap.String("error", verdict.Message(err)))
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonStoreUnavailable, "end of lot %s", id)
	}
	s.Log.Info("lot ended", zap.String("lot", id), zap.Int("listed", known.Head.Listed), zap.Int("total", known.Head.Total))
	read := event.HeadsRead{Heads: []event.HeadRow{{ID: id, Head: known.Head, Version: known.Version}}}
	return s.Deliver(ctx, read)
}
