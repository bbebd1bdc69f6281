package lot

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderstand/lavenderstand/store"
)

// Tables of the store that hold lots.
const (
	// TableCoordination holds the head of each lot and the leases. All hosts
	// follow its feed, so its rows are small.
	TableCoordination = "coordination"
	tableBodies       = "lot_bodies"
	tableResults      = "lot_results"
	tableProgress     = "lot_progress"
)

const (
	// maxChunkBytes is the size of a row's value; the store allows 64 KiB.
	maxChunkBytes = 60_000
	// MaxInlineBytes is the size of a submission that is kept in rows. A commit holds
	// 1 MB, in which values are a third larger than here; larger ones are objects.
	MaxInlineBytes = 600_000
	// maxObjectBytes is the size of one object; the store allows 8 MiB.
	maxObjectBytes = 8_000_000
	headPrefix     = "lot/"
)

// headShards is the number of parts that hold heads. When some parts of the store do not
// answer, the lots in the others go on.
const headShards = 16

// CoordinationParts names the parts of the coordination table: that of leases and hosts and those
// of heads.
func CoordinationParts() []string {
	parts := []string{""}
	for i := range uint64(headShards) {
		parts = append(parts, shardName(i))
	}
	return parts
}

func shardName(i uint64) string { return fmt.Sprintf("lots%02d", i) }

// headPlaces is the number of parts in which the head of a lot may lie: the first one that
// answers when the lot is created.
const headPlaces = 3

// HeadKey is the key of a lot's head in one of its places.
func HeadKey(id string, place int) store.Key {
	// 5 and 16 have no common divisor, so the places of a lot differ.
	shard := (xxhash.Sum64String(id) + 5*uint64(place)) % headShards
	return store.Key{Table: TableCoordination, Part: shardName(shard), Name: headPrefix + id}
}

// HeadRow encodes a head.
func HeadRow(h Head) store.Row { return store.Row{Key: HeadKey(h.ID, h.Place), Value: mustMarshal(h)} }

// ParseHead decodes a head; ok is false for a row that is none.
func ParseHead(r store.Row) (h Head, ok bool) {
	if len(r.Name) <= len(headPrefix) || r.Name[:len(headPrefix)] != headPrefix || r.Deleted {
		return Head{}, false
	}
	err := json.Unmarshal(r.Value, &h)
	return h, err == nil && h.ID != ""
}

// HeadID returns the id of the lot whose head has this row name, empty if the
// name is not that of a head.
func HeadID(name string) string {
	if len(name) <= len(headPrefix) || name[:len(headPrefix)] != headPrefix {
		return ""
	}
	return name[len(headPrefix):]
}

// bodyRows puts an encoded submission into rows.
func bodyRows(part string, data []byte) []store.Row { return chunkRows(tableBodies, part, "", data) }

// bodyObjects puts an encoded submission into objects.
func bodyObjects(s *Submission, data []byte) map[string][]byte {
	objects := make(map[string][]byte)
	for i := 0; i*maxObjectBytes < len(data); i++ {
		objects[ObjectName(s.ID, i)] = data[i*maxObjectBytes : min(len(data), (i+1)*maxObjectBytes)]
	}
	return objects
}

// ObjectName is the name of one object of a submission.
func ObjectName(id string, i int) string { return fmt.Sprintf("lot-%s-%d", id, i) }

// ParseBody decodes a submission from its parts in order.
func ParseBody(parts [][]byte) (*Submission, error) {
	var s Submission
	if err := json.Unmarshal(joinParts(parts), &s); err != nil {
		return nil, fmt.Errorf("submission: %w", err)
	}
	return &s, nil
}

// ResultRowName is the first row name of the result at a position.
func ResultRowName(position int) string { return fmt.Sprintf("%07d", position) }

// resultRows encodes the result at a position.
func resultRows(part string, position int, r Result) []store.Row {
	return chunkRows(tableResults, part, ResultRowName(position), mustMarshal(r))
}

// ParseResults decodes results from rows in order. The first must be at position
// first; an incomplete result at the end is left out.
func ParseResults(rows []store.Row, first int) ([]Result, error) {
	var results []Result
	for len(rows) > 0 {
		n, data := firstRecord(rows)
		position, err := strconv.Atoi(rows[0].Name[:len(ResultRowName(0))])
		if err != nil || position != first+len(results) {
			return nil, fmt.Errorf("row %q is not the result at position %d", rows[0].Name, first+len(results))
		}
		var r Result
		if err := json.Unmarshal(data, &r); err != nil {
			if n == len(rows) {
				return results, nil // the rest of the result is on the next page
			}
			return nil, fmt.Errorf("result at position %d: %w", position, err)
		}
		results = append(results, r)
		rows = rows[n:]
	}
	return results, nil
}

// firstRecord returns the number of rows of the first record and its bytes.
func firstRecord(rows []store.Row) (n int, data []byte) {
	width := len(ResultRowName(0))
	for n < len(rows) && len(rows[n].Name) >= width && rows[n].Name[:width] == rows[0].Name[:width] {
		data = append(data, rows[n].Value...)
		n++
	}
	return max(n, 1), data
}

// progressRow encodes the progress of an item, ok is false if it is too large.
func progressRow(part string, p Progress) (row store.Row, ok bool) {
	data := mustMarshal(p)
	key := store.Key{Table: tableProgress, Part: part, Name: p.Item}
	return store.Row{Key: key, Value: data}, len(data) <= maxChunkBytes
}

// ParseProgress decodes the progress of an item.
func ParseProgress(r store.Row) (p Progress, ok bool) {
	return p, json.Unmarshal(r.Value, &p) == nil && p.Item != ""
}

func chunkRows(table, part, prefix string, data []byte) []store.Row {
	var rows []store.Row
	for i := 0; i == 0 || i*maxChunkBytes < len(data); i++ {
		rows = append(rows, store.Row{
			Key:   store.Key{Table: table, Part: part, Name: fmt.Sprintf("%s.%02d", prefix, i)},
			Value: data[i*maxChunkBytes : min(len(data), (i+1)*maxChunkBytes)],
		})
	}
	return rows
}

func joinParts(parts [][]byte) []byte {
	if len(parts) == 1 {
		return parts[0]
	}
	var data []byte
	for _, p := range parts {
		data = append(data, p...)
	}
	return data
}

// mustMarshal marshals a record; its types hold nothing that JSON cannot hold.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("lot record: %v", err))
	}
	return data
}
