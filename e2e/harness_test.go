// Package e2e tests the built programs as separate processes on loopback. Stand-ins
// replace all outside systems, and each test compares what clients received with
// the ledgers in which the stand-ins record what they executed.
package e2e

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/demo"
)

// binaryDir is the directory of the programs that TestMain builds.
var binaryDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "lavender-e2e")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaryDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// deployment is a complete system of processes. Their names are those of the plan:
// entry-1, controller-1, engine-1, service-1, scoring-1, platform, balancer.
type deployment struct {
	t         *testing.T
	dir       string
	plan      demo.Plan
	tokens    map[string]string
	commands  map[string][]string
	processes map[string]*exec.Cmd
}

// newDeployment writes the files of a system with 3 entry hosts and 4 engines. It
// starts no process.
func newDeployment(t *testing.T, seed uint64) *deployment {
	t.Helper()
	return newDeploymentWith(t, demo.PlanOptions{Seed: seed, Entries: 3, Engines: 4})
}

// newDeploymentWith is newDeployment with other options, such as the numbers of hosts.
func newDeploymentWith(t *testing.T, options demo.PlanOptions) *deployment {
	t.Helper()
	dir := t.TempDir()
	options.Dir = dir
	require.NoError(t, demo.WritePlan(options))
	p, err := demo.ReadPlan(dir)
	require.NoError(t, err)
	tokens, err := demo.ReadTokens(dir)
	require.NoError(t, err)
	d := &deployment{
		t: t, dir: dir, plan: p, tokens: tokens,
		commands: make(map[string][]string), processes: make(map[string]*exec.Cmd),
	}
	list, err := os.ReadFile(filepath.Join(dir, "processes.txt"))
	require.NoError(t, err)
	for line := range strings.Lines(string(list)) {
		fields := strings.Fields(line)
		d.commands[fields[0]] = fields[1:]
	}
	t.Cleanup(d.killAll)
	return d
}

// deploy writes the files of a system, starts every process and waits until all
// entry hosts are ready.
func deploy(t *testing.T, seed uint64) *deployment {
	t.Helper()
	d := newDeployment(t, seed)
	d.startAll()
	return d
}

// startAll starts every process and waits until all entry hosts are ready.
func (d *deployment) startAll() {
	d.t.Helper()
	for name := range d.commands {
		d.start(name)
	}
	require.NoError(d.t, demo.SetUp(d.plan, d.tokens["operator"]))
}

// start starts a process of the plan, for the first time or after its end.
func (d *deployment) start(name string) {
	d.t.Helper()
	command := d.commands[name]
	cmd := exec.Command(filepath.Join(binaryDir, command[0]), command[1:]...)
	log, err := os.OpenFile(filepath.Join(d.dir, "logs", name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(d.t, err)
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends when the test is killed or times out.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(d.t, cmd.Start())
	require.NoError(d.t, log.Close())
	d.processes[name] = cmd
}

func (d *deployment) signal(name string, s syscall.Signal) {
	d.t.Helper()
	require.NoError(d.t, d.processes[name].Process.Signal(s))
}

// kill ends a process with SIGKILL and waits for its end.
func (d *deployment) kill(name string) {
	d.t.Helper()
	d.signal(name, syscall.SIGKILL)
	_ = d.processes[name].Wait()
	delete(d.processes, name)
}

// stop ends a process with SIGTERM. The process must exit with status 0 within limit.
func (d *deployment) stop(name string, limit time.Duration) {
	d.t.Helper()
	d.signal(name, syscall.SIGTERM)
	d.waitStopped(name, limit)
}

// waitStopped waits until a stopping process exits. It must exit with
// status 0 within limit.
func (d *deployment) waitStopped(name string, limit time.Duration) {
	d.t.Helper()
	ended := make(chan error, 1)
	cmd := d.processes[name]
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		require.NoError(d.t, err, "%s:\n%s", name, d.log(name))
		delete(d.processes, name)
	case <-time.After(limit):
		d.t.Fatalf("%s did not exit within %s; its log:\n%s", name, limit, d.log(name))
	}
}

// killAll kills all processes. If the test failed, it prints the logs of the entry
// and controller processes.
func (d *deployment) killAll() {
	for _, cmd := range d.processes {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		_ = cmd.Wait()
	}
	if d.t.Failed() {
		for name := range d.commands {
			if strings.HasPrefix(name, "entry") || strings.HasPrefix(name, "controller") {
				d.t.Logf("%s:\n%s", name, d.log(name))
			}
		}
	}
}

func (d *deployment) log(name string) string {
	data, _ := os.ReadFile(filepath.Join(d.dir, "logs", name+".log"))
	return string(data)
}

// setFault sets the faults of a stand-in; body is the JSON that its admin endpoint accepts.
func (d *deployment) setFault(name, body string) {
	d.t.Helper()
	require.NoError(d.t, demo.SendJSON(http.MethodPost, "http://"+d.plan.Addresses[name]+"/admin/faults", "", json.RawMessage(body)))
}

// reply is the complete answer to a call, or the error that replaced it.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request as a principal to the entry host with the given index. The
// headers are names and values in turn.
func (d *deployment) call(entry int, principal, method, path, body string, headers ...string) reply {
	return d.callAddress(d.plan.Entries[entry], principal, method, path, body, headers...)
}

// callAddress is call with the address of an entry host or of the load balancer.
func (d *deployment) callAddress(address, principal, method, path, body string, headers ...string) reply {
	req, err := http.NewRequest(method, "http://"+address+path, io.NopCloser(bytes.NewReader([]byte(body))))
	if err != nil {
		return reply{err: err}
	}
	req.ContentLength = int64(len(body)) // NopCloser hides the length and prevents the client from sending the request again
	req.Header.Set("Authorization", "Bearer "+d.tokens[principal])
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Client{Timeout: 30 * time.Second}).Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// eventually repeats a call until ok accepts the answer. It fails after limit.
func (d *deployment) eventually(limit time.Duration, call func() reply, ok func(reply) bool) {
	d.t.Helper()
	deadline := time.Now().Add(limit)
	for {
		r := call()
		if ok(r) {
			return
		}
		if time.Now().After(deadline) {
			d.t.Fatalf("no expected answer within %s; last answer: status %d, body %s, error %v", limit, r.status, r.body, r.err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// runLoad runs callers and trainers for a duration and calls during meanwhile. It then
// compares everything that they received with the ledgers.
func (d *deployment) runLoad(duration time.Duration, during func()) {
	d.t.Helper()
	done := make(chan error, 1)
	go func() {
		done <- demo.RunLoad(demo.LoadOptions{Dir: d.dir, Duration: duration, DrainTimeout: 20 * time.Second, SkipSetUp: true})
	}()
	during()
	require.NoError(d.t, <-done)
	require.NoError(d.t, demo.VerifyRun(d.dir))
}
