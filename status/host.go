package status

import "time"

// HostView is the state of one lavender-host process at one point in time. It includes the
// process's view of other hosts, which may be outdated.
type HostView struct {
	Host           string         `json:"host"`
	BootID         string         `json:"lifetime"`
	Draining       bool           `json:"draining"`
	DesiredVersion uint64         `json:"desired_version"` // 0 until the first desired state is read
	Feeds          []FeedView     `json:"feeds"`
	OrderLease     OrderLeaseView `json:"duty"`
	Duties         *DutiesView    `json:"duties,omitempty"` // nil if the deployment has none
	Servers        []ServerView   `json:"servers"`
	Models         map[string]int `json:"models"` // newest weight version that the trainer named, by model
	Lots           []LotView      `json:"lots"`
	Peers          []string       `json:"peers"`
	// Organisations lists the names of the organisations in force.
	Organisations []string `json:"organisations,omitempty"`
	Quarantined   []string `json:"quarantined,omitempty"` // contents of requests that crash servers
	// SoftwareHistories lists the software versions of which streams may be open, by service.
	SoftwareHistories map[string]string `json:"software_histories,omitempty"`
}

// FeedView is the state of the feed of one table of the store.
type FeedView struct {
	Table string `json:"table"`
	Down  bool   `json:"down"`   // the feed is lost
	AgeMS int64  `json:"age_ms"` // milliseconds since Down last changed
}

// OrderLeaseView is the state of the order lease, under which one process gives orders to
// engines.
type OrderLeaseView struct {
	Holder     string `json:"holder"`
	Held       bool   `json:"held"`
	Fence      uint64 `json:"fence"`
	SilentMS   int64  `json:"silent_ms"` // milliseconds since this process saw RowVersion change
	RowVersion uint64 `json:"row_version"`
}

// DutiesView shows which host makes the calls that one host at a time must make, and the last
// calls of this process.
type DutiesView struct {
	Holder string                  `json:"holder"`
	ForMS  int64                   `json:"for_ms"` // milliseconds since this process saw the holder first
	Acting bool                    `json:"acting"` // this process may make calls now
	Last   map[string]DutyCallView `json:"last"`   // by duty
	// WindowsWaiting is the number of fixed usage windows that the platform has not taken. It is
	// 0 unless this process holds the duties.
	WindowsWaiting int `json:"windows_waiting"`
	// FixedThrough is the number of the last usage window whose counts are no longer changed.
	FixedThrough int64 `json:"fixed_through"`
	// ClockCorrectionMS is added to the time of this host, in milliseconds.
	ClockCorrectionMS int64 `json:"clock_correction_ms"`
	// Servers lists the orders of servers that this process knows of.
	Servers []OrderedServersView `json:"servers,omitempty"`
}

// OrderedServersView is the last order of a kind of servers in an availability zone.
type OrderedServersView struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Spot    bool   `json:"spot"`
	Ordered bool   `json:"ordered"` // there has been an order
	Number  int    `json:"number"`
	Outcome string `json:"outcome"`
	AgeMS   int64  `json:"age_ms"`
}

// DutyCallView is a call of a duty.
type DutyCallView struct {
	Subject string `json:"subject"`
	AgeMS   int64  `json:"age_ms"`
	Outcome string `json:"outcome"` // sent or the reason of the failure, empty while the call is under way
}

// ServerView is the state of a backend server.
type ServerView struct {
	ID              string         `json:"id"`
	Service         string         `json:"service"`
	Zone            string         `json:"zone"`
	Leaving         bool           `json:"leaving"`
	Missing         bool           `json:"missing"` // its record expired while the store was unavailable
	Suspect         bool           `json:"suspect"`
	Running         int            `json:"running"`                 // number of items that this host runs on it
	EventIntervalMS float64        `json:"gap_ms"`                  // expected time between two events, in milliseconds
	Answers         *SpeedView     `json:"answers,omitempty"`       // estimate of plain requests, absent if nothing is known
	Events          *SpeedView     `json:"events,omitempty"`        // estimate of the events of streams and items
	RequestLimit    float64        `json:"request_limit,omitempty"` // requests per second that it takes from all hosts, 0 for no limit
	PreferredModel  string         `json:"home,omitempty"`
	Software        string         `json:"software,omitempty"` // version of its software
	Versions        map[string]int `json:"versions,omitempty"`
}

// SpeedView is the estimate of the speed of a server.
type SpeedView struct {
	AloneMS float64 `json:"alone_ms"` // time of a unit of work while there are no other requests
	Growth  float64 `json:"growth"`   // relative growth of that time with each further request
	Useful  float64 `json:"useful"`   // number of requests beyond which further ones add no throughput
	Trust   float64 `json:"trust"`    // share of a stated slowdown that shows in the durations of work
	AgeMS   int64   `json:"age_ms"`   // age of the newest measurement
}

// LotView is the state of a lot.
type LotView struct {
	ID           string `json:"id"`
	Model        string `json:"model"`
	Organisation string `json:"organisation,omitempty"`
	Owner        string `json:"owner"`
	Stage        string `json:"stage"`
	Listed       int    `json:"listed"`
	Total        int    `json:"total"`
	Ended        bool   `json:"ended"`
	SilentMS     int64  `json:"silent_ms"` // milliseconds since this process saw RowVersion change
	RowVersion   uint64 `json:"row_version"`
}

// Millis converts a duration to milliseconds, the unit of times in views.
func Millis(d time.Duration) int64 { return d.Milliseconds() }
