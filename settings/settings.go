// Package settings reads the TOML settings of a process. Settings say where a
// process runs and how it reaches others; what operators may change while it
// runs is configuration and lives in the table service.
package settings

import (
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Process is the settings file of lavender-entry and lavender-controller.
type Process struct {
	Host     Host     `toml:"host"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Identity Identity `toml:"identity"`
	Limits   Limits   `toml:"limits"`
	Timing   Timing   `toml:"timing"`
	Training Training `toml:"training"`
	Log      Log      `toml:"log"`
}

// Host names the host and its availability zone.
type Host struct {
	Name string `toml:"name"`
	Zone string `toml:"zone"`
}

// Listen holds the addresses of this process, each an IP number and a port.
type Listen struct {
	HTTP string `toml:"http"`
	GRPC string `toml:"grpc"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Tables  string `toml:"tables"`
	Objects string `toml:"objects"`
	Hosts   string `toml:"hosts"`
	// TokenFile holds the token that the platform expects, if any.
	TokenFile string `toml:"token_file"`
}

// Identity names the files that hold secrets.
type Identity struct {
	// PrincipalsFile lists the principals and their token files.
	PrincipalsFile string `toml:"principals_file"`
	// ProcessTokenFile holds the token that this process presents to others.
	ProcessTokenFile string `toml:"process_token_file"`
}

// Limits bound what one request and one principal may use.
type Limits struct {
	BodyBytes         int64   `toml:"body_bytes"`
	HeaderBytes       int     `toml:"header_bytes"`
	RequestSeconds    float64 `toml:"request_seconds"`     // longest request
	RequestsPerSecond float64 `toml:"requests_per_second"` // per principal
	Burst             int     `toml:"burst"`               // per principal
}

// Timing holds the periods and bounds of the control loop.
type Timing struct {
	HostListSeconds      float64 `toml:"host_list_seconds"`
	HostRowSeconds       float64 `toml:"host_row_seconds"`
	StateReportSeconds   float64 `toml:"state_report_seconds"`
	ConfigPollSeconds    float64 `toml:"config_poll_seconds"`
	ConfigConfirmSeconds float64 `toml:"config_confirm_seconds"`
	ContactAfterSeconds  float64 `toml:"contact_after_seconds"`
	DrainDelaySeconds    float64 `toml:"drain_delay_seconds"`
	DrainLimitSeconds    float64 `toml:"drain_limit_seconds"`
	LeaseSeconds         float64 `toml:"lease_seconds"`
	LeaseMarginSeconds   float64 `toml:"lease_margin_seconds"`
	OrderSeconds         float64 `toml:"order_seconds"`
}

// Training holds the controller's settings.
type Training struct {
	Partitions int `toml:"partitions"` // the same on every controller
}

// Log selects level and format of the log.
type Log struct {
	Level  string `toml:"level"`  // debug, info, warn or error
	Format string `toml:"format"` // json or console
}

// Default returns the settings that a file overrides.
func Default() Process {
	return Process{
		Limits: Limits{
			BodyBytes: 1 << 20, HeaderBytes: 16 << 10, RequestSeconds: 300,
			RequestsPerSecond: 500, Burst: 1000,
		},
		Timing: Timing{
			HostListSeconds: 1, HostRowSeconds: 15, StateReportSeconds: 0.5,
			ConfigPollSeconds: 2, ConfigConfirmSeconds: 8, ContactAfterSeconds: 3,
			DrainDelaySeconds: 5, DrainLimitSeconds: 600,
			LeaseSeconds: 6, LeaseMarginSeconds: 2, OrderSeconds: 2,
		},
		Training: Training{Partitions: 16},
		Log:      Log{Level: "info", Format: "json"},
	}
}

// Load reads a settings file. An unknown key is an error that names its place.
func Load(path string) (Process, error) {
	p := Default()
	f, err := os.Open(path)
	if err != nil {
		return p, err
	}
	defer func() { _ = f.Close() }()
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&p); err != nil {
		return p, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}
