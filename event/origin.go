package event

import (
	"time"

	"github.com/lavenderstand/lavenderstand/origin"
	"github.com/lavenderstand/lavenderstand/registry"
)

// StreamBegan reports that this host has got the first event of a stream, or of the rest of a
// stream that its caller resumed. Software is the version that began the stream.
type StreamBegan struct {
	Stream   origin.Stream
	Software registry.Software
}

// Name implements Event.
func (StreamBegan) Name() string { return "stream_began" }

// StreamOriginRequested asks which software version began a stream. HistoryAge is the time
// since the recorded versions of services were last known to be current.
type StreamOriginRequested struct {
	RequestID  string
	Stream     origin.Stream
	HistoryAge time.Duration
}

// Name implements Event.
func (StreamOriginRequested) Name() string { return "stream_origin_requested" }

// SoftwareHistoryRow holds the recorded software versions of a service as read from the store.
type SoftwareHistoryRow struct {
	Service  string
	Versions []registry.Software
	Version  uint64 // of the row
}

// SoftwareHistoryRead holds changed rows.
type SoftwareHistoryRead struct{ Rows []SoftwareHistoryRow }

// Name implements Event.
func (SoftwareHistoryRead) Name() string { return "software_history_read" }

// SoftwareHistoryWritten is the outcome of command.WriteSoftwareHistory.
type SoftwareHistoryWritten struct {
	Service string
	Failure *Failure
}

// Name implements Event.
func (SoftwareHistoryWritten) Name() string { return "software_history_written" }

// StreamRecordWritten is the outcome of command.WriteStreamRecord. After a conflict, Stored is
// what the row holds.
type StreamRecordWritten struct {
	Stored  origin.Stored
	Failure *Failure
}

// Name implements Event.
func (StreamRecordWritten) Name() string { return "stream_record_written" }

// StreamOriginsRead is the outcome of command.ReadStreamOrigins, which was issued at IssuedAt.
type StreamOriginsRead struct {
	IssuedAt  time.Duration
	Origins   map[origin.Stream]registry.Software // as far as recorded
	Histories map[string][]registry.Software      // by service
	Failure   *Failure
}

// Name implements Event.
func (StreamOriginsRead) Name() string { return "stream_origins_read" }
