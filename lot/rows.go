package lot

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderstand/lavenderstand/store"
)

// Tables of the store that hold lots.
const (
	// TableCoordination holds the heads of lots, the leases and the presence rows. All
	// hosts follow its feed, so its rows must be small.
	TableCoordination = "coordination"
	tableBodies       = "lot_bodies"
	tableResults      = "lot_results"
	tableProgress     = "lot_progress"
)

const (
	// maxChunkBytes bounds the value of one row. The store allows 64 KiB.
	maxChunkBytes = 60_000
	headPrefix    = "lot/" // row name prefix of heads
)

// headShards is the number of partitions that hold heads. If some partitions of the store
// do not respond, lots in the others are not affected.
const headShards = 16

// CoordinationParts returns the names of the partitions of the coordination table: the one
// of leases and presence rows, and those of heads.
func CoordinationParts() []string {
	parts := []string{""}
	for i := range uint64(headShards) {
		parts = append(parts, shardName(i))
	}
	return parts
}

func shardName(i uint64) string { return fmt.Sprintf("lots%02d", i) }

// headCandidates is the number of candidate partitions for the head of a lot. The head is
// stored in the first one that responds when the lot is created.
const headCandidates = 3

// HeadKey returns the key of a lot's head in the candidate partition with index candidate.
func HeadKey(id string, candidate int) store.Key {
	// 5 is coprime to headShards, so the candidate partitions of a lot are distinct.
	shard := (xxhash.Sum64String(id) + 5*uint64(candidate)) % headShards
	return store.Key{Table: TableCoordination, Part: shardName(shard), Name: headPrefix + id}
}

// HeadRow encodes a head as a row.
func HeadRow(h Head) store.Row {
	return store.Row{Key: HeadKey(h.ID, h.CandidateIndex), Value: mustMarshal(h)}
}

// ParseHead decodes a head. ok is false if the row is deleted or not a valid head.
func ParseHead(r store.Row) (h Head, ok bool) {
	if len(r.Name) <= len(headPrefix) || r.Name[:len(headPrefix)] != headPrefix || r.Deleted {
		return Head{}, false
	}
	err := json.Unmarshal(r.Value, &h)
	return h, err == nil && h.ID != ""
}

// HeadID returns the lot id in the row name of a head, or "" for other row names.
func HeadID(name string) string {
	if len(name) <= len(headPrefix) || name[:len(headPrefix)] != headPrefix {
		return ""
	}
	return name[len(headPrefix):]
}

// CandidateIndex returns the index of the candidate partition in which a head with the given
// key is stored. ok is false if the key is not that of a head in one of its candidate
// partitions.
func CandidateIndex(k store.Key) (candidate int, ok bool) {
	id := HeadID(k.Name)
	for candidate := range headCandidates {
		if id != "" && HeadKey(id, candidate) == k {
			return candidate, true
		}
	}
	return 0, false
}

// bodyRows splits an encoded submission into rows.
func bodyRows(part string, data []byte) []store.Row { return chunkRows(tableBodies, part, "", data) }

// ResultRowName returns the prefix of the row names of the result at a position.
func ResultRowName(position int) string { return fmt.Sprintf("%07d", position) }

// resultRows encodes the result at a position as rows.
func resultRows(part string, position int, r Result) []store.Row {
	return chunkRows(tableResults, part, ResultRowName(position), mustMarshal(r))
}

// ParseResults decodes results from rows, given in order. The first result must be at
// position first. An incomplete result at the end is left out.
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

// firstRecord returns the number of rows that hold the first record, and its bytes.
func firstRecord(rows []store.Row) (n int, data []byte) {
	width := len(ResultRowName(0))
	for n < len(rows) && len(rows[n].Name) >= width && rows[n].Name[:width] == rows[0].Name[:width] {
		data = append(data, rows[n].Value...)
		n++
	}
	return max(n, 1), data
}

// progressRow encodes the progress of an item as a row. ok is false if it does not fit
// in one row.
func progressRow(part string, p Progress) (row store.Row, ok bool) {
	data := mustMarshal(p)
	key := store.Key{Table: tableProgress, Part: part, Name: p.Item}
	return store.Row{Key: key, Value: data}, len(data) <= maxChunkBytes
}

// ParseProgress decodes the progress of an item. ok is false if the row is not valid.
func ParseProgress(r store.Row) (p Progress, ok bool) {
	return p, json.Unmarshal(r.Value, &p) == nil && p.Item != ""
}

// chunkRows splits data into rows of at most maxChunkBytes. Empty data gives one row.
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

// mustMarshal encodes a record as JSON, without escape sequences for HTML, which would take
// six bytes for each <, > and &. It panics on an error, which the types of the records rule
// out.
func mustMarshal(v any) []byte {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		panic(fmt.Sprintf("encode lot record: %v", err))
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n"))
}
