package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store (PROTOCOL.md).
type store struct {
	mu      sync.Mutex
	rows    map[string]row // by table, part and key
	log     []row
	version uint64
	changed chan struct{}
	blobs   map[string][]byte
	start   time.Time
	// late, if set, reports whether a write gets no answer and is done after lateDelay, if its
	// condition still holds.
	late    func(writes []row) bool
	writes  int // write calls so far
	refused int // calls refused because they exceed the limits of the page
}

type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"rowVersion"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

func newStore() *store {
	return &store{rows: make(map[string]row), changed: make(chan struct{}), blobs: make(map[string][]byte), start: time.Now()}
}

const (
	// A transaction is done in the middle of the time until its answer, 4 ms.
	transactionTime = 2 * time.Millisecond
	answerTime      = 2 * time.Millisecond
	lateDelay       = 3 * time.Second
	maxEntries      = 100
	maxCallBytes    = 1 << 20
)

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/rows-tx":
		s.transact(w, r)
	case r.URL.Path == "/v1/rows-get":
		s.get(w, r)
	case r.URL.Path == "/v1/rows-feed":
		s.feed(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/blob-"):
		s.blob(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in struct {
		Expected, Writes, Remove []row
		Across                   bool
	}
	if json.Unmarshal(body, &in) != nil || len(in.Expected)+len(in.Writes)+len(in.Remove) > maxEntries || len(body) > maxCallBytes {
		s.mu.Lock()
		s.refused++
		s.mu.Unlock()
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	s.mu.Lock()
	s.writes++
	if s.late != nil && s.late(in.Writes) { // the channel delivers nothing further
		s.mu.Unlock()
		time.AfterFunc(lateDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.holds(in.Expected) {
				s.apply(in.Writes, in.Remove)
			}
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !s.holds(in.Expected) {
		var current []row
		for _, e := range in.Expected {
			if c, ok := s.rows[e.id()]; ok {
				current = append(current, c)
			} else {
				current = append(current, row{Table: e.Table, Part: e.Part, Key: e.Key})
			}
		}
		version := s.version
		s.mu.Unlock()
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "rowVersion": version, "nowMs": s.now()})
		return
	}
	s.apply(in.Writes, in.Remove)
	version := s.version
	s.mu.Unlock()
	time.Sleep(answerTime)
	reply(w, http.StatusOK, map[string]any{"rowVersion": version, "nowMs": s.now()})
}

// holds reports whether all rows have the versions that a call expects.
func (s *store) holds(expected []row) bool {
	for _, e := range expected {
		if s.rows[e.id()].Version != e.Version {
			return false
		}
	}
	return true
}

func (s *store) apply(writes, remove []row) {
	s.version++
	for _, p := range writes {
		p.Version = s.version
		s.rows[p.id()] = p
		s.log = append(s.log, p)
	}
	for _, p := range remove {
		if _, ok := s.rows[p.id()]; ok {
			delete(s.rows, p.id())
			s.log = append(s.log, row{Table: p.Table, Part: p.Part, Key: p.Key, Version: s.version, Tombstone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) now() int64 { return time.Since(s.start).Milliseconds() }

// put writes a row as the operator or a sampler does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: data}}, nil)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	rows := []row{}
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			rows = append(rows, x)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more, size := false, 0
	for i, x := range rows {
		size += len(x.Value)*4/3 + 200
		if i == limit || (i > 0 && size > 1<<20) {
			rows, more = rows[:i], true
			break
		}
	}
	reply(w, http.StatusOK, map[string]any{"rows": rows, "hasMore": more, "rowVersion": version, "nowMs": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []row{}
		from := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > after })
		for _, x := range s.log[from:] {
			if x.Table == q.Get("table") {
				rows = append(rows, x)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			reply(w, http.StatusOK, map[string]any{"rows": rows, "rowVersion": version, "nowMs": s.now()})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"rows": rows, "rowVersion": version, "nowMs": s.now()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) blob(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	s.mu.Lock()
	defer s.mu.Unlock()
	data, exists := s.blobs[name]
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/blob-put/"):
		if exists {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		s.blobs[name], _ = io.ReadAll(r.Body)
	case strings.HasPrefix(r.URL.Path, "/v1/blob-get/") && exists:
		_, _ = w.Write(data)
	case strings.HasPrefix(r.URL.Path, "/v1/blob-drop/"):
		delete(s.blobs, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// serve starts an HTTP server on a free loopback port and returns its address.
func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}
