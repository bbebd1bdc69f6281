// Command rig3 plays the cases of review/REPORT-3.md: it starts lavender-host processes on
// loopback addresses against stand-ins of the platform's store and of samplers, and judges
// what requesters, samplers and the platform see.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/standin/pamoja"
)

const routeHost = "review.example"

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		unable("record: %v", err)
	}
	return &record{file: f, start: time.Now()}
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

var (
	cleanups   []func()
	cleanupsMu sync.Mutex
)

func onExit(f func()) {
	cleanupsMu.Lock()
	defer cleanupsMu.Unlock()
	cleanups = append(cleanups, f)
}

// exit ends all processes that were started, and then this one.
func exit(code int) {
	cleanupsMu.Lock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.Exit(code)
}

// unable ends a case that could not run.
func unable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	exit(2)
}

// cluster is the platform with its store, and the hosts.
type cluster struct {
	rec          *record
	dir, binary  string
	store        *pamoja.Store
	storeAddress string
	zones        []string
	hosts        []*host
	memoryMB     int // limit of each process; 0 for none
	stateVersion int
}

func newCluster(rec *record, dir, binary string) *cluster {
	c := &cluster{rec: rec, dir: dir, binary: binary, store: pamoja.NewStore()}
	e := echo.New()
	c.store.Register(e)
	e.DELETE("/v1/blob-drop/:name", func(x echo.Context) error {
		if err := c.store.DeleteObject(x.Request().Context(), x.Param("name")); err != nil {
			return err
		}
		return x.NoContent(http.StatusOK)
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("store: %v", err)
	}
	c.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, e) }()
	return c
}

// setState writes a desired state.
func (c *cluster) setState(routes, services []map[string]any) {
	c.stateVersion++
	c.set("op", "config", map[string]any{
		"version": c.stateVersion, "routes": routes, "services": services,
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 33554432, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	})
}

func (c *cluster) set(table, name string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		unable("encode: %v", err)
	}
	c.store.Set(table, name, data)
}

// host is a lavender-host process.
type host struct {
	c                     *cluster
	name, front, settings string
	mu                    sync.Mutex
	cmd                   *exec.Cmd
	exited                chan struct{}
	stopped               bool // not to be started again
	overMemory, ownEnds   int
	killed                bool // by the case
	peakMB                int
	restartDelay          time.Duration
	disruptedAt           time.Time // last kill or start by the case, zero if there was none
}

