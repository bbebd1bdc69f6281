package pamoja

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// maxPageRows is the largest number of rows in the response to one read.
const maxPageRows = 500

// row is the JSON form of a row.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"rowVersion"`
	Deleted bool   `json:"tombstone,omitempty"`
}

// Register adds the routes of the store's HTTP protocol.
func (s *Store) Register(e *echo.Echo) {
	e.POST("/v1/rows-tx", s.serveCommit)
	e.GET("/v1/rows-get", s.serveRead)
	e.GET("/v1/rows-feed", s.serveChanges)
	e.PUT("/v1/blob-put/:name", func(c echo.Context) error {
		data, err := io.ReadAll(c.Request().Body)
		if err != nil {
			return err
		}
		return respond(c, nil, s.PutObject(c.Request().Context(), c.Param("name"), data))
	})
	e.GET("/v1/blob-get/:name", func(c echo.Context) error {
		data, err := s.GetObject(c.Request().Context(), c.Param("name"))
		if errors.Is(err, store.ErrObjectNotFound) {
			return c.NoContent(http.StatusNotFound)
		}
		return c.Blob(http.StatusOK, "application/octet-stream", data)
	})
}

func (s *Store) serveCommit(c echo.Context) error {
	var in struct {
		Expect []row `json:"expected"`
		Put    []row `json:"writes"`
		Delete []row `json:"remove"`
		Across bool  `json:"across"`
	}
	if err := json.NewDecoder(c.Request().Body).Decode(&in); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	var commit store.Commit
	for _, e := range in.Expect {
		commit.Conditions = append(commit.Conditions, store.Condition{Key: key(e), Version: e.Version})
	}
	for _, p := range in.Put {
		commit.Put = append(commit.Put, store.Row{Key: key(p), Value: p.Value})
	}
	for _, d := range in.Delete {
		commit.Delete = append(commit.Delete, key(d))
	}
	if len(partsOf(commit)) > 1 && !in.Across {
		return c.NoContent(http.StatusBadRequest)
	}
	version, err := s.Commit(c.Request().Context(), commit)
	var conflict *store.Conflict
	if errors.As(err, &conflict) {
		return c.JSON(http.StatusPreconditionFailed, map[string]any{"rows": encode(conflict.Current), "rowVersion": version})
	}
	return respond(c, map[string]any{"rowVersion": version}, err)
}

func (s *Store) serveRead(c echo.Context) error {
	limit, _ := strconv.Atoi(c.QueryParam("limit")) // a missing limit means maxPageRows
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	out, err := s.Read(c.Request().Context(), c.QueryParam("table"), c.QueryParam("part"), c.QueryParam("from"), limit+1)
	more := len(out.Rows) > limit
	if more {
		out.Rows = out.Rows[:limit]
	}
	return respond(c, map[string]any{"rows": encode(out.Rows), "rowVersion": out.Version, "hasMore": more}, err)
}

func (s *Store) serveChanges(c echo.Context) error {
	after, _ := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	wait, _ := strconv.Atoi(c.QueryParam("waitMs"))
	out, err := s.Changes(c.Request().Context(), c.QueryParam("table"), after, time.Duration(wait)*time.Millisecond)
	if errors.Is(err, store.ErrHistoryGone) {
		return c.NoContent(http.StatusGone)
	}
	return respond(c, map[string]any{"rows": encode(out.Rows), "rowVersion": out.Version}, err)
}

