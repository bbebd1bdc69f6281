// Package lot defines lots, the submissions of trainers, and stores them: the submitted
// items, the head row that orders all changes of a lot, and the results in the order in
// which they were listed.
package lot

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderstand/lavenderstand/registry"
)

// Submission is a set of items that a trainer submits in one request.
type Submission struct {
	ID             string           `json:"id"`
	Host           string           `json:"host"` // host and path of the request, which select the route
	Path           string           `json:"path"`
	Organisation   string           `json:"organisation,omitempty"` // of the caller that submitted it
	Model          string           `json:"model,omitempty"`
	Step           int              `json:"step,omitempty"`
	MinimumVersion registry.Version `json:"minimum_version,omitempty"`
	TargetGroups   int              `json:"target_groups,omitempty"`
	Items          []Item           `json:"items"`
}

// Item is one generation request of a lot.
type Item struct {
	ID              string            `json:"id"`
	Path            string            `json:"path"`
	Headers         map[string]string `json:"headers,omitempty"`
	Body            []byte            `json:"body,omitempty"`
	Tokens          int               `json:"tokens,omitempty"`
	Group           string            `json:"group,omitempty"`
	EstimatedTokens int               `json:"length,omitempty"` // estimated output tokens, 0 if unknown
	MaxTokens       int               `json:"limit,omitempty"`  // output tokens after which the engine stops, 0 if unknown
	Scorer          *Scorer           `json:"scorer,omitempty"`
}

// Scorer is the request that scores an item. The score is the stamp of its response.
type Scorer struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body,omitempty"`
}

// State is the final state of an item.
type State string

// Final states of an item.
const (
	StateCompleted  State = "completed"
	StateTerminated State = "terminated"
)

// Result is the listed result of an item.
type Result struct {
	Item     string             `json:"item"`
	State    State              `json:"state"`
	Text     string             `json:"text,omitempty"`
	Versions []registry.Version `json:"versions,omitempty"`
	Score    string             `json:"score,omitempty"`
}

// Progress is the partial output of an item that is not listed yet.
type Progress struct {
	Item     string             `json:"item"`
	Events   []string           `json:"events"` // data of the events in order; event ids start at 1
	Versions []registry.Version `json:"versions"`
	Software registry.Software  `json:"software,omitempty"` // software version of the server that began the output
	Complete bool               `json:"complete,omitempty"` // the output is complete, only the score is missing
}

// Process identifies a process that runs lots. Each start of the process on a host has
// its own BootID.
type Process struct {
	Host   string `json:"host"`
	BootID string `json:"lifetime"`
	// CPUMillicores is the CPU share of the host in thousandths of a core. Hosts with a
	// larger share are preferred, because a slow host delays every item of a lot.
	CPUMillicores int `json:"power,omitempty"`
}

// lowCPUMillicores is the CPU share, in thousandths of a core, below which a host leaves
// lots to other hosts.
const lowCPUMillicores = 400

// LowCPU reports whether the host of the process should leave lots to other hosts.
func (p Process) LowCPU() bool { return p.CPUMillicores < lowCPUMillicores }

// Head is the record that orders all changes of a lot: each commit to a lot is
// conditional on the row version of its head.
type Head struct {
	ID              string  `json:"id"`
	Owner           Process `json:"owner"` // empty after a planned handover
	Model           string  `json:"model,omitempty"`
	Organisation    string  `json:"organisation,omitempty"` // whose callers may access the lot; empty: all
	Total           int     `json:"total"`
	EstimatedTokens int     `json:"work,omitempty"` // estimated output tokens of all items
	Listed          int     `json:"listed"`
	Ended           bool    `json:"ended,omitempty"`
	AcceptedUnixMS  int64   `json:"accepted"`             // Unix milliseconds
	BodyChunks      int     `json:"body_rows"`            // number of rows or objects of the submission
	InObjects       bool    `json:"in_objects,omitempty"` // the submission is stored in objects, not in rows
	// BucketParts is the number of objects of each bucket of a large submission. It is empty
	// if an earlier release stored the submission in BodyChunks objects.
	BucketParts []int `json:"bucket_parts,omitempty"`
	// CandidateIndex is the index of the head's partition among the candidate partitions
	// of the lot. A creation with an unknown outcome can leave heads of the same lot in
	// several partitions; the one that was created first is authoritative.
	CandidateIndex int `json:"place,omitempty"`
	// CreatedVersion is the version of the row at its creation. It is 0 in a head that has
	// not been changed since; see CreationVersion.
	CreatedVersion uint64 `json:"created,omitempty"`
	BodyPart       string `json:"body_part"` // partition of the submission and the progress
	// Segments lists the partitions that hold the results, in the order of positions. If
	// a partition does not respond, later results go to a new one.
	Segments    []Segment `json:"segments,omitempty"`
	HasProgress bool      `json:"progress,omitempty"` // partial outputs of unfinished items are stored
	// Urgency states how far the trainer of the model is behind, 1000 if it is neither behind
	// nor ahead. EventsPerS is the mean speed of the model's engines in thousandths of an event
	// per second. ReadyMS is the time from the submission of the model's last step until the
	// groups that its trainer waits for were complete. Each is as the owner knows, and 0 in
	// heads that their owner has not written yet and in those of earlier releases.
	Urgency    int `json:"urgency,omitempty"`
	EventsPerS int `json:"speed,omitempty"`
	ReadyMS    int `json:"ready,omitempty"`
	// WriteID is unique to each commit. A commit whose response was lost is sent again with
	// the same WriteID; if the stored head then has it, an earlier attempt took effect.
	WriteID string `json:"write"`
}

// Segment is a range of positions whose results are stored in one partition. It ends
// where the next segment begins.
type Segment struct {
	From int    `json:"from"`
	Part string `json:"part"`
}

// segmentOf returns the partition of the result at a position and the position at which
// the next segment begins.
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

// Open reports whether the lot has items that are still to be run.
func (h *Head) Open() bool { return !h.Ended && h.Listed < h.Total }

// CreationVersion returns the store version at which the head was created, given the
// current version of its row. Store versions only increase, so a creation that is applied
// late has a higher version than every head known before. A reader that has seen all
// changes up to the creation of a head can therefore tell whether it is authoritative.
func (h *Head) CreationVersion(version uint64) uint64 {
	if h.CreatedVersion != 0 {
		return h.CreatedVersion
	}
	return version
}

// CreationVersion returns the version at which the head was created.
func (s *StoredHead) CreationVersion() uint64 { return s.Head.CreationVersion(s.Version) }

// Age returns the wall-clock time since the submission was accepted.
func (h *Head) Age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(h.AcceptedUnixMS)) }

// AddVersion returns versions with v appended unless it is already present.
func AddVersion(versions []registry.Version, v registry.Version) []registry.Version {
	if slices.Contains(versions, v) {
		return versions
	}
	return append(versions, v)
}

// partName returns the name of the partition for one attempt of a write. Each write uses
// its own names, so that a partition holds one contiguous range of positions. The names
// are hashes without a common prefix, so that a store that places partitions by name
// spreads them.
func partName(id string, position, attempt int) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprintf("%s.%d.%d", id, position, attempt)))
}

// Page is a page of the results of a lot. Total is the number of items of the lot.
type Page struct {
	Total   int
	Results []Result
}

// EstimatedTokens returns the estimated output tokens of all items. An item without an
// estimate counts as one token.
func (s *Submission) EstimatedTokens() int {
	tokens := 0
	for i := range s.Items {
		tokens += max(1, s.Items[i].EstimatedTokens)
	}
	return tokens
}
