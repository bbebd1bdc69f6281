package main

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/api"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/executor"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/frontend"
	"github.com/lavenderstand/lavenderstand/platform"
	"github.com/lavenderstand/lavenderstand/status"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// maxExplainBytes bounds a question. The body of a request decides only whether it is in
	// quarantine.
	maxExplainBytes = 4 << 20
	// explainTimeout bounds the wait for the control loop, which answers within a tick.
	explainTimeout = 3 * time.Second
)

// requestExplainer explains requests without counting them as refused.
type requestExplainer struct{ *frontend.Service }

// Admit implements platform.Explainer.
func (e requestExplainer) Admit(host, path string, keys []string) (*desired.Route, forward.Caller, error) {
	return e.Forwarder.Admit(host, path, keys)
}

// handleExplain answers what this host would do with a request, or with the items of a lot.
func (h *host) handleExplain(w http.ResponseWriter, r *http.Request) {
	var q status.ExplainQuery
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxExplainBytes))
	decoder.DisallowUnknownFields()
	if decoder.Decode(&q) != nil || (q.Request == nil) == (q.Lot == "" && q.Item == "") { // the error could contain a key
		writeExplainError(w, http.StatusBadRequest, verdict.ReasonBadRequest, "the question is not a request, a lot or an item")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), explainTimeout)
	defer cancel()
	e := h.explanationHeader()
	var err error
	if q.Request != nil {
		var request status.RequestExplanation
		request, err = platform.Explain(ctx, requestExplainer{h.service}, q.Request)
		e.Request = &request
	} else {
		e.Lot, err = h.explainLot(ctx, q)
	}
	if err != nil {
		writeExplainError(w, explainStatus(err), verdict.ReasonOf(err), verdict.Message(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e) // fails only if the client has disconnected
}

// explanationHeader states whose view an explanation is, and how old.
func (h *host) explanationHeader() status.Explanation {
	e := status.Explanation{Host: h.settings.Host, BootID: h.self.BootID, FeedAgesMS: make(map[string]int64)}
	if plan := h.service.Plans.Load(); plan != nil {
		e.PlanAgeMS = status.Millis(h.clock.Now() - plan.At)
		if plan.Desired != nil {
			e.DesiredVersion = plan.Desired.Version
		}
	}
	for name, f := range map[string]*executor.Feed{"coordination": h.coordinationFeed, "operators": h.operatorsFeed, "servers": h.serversFeed} {
		e.FeedAgesMS[name] = -1
		if age := f.Age(); age != math.MaxInt64 {
			e.FeedAgesMS[name] = status.Millis(age)
		}
	}
	return e
}

func (h *host) explainLot(ctx context.Context, q status.ExplainQuery) (*status.LotExplanation, error) {
	id := strconv.FormatUint(rand.Uint64(), 36)
	c, err := h.waiters.Call(ctx, h.inbox, id, event.ExplainRequested{RequestID: id, Lot: q.Lot, Item: q.Item})
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonDeadline, "the control loop has not answered")
	}
	answer := c.(command.AnswerExplain)
	if f := answer.Failure; f != nil {
		return nil, verdict.New(f.Verdict, f.Reason, "%s", f.Message)
	}
	return answer.Explanation, nil
}

func explainStatus(err error) int {
	switch verdict.ReasonOf(err) {
	case verdict.ReasonUnknownLot:
		return http.StatusNotFound
	case verdict.ReasonBadRequest:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

func writeExplainError(w http.ResponseWriter, code int, reason verdict.Reason, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(api.ErrorBody{Error: api.ErrorDetail{Message: message, Reason: reason, Verdict: verdict.NotRun}})
}
