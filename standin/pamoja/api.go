package pamoja

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Duties that the platform's API takes calls for.
const (
	DutyUsage = "usage"
	DutyScale = "scale"
)

// APICall is a call to the platform's API. Usage calls set Window and Counts, scale calls the
// other fields after them.
type APICall struct {
	At           time.Time        `json:"-"` // when the call took effect
	Duty         string           `json:"-"`
	Holder       string           `json:"-"`
	Fence        uint64           `json:"-"`
	Window       int64            `json:"window"`
	Counts       map[string]int64 `json:"counts"`
	Service      string           `json:"service"`
	Zone         string           `json:"zone"`
	TargetGroups int              `json:"targetGroups"`
	Spot         bool             `json:"spot"`
}

// Subject returns the duty and what it is about. The API compares fencing tokens by subject.
func (c APICall) Subject() string {
	if c.Duty == DutyUsage {
		return DutyUsage
	}
	return DutyScale + "/" + c.Service + "/" + c.Zone
}

// APIFault is the fault that a call meets. The zero value is none.
type APIFault struct {
	Delay      time.Duration // before the call is carried out
	Down       bool          // 503; the call is not carried out
	Reset      bool          // the connection is closed; the call is not carried out
	LoseAnswer bool          // the call is carried out, and the connection closed without an answer
	// CarryOutAfter carries the call out only after this time, without an answer.
	CarryOutAfter time.Duration
	NoServers     bool // 409 to a scale call, because no servers are available
}

// API is the platform's API for duties. The zero value takes all calls.
type API struct {
	CheckFence bool                   // calls with a lower token than one seen for the subject get 409
	PerSecond  int                    // calls that are taken in a second, others get 429; 0 means no limit
	LeaseTime  time.Duration          // time within which holders must not act in the order A, B, A
	Fault      func(APICall) APIFault // nil means no faults
	OnAccept   func(APICall)          // called for each accepted call, may be nil

	mu         sync.Mutex
	accepted   []APICall
	answered   map[int]int // number of answers by status
	fences     map[string]uint64
	violations []string
	second     int64 // for PerSecond
	calls      int   // in that second
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := parseCall(r)
	if !ok {
		a.answer(w, http.StatusBadRequest)
		return
	}
	if !a.withinRate() {
		a.answer(w, http.StatusTooManyRequests)
		return
	}
	var fault APIFault
	if a.Fault != nil {
		fault = a.Fault(c)
	}
	time.Sleep(fault.Delay)
	switch {
	case fault.Down:
		a.answer(w, http.StatusServiceUnavailable)
	case fault.Reset:
		panic(http.ErrAbortHandler)
	case fault.NoServers && c.Duty == DutyScale:
		a.answer(w, http.StatusConflict)
	case fault.CarryOutAfter > 0:
		time.AfterFunc(fault.CarryOutAfter, func() { a.carryOut(c) })
		panic(http.ErrAbortHandler)
	default:
		status := a.carryOut(c)
		if fault.LoseAnswer {
			panic(http.ErrAbortHandler)
		}
		a.answer(w, status)
	}
}

// parseCall decodes a call. ok is false if it is malformed.
func parseCall(r *http.Request) (c APICall, ok bool) {
	c.Holder, c.Duty = r.Header.Get("Duty-Holder"), map[string]string{"/usage": DutyUsage, "/scale": DutyScale}[r.URL.Path]
	fence, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	c.Fence = fence
	if err != nil || c.Holder == "" || c.Duty == "" || r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&c) != nil {
		return c, false
	}
	if c.Duty == DutyUsage {
		return c, c.Window > 0 && c.Counts != nil
	}
	return c, c.Service != "" && c.Zone != "" && c.TargetGroups >= 0
}

func (a *API) withinRate() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := time.Now().Unix(); now != a.second {
		a.second, a.calls = now, 0
	}
	a.calls++
	return a.PerSecond == 0 || a.calls <= a.PerSecond
}

func (a *API) answer(w http.ResponseWriter, status int) {
	a.mu.Lock()
	if a.answered == nil {
		a.answered = make(map[int]int)
	}
	a.answered[status]++
	a.mu.Unlock()
	w.WriteHeader(status)
}

// carryOut takes a call into the ledger and returns the status of its answer.
func (a *API) carryOut(c APICall) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.At = time.Now()
	if a.fences == nil {
		a.fences = make(map[string]uint64)
	}
	highest := a.fences[c.Subject()]
	if a.CheckFence && c.Fence < highest {
		return http.StatusConflict
	}
	a.fences[c.Subject()] = max(highest, c.Fence)
	a.check(c, highest)
	a.accepted = append(a.accepted, c)
	if a.OnAccept != nil {
		a.OnAccept(c)
	}
	return http.StatusOK
}

// check records the rules that a call violates.
func (a *API) check(c APICall, highest uint64) {
	violation := func(format string, args ...any) {
		a.violations = append(a.violations, fmt.Sprintf(format, args...))
	}
	if c.Fence < highest {
		violation("%s called %s with token %d after one with %d", c.Holder, c.Subject(), c.Fence, highest)
	}
	between := "" // holder that acted after the last call of c.Holder
	for _, earlier := range a.accepted {
		if earlier.Fence == c.Fence && earlier.Holder != c.Holder {
			violation("%s and %s used token %d", earlier.Holder, c.Holder, c.Fence)
		}
		if c.Duty == DutyUsage && earlier.Duty == DutyUsage && earlier.Window == c.Window && !maps.Equal(earlier.Counts, c.Counts) {
			violation("window %d was reported with %v by %s and with %v by %s", c.Window, earlier.Counts, earlier.Holder, c.Counts, c.Holder)
		}
	}
	for i := len(a.accepted) - 1; i >= 0 && a.LeaseTime > 0; i-- {
		earlier := a.accepted[i]
		if c.At.Sub(earlier.At) > a.LeaseTime {
			break
		}
		if earlier.Holder == c.Holder && between != "" {
			violation("holders acted in the order %s, %s, %s within %s", c.Holder, between, c.Holder, c.At.Sub(earlier.At))
			break
		}
		if earlier.Holder != c.Holder {
			between = earlier.Holder
		}
	}
}

// Accepted returns the calls that were carried out, in their order.
func (a *API) Accepted() []APICall {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]APICall(nil), a.accepted...)
}

// Answered returns the number of answers with a status.
func (a *API) Answered(status int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.answered[status]
}

// Violations returns the rules that calls violated.
func (a *API) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.violations...)
}
