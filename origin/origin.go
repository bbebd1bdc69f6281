// Package origin keeps records in the store from which any host learns which software version
// began a stream: the versions that a service has had lately and, while there are several, the
// streams that each host forwarded. A stream may be continued only by the version that began
// it, also after all hosts that knew it have lost their memory.
package origin

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	historyPrefix = "software/"
	tableRecords  = "stream_origins"
	// MaxStreams bounds the streams in the record of a host, so that it fits in one row.
	MaxStreams = 5000
	// callTimeout bounds one read or write.
	callTimeout = time.Second
	keyBytes    = 8
	// streamBytes bounds the encoded size of the key of a stream, groupBytes that of the
	// punctuation of a service or version.
	streamBytes = 11
	groupBytes  = 8
)

// Stream identifies a stream in a record by a hash of the id of the attempt that brought its
// first event.
type Stream struct {
	Service string
	Key     uint64
}

// StreamOf returns the identification of a stream.
func StreamOf(service, attempt string) Stream {
	return Stream{Service: service, Key: xxhash.Sum64String(attempt)}
}

// MarshalText implements encoding.TextMarshaler.
func (s Stream) MarshalText() ([]byte, error) {
	return strconv.AppendUint([]byte(s.Service+"/"), s.Key, 36), nil
}

// Record holds the streams that a host forwarded.
type Record map[Stream]registry.Software

// wireRecord is the encoded form of a record: the keys of streams by service and version.
type wireRecord map[string]map[registry.Software][]byte

func (r Record) encode() ([]byte, error) {
	w := make(wireRecord)
	for s, v := range r {
		if w[s.Service] == nil {
			w[s.Service] = make(map[registry.Software][]byte)
		}
		w[s.Service][v] = binary.BigEndian.AppendUint64(w[s.Service][v], s.Key)
	}
	return json.Marshal(w)
}

// maxRecordBytes bounds the encoded size of a record. The store allows 64 KiB for a row.
const maxRecordBytes = 60_000

// Fit removes streams until the record fits into one row and returns their number.
func (r Record) Fit() (removed int) {
	bytes := 0
	groups := make(map[string]map[registry.Software]bool) // versions by service
	for s, v := range r {
		group := s.Service
		if groups[group] == nil {
			groups[group] = make(map[registry.Software]bool)
			bytes += lot.EncodedLength(s.Service) + groupBytes
		}
		if !groups[group][v] {
			groups[group][v] = true
			bytes += lot.EncodedLength(string(v)) + groupBytes
		}
		if bytes += streamBytes; bytes > maxRecordBytes {
			delete(r, s)
			removed++
		}
	}
	return removed
}

// parseRecord decodes a record. A record that is not valid is empty.
func parseRecord(data []byte) Record {
	r := make(Record)
	forEachStream(data, func(s Stream, v registry.Software) { r[s] = v })
	return r
}

// forEachStream calls do for each stream of an encoded record.
func forEachStream(data []byte, do func(Stream, registry.Software)) {
	var w wireRecord
	if json.Unmarshal(data, &w) != nil {
		return
	}
	for service, versions := range w {
		for v, keys := range versions {
			for ; len(keys) >= keyBytes; keys = keys[keyBytes:] {
				do(Stream{Service: service, Key: binary.BigEndian.Uint64(keys)}, v)
			}
		}
	}
}

// Stored is a record at one version of its row. Version is 0 if there is none.
type Stored struct {
	Record  Record
	Version uint64
}

func recordKey(host string) store.Key { return store.Key{Table: tableRecords, Name: host} }

