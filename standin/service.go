package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/engine"
)

// maxServiceBodyBytes is the largest request body that a plain service or the
// balancer accepts.
const maxServiceBodyBytes = 1 << 20

// ServiceOptions configure a PlainService or a ScoringService.
type ServiceOptions struct {
	Name         string
	Model        string        // service name
	WorkDuration time.Duration // time that a request takes
	Journal      *Journal
	Exit         func(code int) // called by the crash fault
}

// ServiceFaults are the faults of a plain or scoring service. POST /admin/faults
// replaces all of them. A count applies to that many of the next requests.
type ServiceFaults struct {
	CrashAfterAccept int   `json:"die_after_accept"` // exit the process before it runs the n-th request
	CutBeforeRun     int   `json:"cut_before_run"`   // close the connection without running the request
	CutAfterRun      int   `json:"cut_after_run"`    // run the request, then close the connection
	Refuse           int   `json:"refuse"`           // answer 503 with X-Verdict: not_run
	Fail             int   `json:"fail"`             // run the request, then answer 500
	SlowMS           int64 `json:"slow_ms"`          // time added to each request
	FreezeReports    bool  `json:"freeze_reports"`   // do not renew the state report
	Leaving          bool  `json:"leaving"`          // refuse requests and report that the service is leaving
}

// service is the common part of plain and scoring services: state report, ledger
// and faults.
type service struct {
	options ServiceOptions
	bootID  string

	mu         sync.Mutex
	faults     ServiceFaults
	running    int
	report     engine.State
	reportedAt time.Time
}

func newService(o ServiceOptions) *service {
	if o.Journal == nil {
		o.Journal = new(Journal)
	}
	setExit(&o.Exit)
	return &service{options: o, bootID: newBootID()}
}

func (s *service) register(r *echo.Echo) {
	r.GET("/v1/state", s.state)
	r.GET("/admin/ledger", func(c echo.Context) error {
		return c.JSON(http.StatusOK, map[string]any{"entries": s.options.Journal.Entries()})
	})
	r.POST("/admin/faults", s.setFaults)
}

func (s *service) setFaults(c echo.Context) error {
	var faults ServiceFaults
	if err := decodeFaults(c, &faults); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	return c.JSON(http.StatusOK, faults)
}

// maxServiceReportAge is the age at which the state report is renewed.
const maxServiceReportAge = 250 * time.Millisecond

func (s *service) state(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reportedAt.IsZero() || (!s.faults.FreezeReports && time.Since(s.reportedAt) > maxServiceReportAge) {
		s.reportedAt = time.Now()
		s.report = engine.State{
			Name: s.options.Name, BootID: s.bootID, Model: s.options.Model,
			Running: s.running, Slots: serviceSlots, Leaving: s.faults.Leaving,
		}
	}
	report := s.report
	report.AgeMS = time.Since(s.reportedAt).Milliseconds()
	return c.JSON(http.StatusOK, report)
}

// serviceSlots is the number of concurrent requests that a service reports as its
// capacity.
const serviceSlots = 64

// outcome holds the faults that apply to one request.
type outcome struct {
	crash, cutBefore, cutAfter, refuse, fail bool
	leaving                                  bool
	work                                     time.Duration
}

// begin counts a request as running and returns its faults.
func (s *service) begin() outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.faults
	o := outcome{leaving: f.Leaving, work: s.options.WorkDuration + time.Duration(f.SlowMS)*time.Millisecond}
	switch {
	case f.Leaving:
	case take(&f.Refuse):
		o.refuse = true
	case take(&f.CrashAfterAccept):
		o.crash = f.CrashAfterAccept == 0
	case take(&f.CutBeforeRun):
		o.cutBefore = true
	case take(&f.CutAfterRun):
		o.cutAfter = true
	case take(&f.Fail):
		o.fail = true
	}
	s.running++
	return o
}

func (s *service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// run applies the faults to a request and records its execution. answer sends the
// response.
func (s *service) run(c echo.Context, entry JournalEntry, answer func() error) error {
	o := s.begin()
	defer s.end()
	switch {
	case o.leaving:
		return refuse(c, engine.ReasonLeaving)
	case o.refuse:
		return refuse(c, "fault")
	case o.crash:
		s.options.Exit(1)
	case o.cutBefore:
		panic(http.ErrAbortHandler)
	}
	// The work does not end when the client disconnects, so that tests cover
	// requests that ran although the client got no response.
	pause(context.WithoutCancel(c.Request().Context()), o.work)
	entry.Kind, entry.Completed = EntryRun, true
	s.options.Journal.Add(entry)
	switch {
	case o.cutAfter:
		panic(http.ErrAbortHandler)
	case o.fail:
		return c.String(http.StatusInternalServerError, "fault")
	}
	return answer()
}

// refuse answers a request that was not executed with 503 and verdict not_run.
func refuse(c echo.Context, reason string) error {
	c.Response().Header().Set("X-Verdict", "not_run")
	return c.JSON(http.StatusServiceUnavailable, engine.Refusal{Verdict: "not_run", Reason: reason})
}

// PlainService is a fake plain service. It executes every request that it accepts,
// including repeated ones, so that Verify can detect a request that ran twice.
type PlainService struct{ *service }

// NewPlainService returns a plain service.
func NewPlainService(o ServiceOptions) *PlainService { return &PlainService{service: newService(o)} }

// Register adds the service's routes.
func (p *PlainService) Register(r *echo.Echo) {
	p.register(r)
	r.Any("/*", p.serve)
}

func (p *PlainService) serve(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxServiceBodyBytes))
	if err != nil {
		return echo.ErrStatusRequestEntityTooLarge
	}
	r := c.Request()
	entry := JournalEntry{
		RequestID: r.Header.Get("X-Request-Id"), Key: r.Header.Get("Idempotency-Key"),
		Route: r.Method + " " + r.URL.Path,
	}
	return p.run(c, entry, func() error {
		c.Response().Header().Set("X-Request-Id", entry.RequestID)
		return c.String(http.StatusOK, ServiceAnswer(r.Method, r.URL.Path, body))
	})
}

// ServiceAnswer returns the response body of a plain service to a request. It
// depends only on the request, so that Verify can check it.
func ServiceAnswer(method, path string, body []byte) string {
	h := xxhash.New()
	_, _ = h.WriteString(method + " " + path + "\n")
	_, _ = h.Write(body)
	return "done " + strconv.FormatUint(h.Sum64(), 16)
}

// ScoringService is a fake scoring service.
type ScoringService struct{ *service }

// NewScoringService returns a scoring service.
func NewScoringService(o ServiceOptions) *ScoringService {
	return &ScoringService{service: newService(o)}
}

// Register adds the service's routes.
func (s *ScoringService) Register(r *echo.Echo) {
	s.register(r)
	r.POST("/v1/score", s.score)
}

func (s *ScoringService) score(c echo.Context) error {
	var request engine.ScoreRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	return s.run(c, JournalEntry{Key: request.Group, Route: "POST /v1/score"}, func() error {
		answer := engine.ScoreAnswer{Scores: make([]float64, len(request.Samples))}
		for i, sample := range request.Samples {
			answer.Scores[i] = ScoreOf(sample.Text)
		}
		return c.JSON(http.StatusOK, answer)
	})
}
