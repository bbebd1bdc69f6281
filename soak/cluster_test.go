// Package soak runs lavender-host processes on loopback against the stand-in
// platform and injects random faults from outside the processes. It checks the
// guarantees of the service against what callers, trainers and backend servers see.
package soak

import (
	"encoding/json"
	"fmt"
	"maps"
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
	hosts    = 3 // lavender-host processes of a cluster
	samplers = 4 // backend servers that generate items
	apps     = 2 // backend servers that answer plain requests and scoring requests
	// eventsPerItem and eventGap make the generation of an item last about 300 ms.
	eventsPerItem = 12
	eventGap      = 25 * time.Millisecond
	// firstSoftware is the software version of the backend servers at the start.
	firstSoftware = "v1"
	heartbeat     = 300 * time.Millisecond // interval at which a backend server writes its record
)

// binary is the path of the lavender-host binary that TestMain builds.
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

// cluster is the platform, the hosts and the backend servers of one seed.
type cluster struct {
	t      *testing.T
	dir    string
	random *rand.Rand
	store  *pamoja.Store
	hosts  []*host
	ledger ledger

	mu           sync.Mutex
	versions     map[string]int    // loaded weight version by backend server
	faulty       map[string]bool   // backend servers that fail some requests
	unregistered map[string]bool   // backend servers whose record is removed
	draining     map[string]bool   // backend servers whose record says that they leave
	saysLeaving  map[string]bool   // backend servers whose answers say that they leave
	software     map[string]string // software version by backend server
	servers      map[string]*httptest.Server
	textEvents   int                    // number of events of each text
	requestLimit float64                // that each backend server names, 0 for none
	arrivals     map[string][]time.Time // of requests, by backend server
	stateVersion uint64
	tenants      []map[string]any          // of the desired state, none if nil
	moreSettings string                    // further lines of the settings files of all hosts
	scale        map[string]any            // bounds of the engines that may be ordered, none if nil
	placement    map[string]map[string]any // fields of the records of ordered backend servers, by their id
	limits       map[string]any            // of the desired state; nil for none
}

// host is a lavender-host process and the proxy between it and the store.
type host struct {
	name, frontAddress string
	proxy              *proxy
	settings           string
	binary             string // kept across restarts
	cmd                *exec.Cmd
	exited             chan struct{}
	stopped            bool
}

func newCluster(t *testing.T, seed uint64) *cluster { return newClusterOf(t, seed, eventsPerItem, "") }

// newClusterOf returns a cluster whose texts have a number of events and whose hosts have
// further lines in their settings.
func newClusterOf(t *testing.T, seed uint64, textEvents int, moreSettings string) *cluster {
	c := &cluster{
		t: t, dir: t.TempDir(), random: rand.New(rand.NewPCG(seed, 1)), store: pamoja.NewStore(),
		versions: make(map[string]int), faulty: make(map[string]bool), unregistered: make(map[string]bool), draining: make(map[string]bool), saysLeaving: make(map[string]bool),
		software: make(map[string]string), servers: make(map[string]*httptest.Server), textEvents: textEvents, moreSettings: moreSettings, arrivals: make(map[string][]time.Time),
		ledger: ledger{runs: make(map[string][]pamoja.Run)},
	}
	e := echo.New()
	c.store.Register(e)
	storeServer := httptest.NewServer(e)
	t.Cleanup(storeServer.Close)
	for i := range samplers {
		c.addServer(fmt.Sprintf("sampler-%d", i), "engines", firstSoftware)
	}
	for i := range apps {
		c.addServer(fmt.Sprintf("app-%d", i), "app", firstSoftware)
	}
	c.writeDesiredState()
	subnet := int(clusterCount.Add(1)) % 250
	for i := range hosts {
		c.hosts = append(c.hosts, c.newHost(i, subnet, strings.TrimPrefix(storeServer.URL, "http://")))
	}
	return c
}

