package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/standin/pamoja"
)

// hostBinary is what the deploy file builds and runs.
const hostBinary = "target/lavender-host"

// bounds are the settings of the pages for the small sites.
const bounds = `role=host
machineClass=front
serves=front
region=cymru
zones.caerdydd=cymru
firstStart=true
countsTowardTolerance=false
limits.cpuShare=0.8
limits.cores=1
limits.memoryMb=294
limits.fileDescriptors=8200
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=virtual_ip
heartbeatMs=1200
contracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform
tolerate.machines=1
tolerate.zones=0
tolerate.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.acknowledgeMs=4000
bounds.catchUpS=4.4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configurationMs=2000
bounds.downgradeSlackMs=250
bounds.outerBoundMs=5000
bounds.recoveryS=12
bounds.passMs=120
bounds.retryAfterS=0
bounds.finishS=10
bounds.statusS=120
bounds.cancelMs=3000
bounds.settleMs=1000
bounds.quotaOverrun=0.1
bounds.requireFencing=true
bounds.leaseMs=3000
bounds.thawSlackMs=300
platform.form=table
platform.writesPerS=800
platform.readsPerS=2000
platform.transactionMs=3.0
platform.partWritesPerS=300
platform.rowBytes=65536
platform.across=true
platform.historyS=20
platform.blobBytes=8388608
platform.blobMs=25.0
platform.blobMbPerS=80.0
`

// cluster is the platform's store, the hosts and the samplers of a case.
type cluster struct {
	record   *record
	store    *pamoja.Store
	dir      string
	address  string // of the store
	hosts    []*host
	samplers []*sampler
	version  int // of the desired state
	ports    []int
}

type host struct {
	name, ip, front string
	settings        string
	cmd             *exec.Cmd
	exited          chan struct{}
}

// record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

func (r *record) since() time.Duration { return time.Since(r.start) }

// add writes one line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.file, format+"\n", args...)
}

func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

func newCluster(rec *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "lavender-review")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: rec, store: pamoja.NewStore(), dir: dir}
	l, err := listen()
	if err != nil {
		return nil, err
	}
	c.address = l.Addr().String()
	e := echo.New()
	c.store.Register(e)
	go func() { _ = (&http.Server{Handler: &blobPace{next: e}}).Serve(l) }() //nolint:gosec // a stand-in on loopback
	return c, nil
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// setDesired writes a desired state as the operator does.
func (c *cluster) setDesired(routes, services []map[string]any) {
	c.version += 3
	c.store.Set("op", "config", mustJSON(map[string]any{
		"version": c.version, "routes": routes, "services": services,
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}))
	c.record.add("operator: desired state %d acknowledged by the store: %s", c.version, mustJSON(routes))
}

// freePorts returns different ports that are free on an address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // keeps the port until all are chosen
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// addHost starts a host with a loopback address of its own.
func (c *cluster) addHost(index int) error {
	h := &host{name: fmt.Sprintf("front-caerdydd-%d", index+1), ip: fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, os.Getpid()/200%250, index+1)}
	if c.ports == nil { // the ports are the same on all machines
		ports, err := freePorts(h.ip, 4)
		if err != nil {
			return err
		}
		c.ports = ports
	}
	ports := c.ports
	h.front = fmt.Sprintf("%s:%d", h.ip, ports[0])
	text := fmt.Sprintf("node=%s\nzone=caerdydd\nipAddress=%s\nlisten.front=%s\nlisten.ready=%s:%d\ninternalPorts=%d,%d\nplatform.address=%s\n",
		h.name, h.ip, h.front, h.ip, ports[1], min(ports[2], ports[3]), max(ports[2], ports[3]), c.address)
	h.settings = filepath.Join(c.dir, h.name+".conf")
	if err := os.WriteFile(h.settings, []byte(text+bounds), 0o600); err != nil {
		return err
	}
	c.hosts = append(c.hosts, h)
	return c.startHost(h)
}

func (c *cluster) startHost(h *host) error {
	log, err := os.OpenFile(filepath.Join(c.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command(hostBinary)
	h.cmd.Env = append(os.Environ(), "LAVENDERSTAND_CONFIG="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(h.cmd, h.exited)
	c.record.add("platform: process of %s started", h.name)
	return nil
}

// kill ends the process of a host with SIGKILL.
func (c *cluster) kill(h *host) {
	_ = h.cmd.Process.Kill()
	<-h.exited
	c.record.add("disruption: process of %s killed", h.name)
}

// waitReady waits until all hosts count as ready for some seconds.
func (c *cluster) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, h := range c.hosts {
		for {
			r, err := http.Get("http://" + h.front + "/none/")
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusNotFound {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes of the case.
func (c *cluster) close() {
	for _, h := range c.hosts {
		_ = h.cmd.Process.Kill()
		<-h.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println(c.dir)
	}
}
