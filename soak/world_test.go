// Package soak runs real host processes on loopback against the stand-in of the
// platform, injects faults from outside them and checks the promises from what
// callers, trainers and backend servers see.
package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/standin/pamoja"
)

const (
	hosts    = 3
	samplers = 4
	apps     = 2
	// eventsPerItem and eventGap make an item last about 300 ms.
	eventsPerItem = 12
	eventGap      = 25 * time.Millisecond
	heartbeat     = 300 * time.Millisecond
)

var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "lavender-soak")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "lavender-host")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/lavender-host").CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// world is one run with its platform, hosts and ledger.
type world struct {
	t      *testing.T
	dir    string
	random *rand.Rand
	rows   *pamoja.Store
	hosts  []*host
	ledger ledger

	mu       sync.Mutex
	versions map[string]int  // weights by sampler
	fault    map[string]bool // samplers that break off, refuse or stall
	silent   map[string]bool // samplers that no longer write their record
	state    uint64
}

// host is one process with the proxy between it and the store.
type host struct {
	name, front string
	proxy       *proxy
	settings    string
	binary      string // kept across restarts
	cmd         *exec.Cmd
	exited      chan struct{}
	stopped     bool
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, dir: t.TempDir(), random: rand.New(rand.NewPCG(seed, 1)), rows: pamoja.NewStore(),
		versions: make(map[string]int), fault: make(map[string]bool), silent: make(map[string]bool),
		ledger: ledger{runs: make(map[string][]pamoja.Run)},
	}
	e := echo.New()
	w.rows.Register(e)
	store := httptest.NewServer(e)
	t.Cleanup(store.Close)
	for i := range samplers {
		w.addServer(fmt.Sprintf("sampler-%d", i), "engines")
	}
	for i := range apps {
		w.addServer(fmt.Sprintf("app-%d", i), "app")
	}
	w.desire()
	world := int(worlds.Add(1)) % 250
	for i := range hosts {
		w.hosts = append(w.hosts, w.newHost(i, world, strings.TrimPrefix(store.URL, "http://")))
	}
	return w
}

// addServer starts a backend server and the renewal of its record.
func (w *world) addServer(id, service string) {
	s := &pamoja.Sampler{ID: id, Events: eventsPerItem, EventInterval: eventGap, OnRun: w.ledger.ran, Fault: func(string) pamoja.SamplerFault { return w.serverFault(id) }}
	w.setVersion(id, 1)
	s.SetWeights(func(string) int { w.mu.Lock(); defer w.mu.Unlock(); return w.versions[id] }, func(_ string, v int, fence uint64) {
		w.ledger.ordered(id, fence)
		w.setVersion(id, v)
	})
	server := httptest.NewServer(s)
	w.t.Cleanup(server.CloseClientConnections)
	done := make(chan struct{})
	w.t.Cleanup(func() { close(done) })
	go func() {
		for sequence := 0; ; sequence++ {
			w.register(id, service, strings.TrimPrefix(server.URL, "http://"), sequence)
			select {
			case <-done:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
}

func (w *world) setVersion(id string, v int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions[id] = v
}

func (w *world) register(id, service, address string, sequence int) {
	w.mu.Lock()
	version, away := w.versions[id], w.silent[id]
	w.mu.Unlock()
	if away {
		w.rows.Remove("servers", id)
		return
	}
	record := map[string]any{
		"service": service, "address": address, "zone": "z", "slots": 4, "state": "ready", "version": "v1", "coldRemainingMs": 0, "sequence": sequence, "born": 1,
	}
	if service == "engines" {
		record["models"] = []map[string]any{{"name": "m", "version": version}}
	}
	w.rows.Set("servers", id, encode(record))
}

func (w *world) serverFault(id string) pamoja.SamplerFault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.fault[id] {
		return pamoja.SamplerFault{}
	}
	faults := []pamoja.SamplerFault{{Refuse: true}, {BreakAfterEvents: 3}, {LoseAnswer: true}, {Stall: true}, {}}
	return faults[rand.IntN(len(faults))]
}

// desire writes a further desired state.
func (w *world) desire() {
	w.state++
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "h", "prefix": prefix, "kind": kind, "service": service, "timeoutMs": 3000,
			"targetLatencyMs": 200, "attempts": 3, "runAimMs": 7500, "maxAgeS": 60,
		}
	}
	w.rows.Set("op", "config", encode(map[string]any{
		"version": w.state,
		"routes": []map[string]any{
			route("lots", "/lots/", "rollout", "engines"), route("scores", "/scores/", "safe", "app"),
			route("calls", "/calls/", "safe", "app"), route("once", "/once/", "unsafe", "app"),
		},
		"services": []map[string]any{
			{"name": "engines", "engine": map[string]any{"models": []map[string]any{{"name": "m"}}}}, {"name": "app"},
		},
	}))
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// worlds counts the runs of this process.
var worlds atomic.Int32

// newHost gives each host an address of its own within the loopback range. Ports that
// were found free and released before the host listened were taken by a host of a run
// beside this one (seed 214: 404 for routes that were there).
func (w *world) newHost(i, world int, store string) *host {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+world, 1+i)
	h := &host{name: fmt.Sprintf("host-%d", i), front: ip + ":8149", proxy: newProxy(w.t, store), binary: binary, exited: make(chan struct{})}
	if *secondBinary != "" && i%2 == 1 {
		var err error
		h.binary, err = filepath.Abs(*secondBinary)
		require.NoError(w.t, err)
	}
	text := fmt.Sprintf("node=%s\nzone=z\nipAddress=%s\nlisten.front=%s\nlisten.ready=%s:8141\ninternalPorts=7380,7395\nplatform.address=%s\n",
		h.name, ip, h.front, ip, h.proxy.address())
	h.settings = filepath.Join(w.dir, h.name+".conf")
	require.NoError(w.t, os.WriteFile(h.settings, []byte(text), 0o600))
	w.start(h)
	w.t.Cleanup(func() {
		_ = h.cmd.Process.Kill()
		<-h.exited
	})
	return h
}

// start starts the process of a host, also again after its end.
func (w *world) start(h *host) {
	log, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(w.t, err)
	h.cmd = exec.Command(h.binary, "--settings", h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the process ends with the test
	require.NoError(w.t, h.cmd.Start())
	h.exited, h.stopped = make(chan struct{}), false
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // its outcome is part of the log
		_ = log.Close()
		close(exited)
	}(h.cmd, h.exited)
}

// restart ends the process with a signal and starts it again.
func (w *world) restart(h *host, signal os.Signal) {
	if h.stopped {
		return
	}
	_ = h.cmd.Process.Signal(signal)
	select {
	case <-h.exited:
	case <-time.After(10 * time.Second):
		w.t.Errorf("%s did not end within 10 s of %v", h.name, signal)
		_ = h.cmd.Process.Kill()
		<-h.exited
	}
	w.start(h)
}

// logs prints the newest lines of all hosts.
func (w *world) logs() {
	for _, h := range w.hosts {
		data, _ := os.ReadFile(filepath.Join(w.dir, h.name+".log"))
		lines := strings.Split(string(data), "\n")
		w.t.Logf("%s:\n%s", h.name, strings.Join(lines[max(0, len(lines)-60):], "\n"))
	}
}

func (w *world) ready(h *host) bool {
	r, err := http.Get("http://" + h.front + "/none/")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusNotFound
}