// addServer starts a backend server.
func (c *cluster) addServer(id, service, software string) {
	s := &pamoja.Backend{ID: id, Software: software, Events: c.textEvents, EventInterval: eventGap, OnRun: c.ledger.recordRun, RequestLimit: c.currentLimit, Leaving: func() bool { c.mu.Lock(); defer c.mu.Unlock(); return c.saysLeaving[id] }, Fault: func(string) pamoja.BackendFault { return c.serverFault(id) }}
	c.setVersion(id, 1)
	s.SetWeights(func(string) int { c.mu.Lock(); defer c.mu.Unlock(); return c.versions[id] }, func(_ string, v int, fence uint64) {
		c.ledger.checkFence(id, fence)
		c.setVersion(id, v)
	})
	server := httptest.NewServer(s)
	c.t.Cleanup(server.CloseClientConnections)
	c.mu.Lock()
	c.software[id], c.servers[id] = software, server
	c.mu.Unlock()
	c.keepRegistered(id, service, strings.TrimPrefix(server.URL, "http://"))
}

// keepRegistered writes the record of a backend server every heartbeat interval.
func (c *cluster) keepRegistered(id, service, address string) {
	done := make(chan struct{})
	c.t.Cleanup(func() { close(done) })
	go func() {
		for sequence := 0; ; sequence++ {
			c.register(id, service, address, sequence)
			select {
			case <-done:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
}

// leaveTime is the time for which a backend server that leaves still serves requests.
const leaveTime = 800 * time.Millisecond

// replaceServer starts a backend server with a software version, lets another one leave and
// ends it after leaveTime.
func (c *cluster) replaceServer(id, replacement, software string) {
	c.mu.Lock()
	version := c.versions[id]
	c.mu.Unlock()
	c.addServer(replacement, "engines", software)
	c.setVersion(replacement, version)
	c.mu.Lock()
	c.draining[id] = true
	server := c.servers[id]
	c.mu.Unlock()
	time.AfterFunc(leaveTime, func() {
		c.mu.Lock()
		c.unregistered[id] = true
		c.mu.Unlock()
		_ = server.Listener.Close()
		server.CloseClientConnections()
	})
}

func (c *cluster) setRequestLimit(perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestLimit = perSecond
}

func (c *cluster) currentLimit() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestLimit
}

func (c *cluster) setVersion(id string, v int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions[id] = v
}

// register writes the record of a backend server, or removes it if the server is
// in c.unregistered.
func (c *cluster) register(id, service, address string, sequence int) {
	c.mu.Lock()
	version, unregistered := c.versions[id], c.unregistered[id]
	software, state := c.software[id], "ready"
	if c.draining[id] {
		state = "draining"
	}
	c.mu.Unlock()
	if unregistered {
		c.store.Remove("servers", id)
		return
	}
	record := map[string]any{
		"service": service, "address": address, "zone": "z", "slots": 4, "state": state, "version": software, "coldRemainingMs": 0, "sequence": sequence, "born": 1,
	}
	if service == "engines" {
		record["models"] = []map[string]any{{"name": "m", "version": version}}
	}
	c.mu.Lock()
	maps.Copy(record, c.placement[id])
	c.mu.Unlock()
	c.store.Set("servers", id, encode(record))
}

// serverFault returns the fault for the next request to a backend server. The
// last choice is none, so that a faulty server still serves some requests.
func (c *cluster) serverFault(id string) pamoja.BackendFault {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals[id] = append(c.arrivals[id], time.Now())
	if !c.faulty[id] {
		return pamoja.BackendFault{}
	}
	faults := []pamoja.BackendFault{{Refuse: true}, {BreakAfterEvents: 3}, {LoseAnswer: true}, {FailAfterRun: true}, {Stall: true}, {}}
	return faults[rand.IntN(len(faults))]
}

// writeDesiredState writes the desired state with the next version number.
func (c *cluster) writeDesiredState() {
	c.stateVersion++
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "h", "prefix": prefix, "kind": kind, "service": service, "timeoutMs": 3000,
			"targetLatencyMs": 200, "attempts": 3, "runAimMs": 7500, "maxAgeS": 60,
		}
	}
	slow := func(name, prefix, kind string, timeoutMS int) map[string]any {
		r := route(name, prefix, kind, "slow")
		r["timeoutMs"] = timeoutMS
		return r
	}
	streams := route("streams", "/streams/", "streaming", "engines")
	streams["resumable"] = true
	c.store.Set("op", "config", encode(map[string]any{
		"version": c.stateVersion, "tenants": c.tenants, "limits": c.limits,
		"routes": []map[string]any{
			route("lots", "/lots/", "rollout", "engines"), route("scores", "/scores/", "safe", "app"),
			route("calls", "/calls/", "safe", "app"), route("once", "/once/", "unsafe", "app"),
			route("endless", "/endless/", "safe", "endless"), route("endless-streams", "/endless-streams/", "streaming", "endless"),
			slow("slow", "/slow/", "safe", 6000), slow("slow-once", "/slow-once/", "unsafe", 6000),
			slow("full", "/full/", "safe", 10_000), slow("full-once", "/full-once/", "unsafe", 10_000),
			streams,
		},
		"services": []map[string]any{
			{"name": "engines", "engine": map[string]any{"models": []map[string]any{{"name": "m"}}}, "scale": c.scale}, {"name": "app"}, {"name": "endless"}, {"name": "slow"},
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

// clusterCount counts the clusters of this process.
var clusterCount atomic.Int32

// newHost starts a host with a loopback address of its own. Hosts must not share an
// address and pick free ports: between the release of a port by the test and the
// listen call of the host, a host of a parallel run took the port (seed 214: 404 for
// routes that existed).
func (c *cluster) newHost(index, subnet int, storeAddress string) *host {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+subnet, 1+index)
	h := &host{name: fmt.Sprintf("host-%d", index), frontAddress: ip + ":8149", proxy: newProxy(c.t, storeAddress), binary: binary, exited: make(chan struct{})}
	if *secondBinary != "" && index%2 == 1 {
		var err error
		h.binary, err = filepath.Abs(*secondBinary)
		require.NoError(c.t, err)
	}
	text := fmt.Sprintf("node=%s\nzone=z\nipAddress=%s\nlisten.front=%s\nlisten.ready=%s:8141\ninternalPorts=7380,7395\nplatform.address=%s\n",
		h.name, ip, h.frontAddress, ip, h.proxy.address())
	h.settings = filepath.Join(c.dir, h.name+".conf")
	require.NoError(c.t, os.WriteFile(h.settings, []byte(text+c.moreSettings), 0o600))
	c.start(h)
	c.t.Cleanup(func() {
		_ = h.cmd.Process.Kill()
		<-h.exited
	})
	return h
}

// start starts the process of a host, for the first time or after its end.
func (c *cluster) start(h *host) {
	log, err := os.OpenFile(filepath.Join(c.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(c.t, err)
	h.cmd = exec.Command(h.binary, "--settings", h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends the process if the test is killed
	require.NoError(c.t, h.cmd.Start())
	h.exited, h.stopped = make(chan struct{}), false
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // the log of the host shows how it ended
		_ = log.Close()
		close(exited)
	}(h.cmd, h.exited)
}

// restart ends the process with a signal and starts it again.
func (c *cluster) restart(h *host, signal os.Signal) {
	if h.stopped {
		return
	}
	_ = h.cmd.Process.Signal(signal)
	select {
	case <-h.exited:
	case <-time.After(10 * time.Second):
		c.t.Errorf("%s did not exit within 10 s after signal %v", h.name, signal)
		_ = h.cmd.Process.Kill()
		<-h.exited
	}
	c.start(h)
}

// printLogs prints the last 60 lines of the log of each host.
func (c *cluster) printLogs() {
	for _, h := range c.hosts {
		data, _ := os.ReadFile(filepath.Join(c.dir, h.name+".log"))
		lines := strings.Split(string(data), "\n")
		c.t.Logf("%s:\n%s", h.name, strings.Join(lines[max(0, len(lines)-60):], "\n"))
	}
}

// countLogLines returns the number of lines in the logs of all hosts that contain a text.
func (c *cluster) countLogLines(text string) int {
	n := 0
	for _, h := range c.hosts {
		data, _ := os.ReadFile(filepath.Join(c.dir, h.name+".log"))
		n += strings.Count(string(data), text)
	}
	return n
}

// ready reports whether a host answers 404 for a path without a route. It does so
// once it listens and has read the desired state.
func (c *cluster) ready(h *host) bool {
	r, err := http.Get("http://" + h.frontAddress + "/none/")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusNotFound
}