// addHosts starts hosts with the settings of a small deployment.
func (c *cluster) addHosts(n int) {
	subnet := freeSubnet(n)
	for i := range n {
		ip := fmt.Sprintf("%s.%d", subnet, 10+i)
		name := fmt.Sprintf("front-a-%d", i+1)
		memory := ""
		if c.memoryMB > 0 {
			memory = fmt.Sprintf("limits.memoryMb=%d\n", c.memoryMB)
		}
		text := "node=" + name + "\nrole=host\nmachineClass=front\nserves=front\nipAddress=" + ip + "\nzone=a\nregion=r\nzones.a=r\n" +
			"listen.front=" + ip + ":8149\nlisten.ready=" + ip + ":8141\ninternalPorts=7380,7395\nfirstStart=true\n" +
			"limits.cpuShare=0.8\nlimits.cores=1\n" + memory + "limits.fileDescriptors=8200\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n" +
			"discovery=platform\nentry=virtual_ip\nheartbeatMs=1200\ncontracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform\n" +
			"bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.acknowledgeMs=4000\nbounds.catchUpS=4.6\nbounds.drainMs=2000\n" +
			"bounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configurationMs=2000\nbounds.downgradeSlackMs=250\nbounds.outerBoundMs=5000\n" +
			"bounds.recoveryS=12\nbounds.passMs=120\nbounds.retryAfterS=0\nbounds.finishS=10\nbounds.statusS=120\nbounds.cancelMs=3000\n" +
			"bounds.settleMs=1000\nbounds.quotaOverrun=0.1\nbounds.requireFencing=true\nbounds.leaseMs=3000\nbounds.thawSlackMs=300\n" +
			"platform.address=" + c.storeAddress + "\nplatform.form=table\nplatform.writesPerS=800\nplatform.readsPerS=2000\n" +
			"platform.transactionMs=3.0\nplatform.partWritesPerS=300\nplatform.rowBytes=65536\nplatform.across=true\nplatform.historyS=20\n" +
			"platform.blobBytes=8388608\nplatform.blobMs=25.0\nplatform.blobMbPerS=80.0\n"
		h := &host{c: c, name: name, front: ip + ":8149", settings: filepath.Join(c.dir, name+".conf"), restartDelay: time.Second}
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			unable("settings: %v", err)
		}
		c.hosts = append(c.hosts, h)
		h.start()
		onExit(h.end)
	}
	for _, h := range c.hosts {
		go h.watchMemory()
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, h := range c.hosts {
		for !h.ready() {
			if time.Now().After(deadline) {
				unable("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	c.rec.log("all hosts are ready")
}

// freeSubnet returns the first three bytes of loopback addresses at which no other case runs.
func freeSubnet(n int) string {
	for range 100 {
		subnet := fmt.Sprintf("127.%d.%d", 10+rand.IntN(240), 1+rand.IntN(250))
		free := true
		for i := range n {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:8149", subnet, 10+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return subnet
		}
	}
	unable("no free addresses")
	return ""
}

func (h *host) start() {
	log, err := os.OpenFile(filepath.Join(h.c.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		unable("log: %v", err)
	}
	cmd := exec.Command(h.c.binary)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "LAVENDERSTAND_CONFIG=" + h.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		unable("start of %s: %v", h.name, err)
	}
	exited := make(chan struct{})
	h.mu.Lock()
	if h.killed {
		h.disruptedAt = time.Now()
	}
	h.cmd, h.exited, h.killed = cmd, exited, false
	h.mu.Unlock()
	h.c.rec.log("%s started, pid %d", h.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		close(exited)
		h.mu.Lock()
		stopped, killed := h.stopped, h.killed
		if !stopped && !killed {
			h.ownEnds++
		}
		h.mu.Unlock()
		h.c.rec.log("%s ended: %v", h.name, err)
		if !stopped && !killed {
			time.Sleep(h.restartDelay)
			h.startAgain()
		}
	}()
}

// startAgain starts the process unless the case is over.
func (h *host) startAgain() {
	h.mu.Lock()
	stopped := h.stopped
	h.mu.Unlock()
	if !stopped {
		h.start()
	}
}

// kill sends SIGKILL, as a disruption.
func (h *host) kill() {
	h.mu.Lock()
	h.killed, h.disruptedAt = true, time.Now()
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	h.c.rec.log("SIGKILL to %s", h.name)
	_ = cmd.Process.Kill()
	<-exited
}

// end ends the process for good.
func (h *host) end() {
	h.mu.Lock()
	h.stopped = true
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	_ = cmd.Process.Kill()
	<-exited
}

// inTouch reports whether the case did nothing to the machine in the last contactMs. Its own ends
// count as if it had run all the while.
func (h *host) inTouch() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.disruptedAt) > 3*time.Second
}

func (h *host) ready() bool {
	r, err := http.Get("http://" + h.front + "/none/")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusNotFound
}

// watchMemory does what the platform does: a process over its memory limit is killed. It counts
// resident memory only.
func (h *host) watchMemory() {
	for {
		time.Sleep(10 * time.Millisecond)
		h.mu.Lock()
		cmd, stopped, killed := h.cmd, h.stopped, h.killed
		h.mu.Unlock()
		if stopped {
			return
		}
		if killed {
			continue
		}
		mb := residentMB(cmd.Process.Pid)
		h.mu.Lock()
		h.peakMB = max(h.peakMB, mb)
		h.mu.Unlock()
		if h.c.memoryMB > 0 && mb > h.c.memoryMB {
			h.mu.Lock()
			h.overMemory++
			exited := h.exited
			h.mu.Unlock()
			h.c.rec.log("%s holds %d MB, over its limit of %d MB: killed by the platform", h.name, mb, h.c.memoryMB)
			_ = cmd.Process.Kill()
			<-exited
			for {
				h.mu.Lock()
				again, stopped := h.cmd != cmd, h.stopped
				h.mu.Unlock()
				if again || stopped {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
}

// residentMB returns the resident memory of a process in MB, 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() / 1_000_000
}
