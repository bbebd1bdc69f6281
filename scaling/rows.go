package scaling

import (
	"context"
	"encoding/json"
	"errors"
	"net/url"
	"strings"
	"time"

	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Table is the table of the store that holds the last order of each kind of servers. Rows are
// named SERVICE/ZONE/KIND.
const Table = "scaling"

// storeTimeout bounds one call of the store. It allows for a direct call and one through
// another host.
const storeTimeout = 900 * time.Millisecond

const (
	kindOrdinary = "ordinary"
	kindSpot     = "spot"
)

// Kind returns the name of a kind of servers.
func Kind(spot bool) string {
	if spot {
		return kindSpot
	}
	return kindOrdinary
}

// Key returns the name of the row of an order.
func Key(service, zone string, spot bool) string {
	return url.PathEscape(service) + "/" + url.PathEscape(zone) + "/" + Kind(spot)
}

// Stored is an order as it is stored before it is sent.
type Stored struct {
	Service, Zone string
	Spot          bool
	Number        int
	Fence         uint64 // fencing token of the host that gave the order
	Version       uint64 // of the row, 0 if there is none
	Valid         bool   // the row could be decoded; of an order that is written, not used
}

type record struct {
	Number int    `json:"number"`
	Fence  uint64 `json:"fence"`
}

// Write stores an order on condition that the row still has the version of the order, and
// returns its new version.
func Write(ctx context.Context, s store.Client, o Stored) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(record{Number: o.Number, Fence: o.Fence})
	if err != nil {
		return 0, verdict.Wrap(err, verdict.NotRun, verdict.ReasonInternal, "encode order")
	}
	key := store.Key{Table: Table, Name: Key(o.Service, o.Zone, o.Spot)}
	version, err := s.Commit(ctx, store.Commit{Conditions: []store.Condition{{Key: key, Version: o.Version}}, Put: []store.Row{{Key: key, Value: value}}})
	var conflict *store.Conflict
	if errors.As(err, &conflict) {
		return 0, verdict.Wrap(err, verdict.NotRun, verdict.ReasonConflict, "order %s", key.Name)
	}
	return version, err
}

// Read returns the stored orders, and the number of rows whose names are not valid.
func Read(ctx context.Context, s store.Client) (orders []Stored, unreadable int, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r, err := s.Read(ctx, Table, "", "", 0)
	if err != nil {
		return nil, 0, err
	}
	for _, row := range r.Rows {
		o, ok := parse(row)
		if !ok {
			unreadable++
			continue
		}
		orders = append(orders, o)
	}
	return orders, unreadable, nil
}

// parse decodes a row. ok is false if its name is not valid. An order whose value is not valid
// keeps the version of the row, so that it can be replaced.
func parse(r store.Row) (o Stored, ok bool) {
	parts := strings.Split(r.Name, "/")
	if r.Deleted || len(parts) != 3 || (parts[2] != kindOrdinary && parts[2] != kindSpot) {
		return Stored{}, false
	}
	service, err := url.PathUnescape(parts[0])
	zone, err2 := url.PathUnescape(parts[1])
	if err != nil || err2 != nil {
		return Stored{}, false
	}
	var rec record
	o = Stored{Service: service, Zone: zone, Spot: parts[2] == kindSpot, Version: r.Version}
	if json.Unmarshal(r.Value, &rec) == nil && rec.Number >= 0 {
		o.Number, o.Fence, o.Valid = rec.Number, rec.Fence, true
	}
	return o, true
}
