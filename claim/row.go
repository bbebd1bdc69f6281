package claim

import (
	"encoding/json"
	"net/url"
	"time"

	"github.com/joomcode/errorx"

	"github.com/lavenderstand/lavenderstand/tablestore"
)

// Prefix is the prefix of the keys of claim rows.
const Prefix = "claim/"

// rowState is the state of a claim row.
type rowState string

const (
	stateClaimed  rowState = "claimed"
	stateFinished rowState = "finished"
	// stateReleased means that the request definitely did not run and may be claimed
	// again.
	stateReleased rowState = "released"
)

// row is the content of a claim row.
type row struct {
	State       rowState `json:"state"`
	Entry       string   `json:"entry"`
	RequestHash string   `json:"request_hash"`
	CreatedMS   int64    `json:"created_unix_ms"`
	KeepUntilMS int64    `json:"keep_until_unix_ms"`
	Outcome     *Outcome `json:"outcome,omitempty"`
}

// Key returns the key of a claim row. Each part is escaped, so that parts that contain a
// slash cannot form the key of another claim.
func Key(caller, route, key string) string {
	return Prefix + url.PathEscape(caller) + "/" + url.PathEscape(route) + "/" + url.PathEscape(key)
}

// decodeRow decodes and validates the value of a claim row.
func decodeRow(value json.RawMessage) (row, error) {
	var r row
	if err := json.Unmarshal(value, &r); err != nil {
		return row{}, errorx.IllegalFormat.Wrap(err, "claim row")
	}
	switch r.State {
	case stateClaimed, stateReleased:
	case stateFinished:
		if r.Outcome == nil {
			return row{}, errorx.IllegalFormat.New("finished claim row without outcome")
		}
	default:
		return row{}, errorx.IllegalFormat.New("claim row with unknown state %q", r.State)
	}
	return r, nil
}

// Expired reports whether the retention time of a claim row has passed, so that the row
// may be deleted. now is a wall-clock time. A malformed row never expires.
func Expired(r tablestore.Row, now time.Time) bool {
	decoded, err := decodeRow(r.Value)
	return err == nil && decoded.KeepUntilMS > 0 && now.UnixMilli() > decoded.KeepUntilMS
}
