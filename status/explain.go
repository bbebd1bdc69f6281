package status

import (
	"net/http"

	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// ExplainQuery asks a host what it would do now with a request, or with the items of a lot.
// Exactly one of Request, Lot and Item alone is set; Lot and Item together select one item.
type ExplainQuery struct {
	Request *RequestQuery `json:"request,omitempty"`
	Lot     string        `json:"lot,omitempty"`
	Item    string        `json:"item,omitempty"`
}

// RequestQuery describes a request of a caller.
type RequestQuery struct {
	Method string      `json:"method"`
	Host   string      `json:"host"`
	Path   string      `json:"path"` // with query
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Explanation is the answer to an ExplainQuery. It is the view of one host.
type Explanation struct {
	Host           string `json:"host"`
	BootID         string `json:"lifetime"`
	DesiredVersion uint64 `json:"desired_version"`
	PlanAgeMS      int64  `json:"plan_age_ms"` // since control published the plan, which it does after each change
	// FeedAgesMS is the time since a table of the store was last known to be current, -1 if it
	// was never read.
	FeedAgesMS map[string]int64    `json:"feed_ages_ms"`
	Request    *RequestExplanation `json:"request,omitempty"`
	Lot        *LotExplanation     `json:"lot,omitempty"`
}

// RequestExplanation is the decision about a request that arrives now.
type RequestExplanation struct {
	Route        string            `json:"route,omitempty"`
	Kind         string            `json:"kind,omitempty"`
	Organisation string            `json:"organisation,omitempty"`
	Priority     int               `json:"priority"`
	Service      string            `json:"service,omitempty"`
	RemainingMS  int64             `json:"remaining_ms"` // time until the deadline
	Servers      []ServerCandidate `json:"servers"`      // in the order of choice, those left out last
	WaitMS       float64           `json:"wait_ms"`      // time until a server is expected to have room, 0 if one has
	Refusal      *Refusal          `json:"refusal,omitempty"`
}

// ServerCandidate is a backend server that may be chosen for a request.
type ServerCandidate struct {
	ID             string                      `json:"id"`
	LeftOut        string                      `json:"left_out,omitempty"` // why the server is not chosen
	WaitMS         float64                     `json:"wait_ms"`            // time for which it is left out, 0 if that is unknown
	ScoreMS        float64                     `json:"score_ms"`           // the lowest is chosen
	ExpectedMS     float64                     `json:"expected_ms"`        // until the response
	ResponseMS     float64                     `json:"response_ms"`        // of a request that does not wait
	PermitWaitMS   float64                     `json:"permit_wait_ms"`
	Requests       int                         `json:"requests"` // running and waiting at the server
	Slots          int                         `json:"slots"`
	RequestLimit   float64                     `json:"request_limit"` // per second, 0 if it names none
	RefusedUntilMS float64                     `json:"refused_for_ms"`
	Suspect        bool                        `json:"suspect"`
	Missing        bool                        `json:"missing"` // its record expired; it is used until control deletes it
	Zone           string                      `json:"zone"`
	Software       string                      `json:"software,omitempty"`
	Versions       map[string]registry.Version `json:"versions,omitempty"` // of weights, by model
}

// Refusal is the answer that a request would get.
type Refusal struct {
	Reason       verdict.Reason  `json:"reason"`
	Verdict      verdict.Verdict `json:"verdict"`
	Status       int             `json:"status"`         // by the rules of the platform
	RetryAfterMS int64           `json:"retry_after_ms"` // an example, because it is spread; only with status 503
	Message      string          `json:"message"`
	// UntilDeadline is set if the host repeats the choice until the deadline and refuses the
	// request only if nothing changes.
	UntilDeadline bool `json:"until_deadline"`
}

// LotExplanation is what a lot and its items wait for.
type LotExplanation struct {
	ID      string            `json:"id"`
	Model   string            `json:"model"`
	Owner   string            `json:"owner"` // empty if it has none
	Stage   string            `json:"stage"` // relation of the host to the lot
	Ended   bool              `json:"ended"`
	Listed  int               `json:"listed"`
	Total   int               `json:"total"`
	Waiting int               `json:"waiting"`
	Running int               `json:"running"`
	Scoring int               `json:"scoring"`
	Blocked string            `json:"blocked,omitempty"` // why no item of the lot is started
	DueMS   *int64            `json:"due_ms,omitempty"`  // until the lot is due, negative if overdue
	Items   []ItemExplanation `json:"items"`             // in the order in which they are started, at most MaxExplainedItems
}

// MaxExplainedItems bounds the waiting items that an explanation of a lot describes.
const MaxExplainedItems = 20

// ItemExplanation is what an item waits for or where it runs.
type ItemExplanation struct {
	ID          string       `json:"id"`
	Stage       string       `json:"stage"`
	Server      string       `json:"server,omitempty"` // of its run, or on which it would start now
	Run         int          `json:"run,omitempty"`
	Events      int          `json:"events"`
	Basis       string       `json:"basis"` // why this server or none
	Ahead       int          `json:"ahead"` // waiting items that are started first
	Spare       bool         `json:"spare"` // the trainer is not expected to wait for it
	NotBeforeMS int64        `json:"not_before_ms"`
	RemainingMS int64        `json:"remaining_ms"` // expected time until completion at the median speed
	Servers     []ItemServer `json:"servers,omitempty"`
}

// ItemServer is a server of the service of an item.
type ItemServer struct {
	ID           string  `json:"id"`
	LeftOut      string  `json:"left_out,omitempty"`
	CompletionMS float64 `json:"completion_ms"` // expected time of the item on it, with penalties
	Room         int     `json:"room"`          // runs that may be started now
	Running      int     `json:"running"`
	Slots        int     `json:"slots"`
	Version      int     `json:"version"` // weights of the item's model
	Software     string  `json:"software,omitempty"`
	Zone         string  `json:"zone"`
	RefusedForMS float64 `json:"refused_for_ms"` // until items are sent again after a refusal
	Suspect      bool    `json:"suspect"`
	Missing      bool    `json:"missing"`
}
