package api

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/sync/errgroup"

	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Limits on trainers' requests.
const (
	maxGroupsPerCall   = 512
	maxSamplesPerGroup = 256
	maxSamplesPerCall  = 8192
	maxTokensPerSample = 1 << 20
	maxPullWait        = 10 * time.Minute
	// maxConcurrentFetches bounds the concurrent reads of the object store for
	// one batch.
	maxConcurrentFetches = 32
	// callTimeout bounds a call other than a pull. It is long enough for a
	// takeover of the partition, which takes about 9 s.
	callTimeout = 20 * time.Second
	// deliveryTimeout bounds the fetching and confirming of a batch. It is added
	// to the wait of a pull.
	deliveryTimeout = 60 * time.Second
)

// Controller calls the controller that holds a trainer's partition.
type Controller interface {
	SubmitGroups(ctx context.Context, trainer string, groups []ledger.GroupSpec) ([]string, error)
	DeclareVersion(ctx context.Context, trainer string, v ledger.Version) (ledger.Version, error)
	PullBatch(ctx context.Context, trainer string, p peer.PullRequest) (*ledger.BatchRecord, error)
	ConfirmBatch(ctx context.Context, trainer string, step int64, attempt int) (ledger.Version, error)
}

// TrainerHandlers handles the requests of trainers.
type TrainerHandlers struct {
	Controller   Controller
	Objects      tablestore.Objects
	MaxBodyBytes int64
}

// Register adds the trainers' routes.
func (t *TrainerHandlers) Register(e *echo.Echo, middleware ...echo.MiddlewareFunc) {
	g := e.Group("/v1/trainers/:name", append(middleware, requireOwnPath)...)
	g.POST("/groups", t.submit)
	g.PUT("/version", t.declare)
	g.POST("/pull", t.pull)
}

// requireOwnPath is a middleware that rejects requests of a trainer for the path of
// another trainer.
func requireOwnPath(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		principal, _ := c.Get("principal").(string)
		if principal == "" {
			return writeError(c, verdict.New(verdict.NotRun, verdict.ReasonUnauthenticated, "request has no authenticated principal"))
		}
		if principal != c.Param("name") {
			return writeError(c, verdict.New(verdict.NotRun, verdict.ReasonForbidden, "the path belongs to another trainer"))
		}
		if err := checkName("trainer", principal); err != nil {
			return writeError(c, err)
		}
		return next(c)
	}
}

func (t *TrainerHandlers) submit(c echo.Context) error {
	var body struct {
		Groups []ledger.GroupSpec `json:"groups"`
	}
	if err := decodeJSON(c, t.MaxBodyBytes, &body); err != nil {
		return writeError(c, err)
	}
	if err := checkGroups(body.Groups); err != nil {
		return writeError(c, err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), callTimeout)
	defer cancel()
	accepted, err := t.Controller.SubmitGroups(ctx, c.Param("name"), body.Groups)
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, map[string][]string{"accepted": accepted})
}

func (t *TrainerHandlers) declare(c echo.Context) error {
	var body struct {
		Version ledger.Version `json:"version"`
	}
	if err := decodeJSON(c, t.MaxBodyBytes, &body); err != nil {
		return writeError(c, err)
	}
	if body.Version <= 0 {
		return writeError(c, badRequest("version must be positive"))
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), callTimeout)
	defer cancel()
	current, err := t.Controller.DeclareVersion(ctx, c.Param("name"), body.Version)
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, map[string]ledger.Version{"version": current})
}

type pullRequest struct {
	Step    int64          `json:"step"`
	Version ledger.Version `json:"version"`
	Groups  int            `json:"groups"`
	WaitMS  int64          `json:"wait_ms"`
}

func (t *TrainerHandlers) pull(c echo.Context) error {
	var body pullRequest
	if err := decodeJSON(c, t.MaxBodyBytes, &body); err != nil {
		return writeError(c, err)
	}
	if err := checkPull(body); err != nil {
		return writeError(c, err)
	}
	wait := time.Duration(body.WaitMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(c.Request().Context(), wait+deliveryTimeout)
	defer cancel()
	batch, err := t.deliver(ctx, c.Param("name"), body, time.Now().Add(wait))
	if verdict.ReasonOf(err) == verdict.ReasonNotReady {
		return c.JSON(http.StatusAccepted, map[string]verdict.Reason{"reason": verdict.ReasonNotReady})
	}
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, batch)
}

// deliver pulls a batch, fetches its texts and confirms it. If the batch was replaced
// in the meantime, deliver pulls again until the wait ends at end.
func (t *TrainerHandlers) deliver(ctx context.Context, trainer string, r pullRequest, end time.Time) (*Batch, error) {
	for {
		batch, err := t.Controller.PullBatch(ctx, trainer, peer.PullRequest{
			Step: r.Step, Version: r.Version, Groups: r.Groups, Wait: max(0, time.Until(end)),
		})
		if err != nil {
			return nil, err
		}
		texts, fetchErr := t.fetchTexts(ctx, batch)
		if fetchErr == nil {
			batch.CheckedVersion, err = t.Controller.ConfirmBatch(ctx, trainer, batch.Step, batch.Attempt)
			if err == nil {
				return batchBody(batch, texts, time.Now()), nil
			}
		} else {
			err = fetchErr
		}
		if verdict.ReasonOf(err) != verdict.ReasonNotReady || !time.Now().Before(end) {
			return nil, err
		}
	}
}

// fetchTexts reads the texts of a batch. A missing text means that the batch was
// replaced and its texts were deleted.
func (t *TrainerHandlers) fetchTexts(ctx context.Context, batch *ledger.BatchRecord) ([]string, error) {
	texts := make([]string, len(batch.Samples))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentFetches)
	for i := range batch.Samples {
		g.Go(func() error {
			data, found, err := t.Objects.Get(ctx, batch.Samples[i].ObjectKey)
			if err != nil {
				return verdict.Wrap(err, verdict.NotRun, verdict.ReasonStoreUnavailable, "fetch sample text")
			}
			if !found {
				return verdict.New(verdict.NotRun, verdict.ReasonNotReady, "the text of a sample was deleted")
			}
			texts[i] = string(data)
			return nil
		})
	}
	return texts, g.Wait()
}
