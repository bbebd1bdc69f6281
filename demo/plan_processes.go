package demo

import (
	"crypto/rand"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/settings"
	"github.com/lavenderstand/lavenderstand/tablestore"
)

// Settings of the demo that differ from the defaults, so that a run with faults and a
// graceful shutdown ends within a minute.
const (
	demoDrainDelaySeconds    = 1.5 // at least twice the lag of the load balancer
	demoDrainLimitSeconds    = 15
	demoBalancerLag          = "500ms" // time between two readiness checks of the load balancer
	demoWeightBytesPerSecond = 16 << 20
)

type principal struct {
	Name      string `toml:"name"`
	Role      string `toml:"role"`
	TokenFile string `toml:"token_file"`
}

func (p *planner) tokenFile(name string) string { return p.path("tokens", name) }

// writeTokens writes the token files and the file of principals.
func (p *planner) writeTokens() error {
	var file struct {
		Principal []principal `toml:"principal"`
	}
	roles := [][2]string{{"app", "caller"}, {"operator", "operator"}, {"process", "process"}}
	for _, model := range models {
		roles = append(roles, [2]string{trainerName(model), "trainer"})
	}
	for _, r := range roles {
		if err := os.WriteFile(p.tokenFile(r[0]), []byte(rand.Text()+"\n"), 0o600); err != nil {
			return err
		}
		file.Principal = append(file.Principal, principal{Name: r[0], Role: r[1], TokenFile: p.tokenFile(r[0])})
	}
	// The token for orders does not belong to a principal, so it gives no access to the
	// system's own interfaces.
	if err := os.WriteFile(p.tokenFile("orders"), []byte(rand.Text()+"\n"), 0o600); err != nil {
		return err
	}
	data, err := toml.Marshal(file)
	if err != nil {
		return err
	}
	return os.WriteFile(p.path("principals.toml"), data, 0o600)
}

func trainerName(model string) string { return "trainer-" + model }

func zoneName(i int) string { return string(rune('a' + i%zoneCount)) }

// addStandin adds a stand-in process and returns its address.
func (p *planner) addStandin(name, role string, args ...string) (address string, err error) {
	if address, err = p.address(); err != nil {
		return "", err
	}
	p.plan.Addresses[name] = address
	args = append([]string{role, "--listen", address}, args...)
	p.processes = append(p.processes, process{name: name, program: "lavender-standin", args: args})
	return address, nil
}

// addPlatform adds the stand-in of the platform.
func (p *planner) addPlatform() error {
	address, err := p.addStandin("platform", "platform", "--seed", fmt.Sprint(p.plan.Seed),
		"--weight-bytes-per-second", fmt.Sprint(demoWeightBytesPerSecond))
	p.plan.Platform = address
	return err
}

// addBackends adds the engines, one plain service per zone and a scoring service.
func (p *planner) addBackends(engines int) error {
	for i := range engines {
		if err := p.addEngine(i); err != nil {
			return err
		}
	}
	for i := range zoneCount {
		name := fmt.Sprintf("service-%d", i+1)
		if err := p.addBackend(tablestore.ListedHost{Name: name, Kind: "service", Model: plainService, Zone: zoneName(i)}, "service"); err != nil {
			return err
		}
	}
	return p.addBackend(tablestore.ListedHost{Name: "scoring-1", Kind: "scoring", Model: scoringService, Zone: zoneName(0)}, "scoring")
}

// addEngine adds the engine with index i. Every third engine is slow, so that a run has
// stragglers. Every second engine checks the fencing tokens of orders, and one checks their
// issuer.
func (p *planner) addEngine(i int) error {
	h := tablestore.ListedHost{
		Name: fmt.Sprintf("engine-%d", i+1), Kind: "engine", Model: models[i%len(models)],
		Zone: zoneName(i / len(models)), ChecksFence: i%2 == 0, ChecksIdentity: i == 0,
	}
	tokensPerSecond := 400
	if i%3 == 2 {
		tokensPerSecond = 150
	}
	args := []string{"--tokens-per-second", fmt.Sprint(tokensPerSecond), "--slots", "16", "--event-loss", "0.05",
		"--weight-store", "http://" + p.plan.Platform}
	if h.ChecksFence {
		args = append(args, "--checks-fence")
	}
	if h.ChecksIdentity {
		args = append(args, "--checks-identity", "--token-file", p.tokenFile("orders"))
	}
	return p.addBackend(h, "engine", args...)
}

