package status

import "time"

// HostView is what one lavender-host process believes at one time. Ages are in
// milliseconds.
type HostView struct {
	Host           string         `json:"host"`
	BootID         string         `json:"lifetime"`
	Draining       bool           `json:"draining"`
	DesiredVersion uint64         `json:"desired_version"` // 0 before the first is known
	Feeds          []FeedView     `json:"feeds"`
	OrderLease     OrderLeaseView `json:"duty"`
	Servers        []ServerView   `json:"servers"`
	Models         map[string]int `json:"models"` // version that the trainer named last
	Lots           []LotView      `json:"lots"`
	Peers          []string       `json:"peers"`
}

// FeedView is the state of a feed of the store.
type FeedView struct {
	Table string `json:"table"`
	Down  bool   `json:"down"`
	AgeMS int64  `json:"age_ms"` // since Down last changed
}

// OrderLeaseView is the lease for orders to engines.
type OrderLeaseView struct {
	Holder     string `json:"holder"`
	Held       bool   `json:"held"`
	Fence      uint64 `json:"fence"`
	SilentMS   int64  `json:"silent_ms"`
	RowVersion uint64 `json:"row_version"`
}

// ServerView is a backend server.
type ServerView struct {
	ID              string         `json:"id"`
	Service         string         `json:"service"`
	Zone            string         `json:"zone"`
	Leaving         bool           `json:"leaving"`
	Missing         bool           `json:"missing"` // its record lapsed while the store was away
	Suspect         bool           `json:"suspect"`
	Running         int            `json:"running"` // items of this host
	EventIntervalMS float64        `json:"gap_ms"`  // smoothed time between two events
	PreferredModel  string         `json:"home,omitempty"`
	Versions        map[string]int `json:"versions,omitempty"`
}

// LotView is a batch submission.
type LotView struct {
	ID         string `json:"id"`
	Model      string `json:"model"`
	Owner      string `json:"owner"`
	Stage      string `json:"stage"`
	Listed     int    `json:"listed"`
	Total      int    `json:"total"`
	Ended      bool   `json:"ended"`
	SilentMS   int64  `json:"silent_ms"`
	RowVersion uint64 `json:"row_version"`
}

// Millis converts a duration to the unit of views.
func Millis(d time.Duration) int64 { return d.Milliseconds() }
