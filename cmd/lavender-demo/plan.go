package main

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/platform"
)

const (
	minEntryHosts = 3
	zones         = 2

	lookupRoute, claimRoute = "items", "claims"
	plainService            = "listing"
	scoringService          = "scorer"
	liveClass, trainClass   = "live", "training"
)

var models = []string{"matching", "dial"}

// demoPlan is the file plan.json: everything the load needs to know.
type demoPlan struct {
	Seed      uint64                `json:"seed"`
	Balancer  string                `json:"balancer"`
	Platform  string                `json:"platform"` // address of all four services
	Entries   []string              `json:"entries"`  // HTTP addresses
	Hosts     []platform.ListedHost `json:"hosts"`
	Addresses map[string]string     `json:"addresses"` // of stand-ins by process name
	Config    plan.Config           `json:"config"`
}

// process is a line of the process list.
type process struct {
	name    string
	program string
	args    []string
}

// planner collects the parts of a plan.
type planner struct {
	dir       string
	ip        string
	plan      demoPlan
	processes []process
	reserved  []net.Listener // keep ports distinct until the plan is written
}

type planOptions struct {
	dir              string
	seed             uint64
	entries, engines int
}

func planCommand() *cobra.Command {
	var o planOptions
	c := &cobra.Command{Use: "plan", Short: "Write settings, tokens and the process list of a run", RunE: func(*cobra.Command, []string) error {
		return writePlan(o)
	}}
	c.Flags().StringVar(&o.dir, "dir", "", "directory to write to")
	c.Flags().Uint64Var(&o.seed, "seed", 1, "seed of all random choices")
	c.Flags().IntVar(&o.entries, "entries", minEntryHosts, "entry hosts")
	c.Flags().IntVar(&o.engines, "engines", 6, "model engines")
	_ = c.MarkFlagRequired("dir")
	return c
}

func writePlan(o planOptions) error {
	if o.entries < minEntryHosts || o.engines < len(models) {
		return fmt.Errorf("need at least %d entry hosts and %d engines", minEntryHosts, len(models))
	}
	ip, err := loopbackIP()
	if err != nil {
		return err
	}
	p := &planner{dir: o.dir, ip: ip, plan: demoPlan{Seed: o.seed, Addresses: make(map[string]string)}}
	defer p.release()
	steps := []func() error{
		p.makeDirectories, p.writeTokens, p.addPlatform,
		func() error { return p.addBackends(o.engines) },
		func() error { return p.addOwn(o.entries) },
		p.addBalancer, p.writeFiles,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// loopbackIP returns a random address of 127.0.0.0/8, so that runs at the same
// time use different addresses and cannot take each other's ports.
func loopbackIP() (string, error) {
	var b [3]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", err
	}
	return fmt.Sprintf("127.%d.%d.%d", 1+b[0]%254, b[1], 1+b[2]%254), nil
}

// address reserves a free port.
func (p *planner) address() (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(p.ip, "0"))
	if err != nil {
		return "", err
	}
	p.reserved = append(p.reserved, l)
	return l.Addr().String(), nil
}

func (p *planner) release() {
	for _, l := range p.reserved {
		_ = l.Close()
	}
}

func (p *planner) path(parts ...string) string {
	return filepath.Join(append([]string{p.dir}, parts...)...)
}

func (p *planner) makeDirectories() error {
	absolute, err := filepath.Abs(p.dir)
	if err != nil {
		return err
	}
	p.dir = absolute
	if strings.ContainsAny(p.dir, " \t\n") {
		return errors.New("the directory's path must not contain blanks")
	}
	for _, name := range []string{"tokens", "ledgers", "logs", "settings"} {
		if err := os.MkdirAll(p.path(name), 0o700); err != nil {
			return err
		}
	}
	return nil
}

// writeFiles writes plan.json and processes.txt, one process per line: name,
// program, arguments.
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

func readPlan(dir string) (demoPlan, error) {
	var p demoPlan
	data, err := os.ReadFile(filepath.Join(dir, "plan.json"))
	if err != nil {
		return p, err
	}
	return p, json.Unmarshal(data, &p)
}
