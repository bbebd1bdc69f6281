// Package settings reads the TOML settings of a process. Settings state where the process
// runs and how it reaches other systems. Values that operators may change at run time are
// configuration, which is stored in the table service.
package settings

// Process holds the settings of a lavender-entry or lavender-controller process.
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
	Name string `toml:"name" require:"required"`
	Zone string `toml:"zone" require:"required"`
}

// Listen holds the addresses of this process, each an IP address and a port.
type Listen struct {
	HTTP string `toml:"http" validate:"omitempty,ip_port" require:"required"`
	GRPC string `toml:"grpc" validate:"omitempty,ip_port" require:"required"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Tables  string `toml:"tables" validate:"omitempty,ip_url" require:"required"`
	Objects string `toml:"objects" validate:"omitempty,ip_url" require:"required"`
	Hosts   string `toml:"hosts" validate:"omitempty,ip_url" require:"required"`
	// TokenFile names the file with the token that the platform expects, if any.
	TokenFile string `toml:"token_file" validate:"omitempty,secret_file"`
}

// Identity names the files that hold secrets.
type Identity struct {
	// PrincipalsFile names the file that lists the principals and their token files.
	PrincipalsFile string `toml:"principals_file" validate:"omitempty,secret_file" require:"required"`
	// ProcessTokenFile names the file with the token that this process presents to the
	// system's other processes.
	ProcessTokenFile string `toml:"process_token_file" validate:"omitempty,secret_file" require:"required"`
	// OrderTokenFile names the file with the token for orders to engines that check the
	// issuer. It is not the process token, because engines are not trusted to call the
	// system's own processes.
	OrderTokenFile string `toml:"order_token_file" validate:"omitempty,secret_file"`
}

// Limits holds the limits of single requests and principals.
type Limits struct {
	BodyBytes         int64   `toml:"body_bytes" validate:"min=1024,max=67108864"`
	HeaderBytes       int     `toml:"header_bytes" validate:"min=1024,max=1048576"`
	RequestSeconds    float64 `toml:"request_seconds" validate:"gt=0,max=3600"`       // time limit of one request
	RequestsPerSecond float64 `toml:"requests_per_second" validate:"gt=0,max=100000"` // per principal
	Burst             int     `toml:"burst" validate:"min=1,max=1000000"`             // per principal
}

// Timing holds the intervals and time limits of the control loop, in seconds.
type Timing struct {
	// HostListSeconds is the minimum interval between two reads of the platform's host list.
	HostListSeconds float64 `toml:"host_list_seconds" validate:"min=0.1,max=60"`
	// HostRowSeconds is the interval at which this process renews its host row.
	HostRowSeconds float64 `toml:"host_row_seconds" validate:"min=1,max=20"`
	// StateReportSeconds is the minimum interval at which an entry host polls the state of
	// each backend server.
	StateReportSeconds float64 `toml:"state_report_seconds" validate:"min=0.05,max=10"`
	// ConfigPollSeconds is the interval between two reads of the configuration row.
	ConfigPollSeconds float64 `toml:"config_poll_seconds" validate:"min=0.1,max=10"`
	// ConfigConfirmSeconds is the time for which a confirmation of the configuration is valid.
	ConfigConfirmSeconds float64 `toml:"config_confirm_seconds" validate:"min=1,max=11"`
	// ContactAfterSeconds is the time without a successful read of the configuration row
	// after which peers are contacted.
	ContactAfterSeconds float64 `toml:"contact_after_seconds" validate:"min=0.5,max=10"`
	// DrainDelaySeconds is the time for which a draining entry host still accepts new requests.
	DrainDelaySeconds float64 `toml:"drain_delay_seconds" validate:"min=0,max=300"`
	// DrainLimitSeconds bounds the wait for the end of all work during a graceful shutdown.
	DrainLimitSeconds float64 `toml:"drain_limit_seconds" validate:"min=1,max=7200"`
	// LeaseSeconds is the TTL of a lease. A holder renews it after a third of this time.
	LeaseSeconds float64 `toml:"lease_seconds" validate:"min=1,max=60"`
	// LeaseRenewSeconds only sets a lower bound on LeaseSeconds. It does not change the time
	// at which leases are renewed.
	LeaseRenewSeconds float64 `toml:"lease_renew_seconds" validate:"min=0.1,max=20"`
	// LeaseMarginSeconds is the time beyond the TTL after which another process may take
	// over a lease.
	LeaseMarginSeconds float64 `toml:"lease_margin_seconds" validate:"min=0.5,max=30"`
	// OrderSeconds is the maximum validity of an order to an engine.
	OrderSeconds float64 `toml:"order_seconds" validate:"min=0.1,max=30"`
}

// Training holds the controller's settings.
type Training struct {
	Partitions int `toml:"partitions" validate:"min=1,max=1024"` // must be the same on every controller
}

// Log selects the level and the format of the log.
type Log struct {
	Level  string `toml:"level" validate:"oneof=debug info warn error"` // debug, info, warn or error
	Format string `toml:"format" validate:"oneof=json console"`         // json or console
}

// Default returns the default settings, which a settings file overrides.
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
			LeaseSeconds: 6, LeaseRenewSeconds: 2, LeaseMarginSeconds: 2, OrderSeconds: 2,
		},
		Training: Training{Partitions: 16},
		Log:      Log{Level: "info", Format: "json"},
	}
}
