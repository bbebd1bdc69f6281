package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// plainServer is a sound sampler of a plain service: it works on slots requests at a time,
// queues a few more and refuses the rest. It may be told to send extra answers late.
type plainServer struct {
	id, service  string
	slots, queue int
	work         func(r *http.Request) time.Duration
	record       *recorder
	onRun        func(server, attempt string)

	mu      sync.Mutex
	running int
	waiting int
	wake    chan struct{}
	random  *rand.Rand
	extra   func() float64 // share of answers that are followed by an extra one, late
	answers int
	extras  int
	address string
}

func (p *plainServer) listen() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	p.address, p.wake = l.Addr().String(), make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
}

// register writes the entry of the sampler about every 1.2 s.
func register(s *store, id, service, address string, slots int, more func(map[string]any)) {
	born := time.Now().UnixMilli()
	go func() {
		for n := 0; ; n++ {
			e := map[string]any{
				"service": service, "address": address, "zone": "a", "version": "v1", "slots": slots, "state": "ready",
				"coldRemainingMs": 0, "sequence": n, "born": born,
			}
			if more != nil {
				more(e)
			}
			s.put("servers", id, e)
			time.Sleep(1200 * time.Millisecond)
		}
	}()
}

func (p *plainServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	var pending []byte // an extra answer that comes where the next one is expected
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if pending != nil {
			if _, err := c.Write(pending); err != nil {
				return
			}
			p.record.add("%s sends an extra answer late, where that to %s is due: %s", p.id, r.Header.Get("Attempt-Id"), firstLine(pending))
			pending = nil
		}
		answer := p.answer(r, body)
		if _, err := c.Write(answer); err != nil {
			return
		}
		p.mu.Lock()
		p.answers++
		if p.extra != nil && p.random.Float64() < p.extra() {
			p.extras++
			pending = answer
		}
		p.mu.Unlock()
	}
}

func firstLine(b []byte) string {
	text := string(b)
	end := strings.Index(text, "\r\n\r\n")
	return strings.ReplaceAll(text[:end], "\r\n", " | ")
}

func response(status int, headers map[string]string, body string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for k, v := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return []byte(b.String())
}

// answer works on a request or refuses it.
func (p *plainServer) answer(r *http.Request, _ []byte) []byte {
	id := r.Header.Get("Attempt-Id")
	h := map[string]string{"Attempt-Id": id}
	if r.Header.Get("Expected-Instance") != p.id {
		return response(http.StatusMisdirectedRequest, map[string]string{"Instance-Id": p.id, "Attempt-Id": id}, "")
	}
	p.mu.Lock()
	if p.running >= p.slots && p.waiting >= p.queue {
		h["Server-Load"] = fmt.Sprintf("%d,%d,%d", p.running, p.waiting, p.slots)
		p.mu.Unlock()
		h["Not-Executed"] = "1"
		return response(http.StatusServiceUnavailable, h, "")
	}
	p.waiting++
	for p.running >= p.slots {
		wake := p.wake
		p.mu.Unlock()
		<-wake
		p.mu.Lock()
	}
	p.waiting--
	p.running++
	p.mu.Unlock()
	p.record.add("%s runs %s", p.id, id)
	p.onRun(p.id, id)
	time.Sleep(p.work(r))
	p.mu.Lock()
	p.running--
	h["Server-Load"] = fmt.Sprintf("%d,%d,%d", p.running, p.waiting, p.slots)
	close(p.wake)
	p.wake = make(chan struct{})
	p.mu.Unlock()
	h["Response-Stamp"] = "stamp." + id
	return response(http.StatusOK, h, "answer to "+id)
}

// engine is a sampler of a model that takes orders to load versions. It doesn't check fences.
type engine struct {
	id      string
	record  *recorder
	load    time.Duration
	mu      sync.Mutex
	version int
	busy    bool
	seq     int
	named   func() int
	onOrder func(engine, holder string, fence uint64)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expected-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{
			"stage": "both", "models": []map[string]any{{"name": "m0", "version": e.version, "adapters": []string{}}}, "busy": e.busy,
			"sequence": e.seq, "waiting": 0, "running": 0, "keyValueUsed": 0, "keyValueTotal": 44286, "handles": 0,
		})
	case "/v1/order":
		e.order(w, r)
	default:
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Mode, Holder string
		Version                        int
		FencingToken                   uint64
		Expected                       *int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.FencingToken == 0 || o.Version > e.named() {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case e.version == o.Version:
		status = http.StatusOK
	case e.busy || (o.Expected != nil && *o.Expected != e.seq):
		status = http.StatusConflict
	default:
		e.seq++
		e.busy = true
		time.AfterFunc(e.load, func() {
			e.mu.Lock()
			e.version, e.busy = o.Version, false
			e.mu.Unlock()
		})
	}
	e.record.add("%s gets an order of holder %s, fence %d, version %d: %d", e.id, o.Holder, o.FencingToken, o.Version, status)
	e.onOrder(e.id, o.Holder, o.FencingToken)
	w.WriteHeader(status)
}
