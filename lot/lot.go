// Package lot holds the lots of trainers: what a trainer submits, what is kept of it
// in the store and the results in the order in which they were listed.
package lot

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderstand/lavenderstand/registry"
)

// Submission is a lot of items that a trainer submitted at once.
type Submission struct {
	ID             string           `json:"id"`
	Host           string           `json:"host"` // host and path of the route that took it
	Path           string           `json:"path"`
	Model          string           `json:"model,omitempty"`
	Step           int              `json:"step,omitempty"`
	MinimumVersion registry.Version `json:"minimum_version,omitempty"`
	TargetGroups   int              `json:"target_groups,omitempty"`
	Items          []Item           `json:"items"`
}

// Item is one generation of a lot.
type Item struct {
	ID              string            `json:"id"`
	Path            string            `json:"path"`
	Headers         map[string]string `json:"headers,omitempty"`
	Body            []byte            `json:"body,omitempty"`
	Tokens          int               `json:"tokens,omitempty"`
	Group           string            `json:"group,omitempty"`
	EstimatedTokens int               `json:"length,omitempty"` // estimate of the output tokens, 0 without one
	Scorer          *Scorer           `json:"scorer,omitempty"`
}

// Scorer is the request whose answer's stamp is the score of an item.
type Scorer struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body,omitempty"`
}

// State is the outcome of an item.
type State string

// Outcomes of an item.
const (
	StateCompleted  State = "completed"
	StateTerminated State = "terminated"
)

// Result is a listed item.
type Result struct {
	Item     string             `json:"item"`
	State    State              `json:"state"`
	Text     string             `json:"text,omitempty"`
	Versions []registry.Version `json:"versions,omitempty"`
	Score    string             `json:"score,omitempty"`
}

// Progress is what has been generated of an item that is not listed yet.
type Progress struct {
	Item     string             `json:"item"`
	Events   []string           `json:"events"` // data of each event, the first has id 1
	Versions []registry.Version `json:"versions"`
	Complete bool               `json:"complete,omitempty"` // only the score is missing
}

// Process is the process that runs a lot. BootID differs with each start of the
// process on the same host.
type Process struct {
	Host   string `json:"host"`
	BootID string `json:"lifetime"`
	// CPUMillicores is the processor share of the host in thousandths of a core. Lots go to
	// strong hosts, because a weak one delays every item of a lot.
	CPUMillicores int `json:"power,omitempty"`
}

// lowCPUMillicores is the processor share, in thousandths of a core, below which a host leaves
// lots to others.
const lowCPUMillicores = 400

// LowCPU reports whether the host of the process should leave lots to others.
func (o Process) LowCPU() bool { return o.CPUMillicores < lowCPUMillicores }

// Head is the record that orders all changes of a lot. Each commit of a lot is
// conditional on the version of its head.
type Head struct {
	ID              string  `json:"id"`
	Owner           Process `json:"owner"` // empty after a planned hand-over
	Model           string  `json:"model,omitempty"`
	Total           int     `json:"total"`
	EstimatedTokens int     `json:"work,omitempty"` // estimated output tokens of all items
	Listed          int     `json:"listed"`
	Ended           bool    `json:"ended,omitempty"`
	AcceptedUnixMS  int64   `json:"accepted"` // Unix milliseconds
	BodyRows        int     `json:"body_rows"`
	InObjects       bool    `json:"in_objects,omitempty"` // the submission lies in objects, not in rows
	// Place says in which of its possible parts the head lies. Heads of one lot in
	// several places come from creations whose outcome was unknown; the one that was
	// created first counts.
	Place int `json:"place,omitempty"`
	// CreatedVersion is the version of the row at its creation. It is 0 in a head that has not
	// been changed since, see CreationVersion.
	CreatedVersion uint64 `json:"created,omitempty"`
	BodyPart       string `json:"body_part"`
	// Segments say in which parts of the store the results lie, in the order of their
	// positions. A part that does not answer is replaced by another one.
	Segments    []Segment `json:"segments,omitempty"`
	HasProgress bool      `json:"progress,omitempty"` // texts of unfinished items are stored
	// WriteID differs with each commit. A commit whose answer was lost is sent again
	// unchanged; if the head then has this value, the first copy took effect.
	WriteID string `json:"write"`
}

// Segment is a run of positions whose results lie in one part of the store.
type Segment struct {
	From int    `json:"from"`
	Part string `json:"part"`
}

// segmentOf returns the part of the result at a position and the position at which
// the next part begins.
func segmentOf(segments []Segment, position int) (part string, end int) {
	end = math.MaxInt
	for i := len(segments) - 1; i >= 0; i-- {
		if segments[i].From <= position {
			return segments[i].Part, end
		}
		end = segments[i].From
	}
	return "", end
}

// Open reports whether items of the lot still have to run.
func (h *Head) Open() bool { return !h.Ended && h.Listed < h.Total }

// CreationVersion returns the version at which a head was created whose row has the given
// version. Versions of the store only rise, so a creation that applies late comes after
// all that is known, and who has read all changes up to a head's creation knows whether
// it counts.
func (h *Head) CreationVersion(version uint64) uint64 {
	if h.CreatedVersion != 0 {
		return h.CreatedVersion
	}
	return version
}

// CreationVersion returns the version at which the head was created.
func (s *StoredHead) CreationVersion() uint64 { return s.Head.CreationVersion(s.Version) }

// Age returns the time since the submission by the wall clock.
func (h *Head) Age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(h.AcceptedUnixMS)) }

// AddVersion returns versions with v, without duplicates.
func AddVersion(versions []registry.Version, v registry.Version) []registry.Version {
	if slices.Contains(versions, v) {
		return versions
	}
	return append(versions, v)
}

// partName returns the name of a part for a try of a write. Each write has names of
// its own, so that a part holds one run of positions. The names share no beginning, so
// that a store that places parts by name puts them apart.
func partName(id string, position, try int) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprintf("%s.%d.%d", id, position, try)))
}

// Page is a part of the results of a lot.
type Page struct {
	Total   int
	Results []Result
}

// EstimatedTokens estimates the output tokens of all items of a submission.
func (s *Submission) EstimatedTokens() int {
	work := 0
	for i := range s.Items {
		work += max(1, s.Items[i].EstimatedTokens)
	}
	return work
}
