package standin

import (
	"encoding/json"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/ledger"
)

// EngineFaults are the faults of an engine; a POST replaces all of them. The
// stream faults strike the next Streams completions, or all if it is 0.
type EngineFaults struct {
	CrashAfterChunks int     `json:"crash_after_chunks"` // process exits, counted over all streams
	LoadFailures     int     `json:"load_failures"`      // next loads that fail partway
	Refuse           int     `json:"refuse"`             // next completions refused before running
	SlowFactor       float64 `json:"slow"`               // divides the speed
	Hang             bool    `json:"hang"`               // produce nothing
	FreezeReports    bool    `json:"freeze_reports"`
	Leaving          bool    `json:"leaving"`

	Streams          int            `json:"streams"`
	CutAfterChunks   int            `json:"cut_after_chunks"` // close the connection
	DelayMS          int64          `json:"delay_ms"`         // before each chunk
	DuplicateChunks  bool           `json:"double"`
	Reorder          bool           `json:"reorder"`  // swap neighbours
	Truncate         bool           `json:"truncate"` // end normally without the last chunk
	ForeignRequestID string         `json:"foreign_request_id"`
	OmitVersion      bool           `json:"no_version"`
	WrongVersion     ledger.Version `json:"lie_version"`
}

func (f *EngineFaults) speed() float64 {
	if f.SlowFactor > 0 {
		return 1 / f.SlowFactor
	}
	return 1
}

func (f *EngineFaults) takeRefusal() bool     { return take(&f.Refuse) }
func (f *EngineFaults) takeLoadFailure() bool { return take(&f.LoadFailures) }

func take(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// takeStream returns the faults of the next stream.
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

// decodeFaults reads faults. An unknown field is an error, so that a misspelt
// fault is not taken for none.
func decodeFaults(c echo.Context, faults any) error {
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	return decoder.Decode(faults)
}