// respond sends a response: body on success, 503 if the call did not run.
// Otherwise it aborts the connection without a response.
func respond(c echo.Context, body any, err error) error {
	switch {
	case err == nil && body == nil:
		return c.NoContent(http.StatusOK)
	case err == nil:
		return c.JSON(http.StatusOK, body)
	case verdict.Of(err) == verdict.NotRun:
		return c.NoContent(http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}

func key(r row) store.Key { return store.Key{Table: r.Table, Part: r.Part, Name: r.Key} }

func encode(rows []store.Row) []row {
	out := make([]row, len(rows))
	for i, r := range rows {
		out[i] = row{r.Table, r.Part, r.Name, r.Value, r.Version, r.Deleted}
	}
	return out
}

// Backend is a fake backend server that generates text, accepts weight orders and
// serves plain calls.
type Backend struct {
	ID            string
	Software      string        // software version; a part of each event, if not empty, so that texts joined from two versions differ from both
	Events        int           // number of events of each text
	EventInterval time.Duration // between two events

	// RequestLimit, if set, returns the number of requests per second that the server names as
	// its limit for all hosts together, 0 if it names none. It does not enforce the limit.
	RequestLimit func() float64
	// Leaving, if set, reports whether the server says in its answers that it leaves.
	Leaving func() bool
	// Fault, if set, returns the faults of the request with the given attempt ID.
	Fault func(id string) BackendFault
	// OnRun is called for each request that the server executes.
	OnRun func(Run)

	version func(model string) int
	order   func(model string, version int, fence uint64)
}

// Run is an execution of a request by a server.
type Run struct {
	Server, ID, Path string   // ID is the attempt ID
	Software         string   // of the server
	After            int      // event after which the run started
	Events           int      // number of events sent
	Complete         bool     // all events were sent
	Keys, Tenants    []string // values of the identity headers, nil if absent
}

// BackendFault is a set of faults that a server applies to a request.
type BackendFault struct {
	Refuse           bool // answer that the request was not executed
	BreakAfterEvents int  // abort the connection after this many events; 0 means never
	LoseAnswer       bool // execute the request, then abort the connection without a response
	FailAfterRun     bool // execute the request, then answer with 503 without saying that it was not executed
	Stall            bool // send nothing until the client disconnects
}

// SetWeights sets the functions that return the weight version of a model and
// carry out weight orders.
func (s *Backend) SetWeights(version func(model string) int, order func(model string, version int, fence uint64)) {
	s.version, s.order = version, order
}

// ServeHTTP implements http.Handler.
func (s *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Leaving != nil && s.Leaving() {
		w.Header().Set("Server-Leaving", "1")
	}
	switch {
	case r.URL.Path == "/v1/report":
		s.serveReport(w)
	case r.URL.Path == "/v1/order":
		s.serveOrder(w, r)
	case r.Header.Get("Expected-Instance") != s.ID:
		w.Header().Set("Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		s.serveRequest(w, r)
	}
}

func (s *Backend) serveReport(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	body := map[string]any{"busy": false, "sequence": 0, "models": []map[string]any{{"name": "m", "version": s.version("m")}}}
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}

func (s *Backend) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Model   string `json:"model"`
		Version int    `json:"version"`
		Fence   uint64 `json:"fencingToken"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.order(o.Model, o.Version, o.Fence)
	w.WriteHeader(http.StatusAccepted)
}

func (s *Backend) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if s.RequestLimit != nil {
		if limit := s.RequestLimit(); limit > 0 {
			w.Header().Set("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
		}
	}
	var fault BackendFault
	if s.Fault != nil {
		fault = s.Fault(id)
	}
	if fault.Refuse {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if fault.Stall {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Stamp", "stamp-"+id)
	if r.Header.Get("Model") != "" {
		s.stream(w, r, id, fault)
		return
	}
	s.OnRun(Run{Server: s.ID, ID: id, Path: r.URL.Path, Complete: true, Keys: r.Header.Values("Key"), Tenants: r.Header.Values("Tenant")})
	if fault.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	if fault.FailAfterRun {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "answer to "+id) // fails only if the client has disconnected
}

// Text returns the whole text that the server generates for an item.
func (s *Backend) Text(id string) string { return Text(id, s.Software, s.Events) }

// Text returns the text of an item with a number of events by servers of a software version.
func Text(id, software string, events int) string {
	lines := make([]string, events)
	for i := range lines {
		lines[i] = eventData(id, software, i+1)
	}
	return strings.Join(lines, "\n")
}

func eventData(id, software string, event int) string {
	data := id + "-" + strconv.Itoa(event)
	if software != "" {
		data += "@" + software
	}
	return data
}

func (s *Backend) stream(w http.ResponseWriter, r *http.Request, id string, fault BackendFault) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // without the header, the run starts at the first event
	if resumes := r.Header.Get("Resumes"); resumes != "" {
		id = resumes // the text is that of the attempt that began the stream
	}
	run := Run{Server: s.ID, Software: s.Software, ID: id, Path: r.URL.Path, After: after, Keys: r.Header.Values("Key"), Tenants: r.Header.Values("Tenant")}
	defer func() { s.OnRun(run) }()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.Itoa(s.version(r.Header.Get("Model"))))
	flush := http.NewResponseController(w)
	for i := after + 1; i <= s.Events; i++ {
		if fault.BreakAfterEvents > 0 && run.Events == fault.BreakAfterEvents {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.EventInterval):
		}
		if _, err := io.WriteString(w, "id: "+strconv.Itoa(i)+"\ndata: "+eventData(id, s.Software, i)+"\n\n"); err != nil {
			return
		}
		if flush.Flush() != nil {
			return
		}
		run.Events++
	}
	run.Complete = true
}
