package command

import (
	"time"

	"github.com/lavenderstand/lavenderstand/origin"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// WriteSoftwareHistory records the software versions of a service, whose row has the given
// version.
type WriteSoftwareHistory struct {
	Service  string
	Versions []registry.Software
	Version  uint64
}

// Name implements Command.
func (WriteSoftwareHistory) Name() string { return "write_software_history" }

// WriteStreamRecord records the streams that this host forwarded in its row, which has the
// given version.
type WriteStreamRecord struct {
	Record  origin.Record
	Version uint64
}

// Name implements Command.
func (WriteStreamRecord) Name() string { return "write_stream_record" }

// ReadStreamOrigins reads which software versions began streams, and the recorded versions of
// their services.
type ReadStreamOrigins struct {
	IssuedAt time.Duration
	Streams  []origin.Stream
}

// Name implements Command.
func (ReadStreamOrigins) Name() string { return "read_stream_origins" }

// PurgeStreamRecords removes the records of all hosts.
type PurgeStreamRecords struct{}

// Name implements Command.
func (PurgeStreamRecords) Name() string { return "purge_stream_records" }

// AnswerStreamOrigin answers event.StreamOriginRequested. Reason states why the version is not
// known, empty if it is.
type AnswerStreamOrigin struct {
	RequestID string
	Software  registry.Software
	Reason    verdict.Reason
}

// Name implements Command.
func (AnswerStreamOrigin) Name() string { return "answer_stream_origin" }