// WriteRecord writes the record of a host, whose row has the given version. If it has another
// one, the error has the reason conflict, and stored is what the row holds.
func WriteRecord(ctx context.Context, s store.Client, host string, r Record, version uint64) (stored Stored, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := r.encode()
	if err != nil {
		return Stored{}, verdict.Wrap(err, verdict.NotRun, verdict.ReasonInternal, "encode stream record of host %s", host)
	}
	key := recordKey(host)
	v, current, err := put(ctx, s, store.Row{Key: key, Value: value}, version)
	switch {
	case current != nil:
		return Stored{Record: parseRecord(current.Value), Version: current.Version}, err
	case err != nil:
		return Stored{}, err
	default:
		return Stored{Record: r, Version: v}, nil
	}
}

// put writes a row that has the given version. If it has another one, the error has the reason
// conflict, and current is the row, nil if there is none.
func put(ctx context.Context, s store.Client, row store.Row, version uint64) (v uint64, current *store.Row, err error) {
	v, err = s.Commit(ctx, store.Commit{
		Conditions: []store.Condition{{Key: row.Key, Version: version}}, Put: []store.Row{row},
	})
	var conflict *store.Conflict
	if errors.As(err, &conflict) {
		return 0, conflict.Find(row.Key), verdict.Wrap(err, verdict.NotRun, verdict.ReasonConflict, "row %s of table %s", row.Name, row.Table)
	}
	return v, nil, err
}

// Find returns the versions that began the given streams, as far as a host has recorded them.
func Find(ctx context.Context, s store.Client, streams []Stream) (map[Stream]registry.Software, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := s.Read(ctx, tableRecords, "", "", 0)
	if err != nil {
		return nil, err
	}
	wanted := make(map[Stream]bool, len(streams))
	for _, stream := range streams {
		wanted[stream] = true
	}
	found := make(map[Stream]registry.Software)
	for _, row := range rows.Rows {
		forEachStream(row.Value, func(s Stream, v registry.Software) {
			if wanted[s] {
				found[s] = v
			}
		})
	}
	return found, nil
}

// Purge removes the records of all hosts, which are of no use once every service has had a
// single version for long enough. A record that changes meanwhile stays.
func Purge(ctx context.Context, s store.Client) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := s.Read(ctx, tableRecords, "", "", 0)
	if err != nil {
		return err
	}
	for _, row := range rows.Rows {
		_, err := s.Commit(ctx, store.Commit{
			Conditions: []store.Condition{{Key: row.Key, Version: row.Version}}, Delete: []store.Key{row.Key},
		})
		var conflict *store.Conflict
		if err != nil && !errors.As(err, &conflict) {
			return err
		}
	}
	return nil
}

func historyKey(service string) store.Key {
	return store.Key{Table: lot.TableCoordination, Name: historyPrefix + service}
}

// HistoryService returns the service whose software versions a row lists, or "" if it is
// another row.
func HistoryService(r store.Row) string {
	service, ok := strings.CutPrefix(r.Name, historyPrefix)
	if !ok {
		return ""
	}
	return service
}

// ParseHistory decodes the software versions of a service. ok is false if the row is deleted or
// not valid.
func ParseHistory(r store.Row) (versions []registry.Software, ok bool) {
	ok = !r.Deleted && json.Unmarshal(r.Value, &versions) == nil
	return versions, ok
}

// WriteHistory writes the software versions of a service. version is the expected version of
// the row. If another host has written it meanwhile, the error has the reason conflict.
func WriteHistory(ctx context.Context, s store.Client, service string, versions []registry.Software, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(versions)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonInternal, "encode software versions of service %s", service)
	}
	_, _, err = put(ctx, s, store.Row{Key: historyKey(service), Value: value}, version)
	return err
}

// ReadHistory reads the software versions of a service, nil if none are recorded.
func ReadHistory(ctx context.Context, s store.Client, service string) ([]registry.Software, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := historyKey(service)
	rows, err := s.Read(ctx, key.Table, key.Part, key.Name, 1)
	if err != nil {
		return nil, err
	}
	if len(rows.Rows) == 0 || rows.Rows[0].Name != key.Name {
		return nil, nil
	}
	versions, _ := ParseHistory(rows.Rows[0])
	return versions, nil
}