// addBackend adds the stand-in of a backend server and its entry in the host list.
func (p *planner) addBackend(h tablestore.ListedHost, role string, args ...string) (err error) {
	args = append(args, "--name", h.Name, "--model", h.Model, "--zone", h.Zone,
		"--seed", fmt.Sprint(p.plan.Seed+uint64(len(p.plan.Hosts))), "--ledger", p.path("ledgers", h.Name+".jsonl"))
	h.State = tablestore.StateLive
	if h.Address, err = p.addStandin(h.Name, role, args...); err != nil {
		return err
	}
	p.plan.Hosts = append(p.plan.Hosts, h)
	return nil
}

// addHosts adds an entry and a controller process for each entry host.
func (p *planner) addHosts(hosts int) error {
	p.plan.Config = demoConfig()
	for i := range hosts {
		name := fmt.Sprintf("host-%d", i+1)
		for _, role := range []string{"entry", "controller"} {
			http, err := p.addProcess(name, role, zoneName(i))
			if err != nil {
				return err
			}
			if role == "entry" {
				p.plan.Entries = append(p.plan.Entries, http)
				p.plan.Hosts = append(p.plan.Hosts, tablestore.ListedHost{
					Name: name, Kind: "entry", Address: http, Zone: zoneName(i), State: tablestore.StateLive,
				})
			}
		}
	}
	return nil
}

// addProcess adds an entry or controller process and returns its HTTP address.
func (p *planner) addProcess(host, role, zone string) (http string, err error) {
	if http, err = p.address(); err != nil {
		return "", err
	}
	grpc, err := p.address()
	if err != nil {
		return "", err
	}
	s := settings.Default()
	s.Host = settings.Host{Name: host, Zone: zone}
	s.Listen = settings.Listen{HTTP: http, GRPC: grpc}
	base := "http://" + p.plan.Platform
	s.Platform = settings.Platform{Tables: base, Objects: base, Hosts: base}
	s.Identity = settings.Identity{PrincipalsFile: p.path("principals.toml"), ProcessTokenFile: p.tokenFile("process"), OrderTokenFile: p.tokenFile("orders")}
	s.Timing.DrainDelaySeconds, s.Timing.DrainLimitSeconds = demoDrainDelaySeconds, demoDrainLimitSeconds
	data, err := toml.Marshal(s)
	if err != nil {
		return "", err
	}
	name := role + "-" + strings.TrimPrefix(host, "host-")
	file := p.path("settings", name+".toml")
	p.processes = append(p.processes, process{name: name, program: "lavender-" + role, args: []string{"--settings", file}})
	return http, os.WriteFile(file, data, 0o600)
}

func (p *planner) addBalancer() (err error) {
	p.plan.Balancer, err = p.addStandin("balancer", "balancer", "--hosts", strings.Join(p.plan.Entries, ","), "--lag", demoBalancerLag)
	return err
}

func demoConfig() plan.Config {
	c := plan.Config{
		Classes: map[string]plan.ClassConfig{
			liveClass:  {LatencyMS: 5000, OnTimeShare: 0.95},
			checkClass: {LatencyMS: 8000, OnTimeShare: 0.9},
			trainClass: {StalenessBound: 2},
		},
		Routes: map[string]plan.RouteConfig{
			lookupRoute: {Service: plainService, Idempotent: true, Class: liveClass},
			checkRoute:  {Service: plainService, Idempotent: true, Class: checkClass},
			claimRoute:  {Service: plainService, Class: liveClass},
		},
		Trainers: make(map[string]plan.TrainerConfig),
		Policy:   plan.PolicyConfig{Routing: plan.LeastCorrected, Stragglers: plan.StragglersHedged},
	}
	for _, model := range models {
		c.Trainers[trainerName(model)] = plan.TrainerConfig{Model: model, Class: trainClass}
	}
	return c
}
