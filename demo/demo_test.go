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

// serveAt serves HTTP routes at an address until the test ends.
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

// startFakes starts all servers in a plan: the stand-ins and, instead of the system under
// test, fake entry hosts. A relabel other than 0 replaces the weight version of samples.
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

// runDemo runs the load against fakes and verifies the result.
func runDemo(t *testing.T, relabel ledger.Version, faults ...string) error {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, WritePlan(PlanOptions{Dir: dir, Seed: 1, Entries: 3, Engines: 4}))
	startFakes(t, dir, relabel)
	require.NoError(t, RunLoad(LoadOptions{Dir: dir, Duration: 2 * time.Second, DrainTimeout: 20 * time.Second, Faults: faults}))
	return VerifyRun(dir)
}

// TestDemoPassesOnCorrectSystem guards against clients or a verification that report problems
// of a system that works correctly, here with a slow service.
func TestDemoPassesOnCorrectSystem(t *testing.T) {
	require.NoError(t, runDemo(t, 0, `500ms,service-1,{"slow_ms":20}`))
}

// TestDemoFailsOnWrongLabels guards against a verification that trusts the weight versions
// that the system reports.
func TestDemoFailsOnWrongLabels(t *testing.T) {
	require.ErrorContains(t, runDemo(t, 77), "did not pass")
}

// TestDemoFailsOnRepeatedClaim guards against a verification that misses a claim that was
// lost or ran twice. The fake does not retry, but the caller retries with the same key, and
// the service runs the request again because no claim protects it.
func TestDemoFailsOnRepeatedClaim(t *testing.T) {
	require.ErrorContains(t, runDemo(t, 0, `0s,service-1,{"cut_after_run":30}`), "did not pass")
}

// TestPlansDoNotConflict guards against two runs on one machine that use the same addresses,
// and against settings that the processes cannot read.
func TestPlansDoNotConflict(t *testing.T) {
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
