package demo

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/settings"
	"github.com/lavenderstand/lavenderstand/standin"
)

func serveAt(t *testing.T, address string, register func(*echo.Echo)) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	e := echo.New()
	register(e)
	server := httptest.NewUnstartedServer(e)
	require.NoError(t, server.Listener.Close())
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
}

// startFakes serves everything in a plan, with fakes for the product.
func startFakes(t *testing.T, dir string, relabel ledger.Version) {
	t.Helper()
	p, err := ReadPlan(dir)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	serveAt(t, p.Platform, func(e *echo.Echo) {
		e.PUT("/admin/hosts", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	})
	for _, h := range p.Hosts {
		journal, err := standin.OpenJournal(filepath.Join(dir, "ledgers", h.Name+".jsonl"))
		require.NoError(t, err)
		o := standin.ServiceOptions{Name: h.Name, Model: h.Model, Journal: journal}
		switch h.Kind {
		case "engine":
			engine := standin.NewEngine(standin.EngineOptions{
				Name: h.Name, Model: h.Model, Version: 1, TokensPerSecond: 20000, LoadDuration: time.Millisecond, Journal: journal,
			})
			go func() { _ = engine.Run(ctx) }()
			serveAt(t, h.Address, engine.Register)
		case "service":
			serveAt(t, h.Address, standin.NewPlainService(o).Register)
		case "scoring":
			serveAt(t, h.Address, standin.NewScoringService(o).Register)
		}
	}
	fake := newFakeEntry(p, "")
	fake.relabel = relabel
	for _, address := range p.Entries {
		serveAt(t, address, fake.register)
	}
	balancer := standin.NewBalancer(standin.BalancerOptions{Hosts: p.Entries, Lag: 50 * time.Millisecond})
	go func() { _ = balancer.Run(ctx) }()
	serveAt(t, p.Balancer, balancer.Register)
}

func runDemo(t *testing.T, relabel ledger.Version, faults ...string) error {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, WritePlan(PlanOptions{Dir: dir, Seed: 1, Entries: 3, Engines: 4}))
	startFakes(t, dir, relabel)
	require.NoError(t, RunLoad(LoadOptions{Dir: dir, Duration: 2 * time.Second, DrainTimeout: 20 * time.Second, Faults: faults}))
	return VerifyRun(dir)
}

// TestDemoPassesOnCorrectProduct guards against clients or a judge that find
// faults where there are none, here with a slow service.
func TestDemoPassesOnCorrectProduct(t *testing.T) {
	require.NoError(t, runDemo(t, 0, `500ms,service-1,{"slow_ms":20}`))
}

// TestDemoFailsOnWrongLabels guards against a judge that takes the product's
// word for weight versions.
func TestDemoFailsOnWrongLabels(t *testing.T) {
	require.ErrorContains(t, runDemo(t, 77), "did not pass")
}

// TestDemoFailsOnRepeatedClaim guards against a run in which a claim that ran
// is lost or doubled unnoticed: the fake repeats nothing itself, but the caller
// retries with the same key and a service without claims runs it again.
func TestDemoFailsOnRepeatedClaim(t *testing.T) {
	require.ErrorContains(t, runDemo(t, 0, `0s,service-1,{"cut_after_run":30}`), "did not pass")
}

// TestPlansDoNotClash guards against two runs on the same machine that use the
// same addresses, and against settings that the processes cannot read.
func TestPlansDoNotClash(t *testing.T) {
	seen := make(map[string]bool)
	for range 2 {
		dir := t.TempDir()
		require.NoError(t, WritePlan(PlanOptions{Dir: dir, Seed: 1, Entries: 4, Engines: 2}))
		p, err := ReadPlan(dir)
		require.NoError(t, err)
		for _, address := range p.Addresses {
			require.False(t, seen[address])
			seen[address] = true
		}
		s, err := settings.Load(filepath.Join(dir, "settings", "controller-4.toml"))
		require.NoError(t, err)
		require.Equal(t, "host-4", s.Host.Name)
		list, err := os.ReadFile(filepath.Join(dir, "processes.txt"))
		require.NoError(t, err)
		require.Equal(t, 2*4+2+2+1+2, strings.Count(string(list), "\n"))
	}
}
