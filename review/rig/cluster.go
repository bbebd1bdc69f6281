package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cluster is a small deployment: the store and hosts, each on a loopback address of its own.
type cluster struct {
	dir    string
	store  *store
	hosts  []*host
	fenced bool
	record *recorder
}

type host struct {
	name, ip string
	cmd      *exec.Cmd
	exited   chan struct{}
}

func (h *host) front() string { return h.ip + ":8149" }

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("%v", err)
	}
	return &recorder{file: f, start: time.Now()}
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	for _, c := range running {
		c.stop()
	}
	os.Exit(2)
}

var running []*cluster

func newCluster(record *recorder, hosts int, fenced bool) *cluster {
	return newClusterWith(record, hosts, fenced, 120)
}

// newClusterWith returns a cluster with a time in seconds for which results are promised.
func newClusterWith(record *recorder, hosts int, fenced bool, statusS int) *cluster {
	dir, err := os.MkdirTemp("", "lavender-case")
	if err != nil {
		cannotRun("%v", err)
	}
	c := &cluster{dir: dir, store: newStore(), fenced: fenced, record: record}
	running = append(running, c)
	subnet := freeSubnet(hosts)
	storeAddress := serve(c.store)
	for i := range hosts {
		h := &host{name: fmt.Sprintf("front-a-%d", i+1), ip: fmt.Sprintf("%s.%d", subnet, i+1)}
		c.hosts = append(c.hosts, h)
		settings := fmt.Sprintf(`node=%s
role=host
machineClass=front
serves=front
ipAddress=%s
zone=a
region=r
zones.a=r
listen.front=%s
listen.ready=%s:8141
internalPorts=7380,7395
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
bounds.statusS=%d
bounds.cancelMs=3000
bounds.settleMs=1000
bounds.quotaOverrun=0.1
bounds.requireFencing=%t
bounds.leaseMs=3000
bounds.thawSlackMs=300
platform.address=%s
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
`, h.name, h.ip, h.front(), h.ip, statusS, fenced, storeAddress)
		if err := os.WriteFile(filepath.Join(dir, h.name+".conf"), []byte(settings), 0o600); err != nil {
			cannotRun("%v", err)
		}
	}
	return c
}

// freeSubnet returns the first three bytes of loopback addresses whose ports are free.
func freeSubnet(hosts int) string {
next:
	for n := range 2000 {
		k := (os.Getpid() + n*7919) % 60000
		subnet := fmt.Sprintf("127.%d.%d", 1+k/250, 1+k%250)
		for i := range hosts {
			for _, port := range []int{8149, 8141, 7380, 7395} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, i+1, port))
				if err != nil {
					continue next
				}
				_ = l.Close()
			}
		}
		return subnet
	}
	cannotRun("no free loopback addresses")
	return ""
}

// start starts a host with the command of the deploy file, in the repository's root.
func (c *cluster) start(h *host) {
	log, err := os.OpenFile(filepath.Join(c.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	h.cmd = exec.Command("target/lavender-host")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.dir, "LAVENDERSTAND_CONFIG=" + filepath.Join(c.dir, h.name+".conf")}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		cannotRun("start host: %v", err)
	}
	h.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(h.cmd, h.exited)
}

// startAll starts all hosts and waits until they are ready.
func (c *cluster) startAll() {
	for _, h := range c.hosts {
		c.start(h)
	}
	for _, h := range c.hosts {
		c.waitReady(h)
	}
}

func (c *cluster) waitReady(h *host) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := quickClient.Get("http://" + h.ip + ":8141/v1/readiness")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				return
			}
		}
	}
	cannotRun("host %s is not ready; its log: %s", h.name, c.log(h))
}

func (c *cluster) log(h *host) string {
	data, _ := os.ReadFile(filepath.Join(c.dir, h.name+".log"))
	return string(data)
}

// stop ends all hosts and removes the temporary folder.
func (c *cluster) stop() {
	for _, h := range c.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept:", c.dir)
	}
}

// logLines returns the log lines of a host that contain a text.
func (c *cluster) logLines(h *host, text string) []string {
	var lines []string
	for _, l := range strings.Split(c.log(h), "\n") {
		if strings.Contains(l, text) {
			lines = append(lines, l)
		}
	}
	return lines
}
