// Package demo plans a run of the whole system as separate processes on loopback, generates
// its load and verifies its result. It starts no processes; demo/run.sh or a test does.
package demo

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/tablestore"
)

// Parts of a run.
const (
	MinEntryHosts = 3
	zoneCount     = 2

	lookupRoute, claimRoute = "items", "claims"
	checkRoute              = "checks" // internal checks between services
	plainService            = "listing"
	scoringService          = "scorer"
	liveClass, trainClass   = "live", "training"
	checkClass              = "checks"
)

var models = []string{"matching", "dial"}

// Plan is the content of plan.json, which describes a run to the load.
type Plan struct {
	Seed      uint64                  `json:"seed"`
	Balancer  string                  `json:"balancer"`
	Platform  string                  `json:"platform"` // address that serves all services of the platform
	Entries   []string                `json:"entries"`  // HTTP addresses of the entry hosts
	Hosts     []tablestore.ListedHost `json:"hosts"`
	Addresses map[string]string       `json:"addresses"` // addresses of stand-ins by process name
	Config    plan.Config             `json:"config"`
}

// process is one line of the process list.
type process struct {
	name    string
	program string
	args    []string
}

// planner builds a plan.
type planner struct {
	dir       string
	ip        string
	plan      Plan
	processes []process
	reserved  []net.Listener // keep the ports reserved until the plan is written
}

// PlanOptions configure WritePlan.
type PlanOptions struct {
	Dir              string
	Seed             uint64
	Entries, Engines int
}

// WritePlan writes the plan, settings, tokens and process list of a run.
func WritePlan(o PlanOptions) error {
	if o.Entries < MinEntryHosts || o.Engines < len(models) {
		return fmt.Errorf("need at least %d entry hosts and %d engines", MinEntryHosts, len(models))
	}
	ip, err := loopbackIP()
	if err != nil {
		return err
	}
	p := &planner{dir: o.Dir, ip: ip, plan: Plan{Seed: o.Seed, Addresses: make(map[string]string)}}
	defer p.closeReserved()
	steps := []func() error{
		p.makeDirectories, p.writeTokens, p.addPlatform,
		func() error { return p.addBackends(o.Engines) },
		func() error { return p.addHosts(o.Entries) },
		p.addBalancer, p.writeFiles,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// loopbackIP returns a random address in 127.0.0.0/8, so that concurrent runs use different
// addresses and cannot take each other's ports.
func loopbackIP() (string, error) {
	var b [3]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", err
	}
	return fmt.Sprintf("127.%d.%d.%d", 1+b[0]%254, b[1], 1+b[2]%254), nil
}

// address reserves a free port and returns its address.
func (p *planner) address() (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(p.ip, "0"))
	if err != nil {
		return "", err
	}
	p.reserved = append(p.reserved, l)
	return l.Addr().String(), nil
}

// closeReserved releases the reserved ports.
func (p *planner) closeReserved() {
	for _, l := range p.reserved {
		_ = l.Close()
	}
}

// path returns the path of a file in the directory of the run.
func (p *planner) path(parts ...string) string {
	return filepath.Join(append([]string{p.dir}, parts...)...)
}

// makeDirectories creates the directories of the run. A path with white space is refused,
// because demo/run.sh splits the lines of processes.txt at spaces.
func (p *planner) makeDirectories() error {
	absolute, err := filepath.Abs(p.dir)
	if err != nil {
		return err
	}
	p.dir = absolute
	if strings.ContainsAny(p.dir, " \t\n") {
		return errors.New("the path of the directory must not contain spaces, tabs or line breaks")
	}
	for _, name := range []string{"tokens", "ledgers", "logs", "settings"} {
		if err := os.MkdirAll(p.path(name), 0o700); err != nil {
			return err
		}
	}
	return nil
}

// writeFiles writes plan.json and processes.txt. Each line of processes.txt holds the name,
// the program and the arguments of one process.
func (p *planner) writeFiles() error {
	data, err := json.MarshalIndent(p.plan, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.path("plan.json"), data, 0o600); err != nil {
		return err
	}
	var list strings.Builder
	for _, process := range p.processes {
		fmt.Fprintln(&list, process.name, process.program, strings.Join(process.args, " "))
	}
	return os.WriteFile(p.path("processes.txt"), []byte(list.String()), 0o600)
}

// ReadPlan reads the plan of a run.
func ReadPlan(dir string) (Plan, error) {
	var p Plan
	data, err := os.ReadFile(filepath.Join(dir, "plan.json"))
	if err != nil {
		return p, err
	}
	return p, json.Unmarshal(data, &p)
}
