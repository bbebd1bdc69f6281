package standin

import (
	"encoding/json"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/ledger"
)

// EngineFaults are the faults of an engine. POST /admin/faults replaces all of
// them. The stream faults, which follow Streams, apply to the next Streams
// completions, or to all completions if Streams is 0.
type EngineFaults struct {
	CrashAfterChunks int     `json:"crash_after_chunks"` // exit the process after this many chunks over all streams
	LoadFailures     int     `json:"load_failures"`      // number of next loads that fail partway
	Refuse           int     `json:"refuse"`             // number of next completions refused before they run
	SlowFactor       float64 `json:"slow"`               // divides the speed of decoding
	Hang             bool    `json:"hang"`               // produce no tokens
	FreezeReports    bool    `json:"freeze_reports"`     // do not renew the state report
	Leaving          bool    `json:"leaving"`            // refuse completions and report that the engine is leaving

	Streams          int            `json:"streams"`
	CutAfterChunks   int            `json:"cut_after_chunks"`   // close the connection after this many chunks
	DelayMS          int64          `json:"delay_ms"`           // delay before each chunk
	DuplicateChunks  bool           `json:"double"`             // send each chunk twice
	Reorder          bool           `json:"reorder"`            // swap neighbouring chunks
	Truncate         bool           `json:"truncate"`           // end the response normally without the last chunk
	ForeignRequestID string         `json:"foreign_request_id"` // request ID to send instead of the right one
	OmitVersion      bool           `json:"no_version"`         // send chunks without a weight version
	WrongVersion     ledger.Version `json:"lie_version"`        // weight version to send instead of the right one
}

// speed returns the factor by which the speed of the engine is multiplied.
func (f *EngineFaults) speed() float64 {
	if f.SlowFactor > 0 {
		return 1 / f.SlowFactor
	}
	return 1
}

func (f *EngineFaults) takeRefusal() bool     { return take(&f.Refuse) }
func (f *EngineFaults) takeLoadFailure() bool { return take(&f.LoadFailures) }

// take decrements a count of faults and reports whether one was left.
func take(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// takeStream returns the faults that apply to the next stream and counts it
// against Streams.
func (f *EngineFaults) takeStream() EngineFaults {
	taken := *f
	if f.Streams > 0 {
		if f.Streams--; f.Streams == 0 {
			f.clearStream()
		}
	}
	return taken
}

func (f *EngineFaults) clearStream() {
	f.CutAfterChunks, f.DelayMS = 0, 0
	f.DuplicateChunks, f.Reorder, f.Truncate, f.OmitVersion = false, false, false, false
	f.ForeignRequestID, f.WrongVersion = "", 0
}

func (f *EngineFaults) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// decodeFaults decodes the faults in a request body. It rejects unknown fields,
// because a misspelt fault would otherwise have no effect.
func decodeFaults(c echo.Context, faults any) error {
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	return decoder.Decode(faults)
}
