package soak

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const oddRecordsDuration = 4 * time.Second

// oddRecords returns records of the servers table that no backend server writes, by name.
func oddRecords() map[string][]byte {
	valid := map[string]any{
		"service": "engines", "address": "127.0.0.1:9", "zone": "z", "slots": 4, "state": "ready", "version": "v1",
		"coldRemainingMs": 0, "sequence": 1, "born": 1, "models": []map[string]any{{"name": "m", "version": 1}},
	}
	with := func(field string, value any) []byte {
		record := maps.Clone(valid)
		record[field] = value
		return encode(record)
	}
	raw := func(field, value string) []byte {
		text := string(with(field, "@"))
		return []byte(strings.Replace(text, `"@"`, value, 1))
	}
	return map[string][]byte{
		"port too large": with("address", "127.0.0.1:99999"), "port 0": with("address", "127.0.0.1:0"),
		"no port": with("address", "127.0.0.1"), "line break": with("address", "127.0.0.1\r\nX: y:80"),
		"host name": with("address", "localhost:80"), "slots": with("slots", 1_000_000_000), "most slots": raw("slots", "9223372036854775807"),
		"slots overflow": raw("slots", "1e30"), "negative slots": with("slots", -4), "number too large": raw("coldRemainingMs", "1e999"),
		"large cold": raw("coldRemainingMs", "1e308"), "born overflow": raw("born", "92233720368547758070"),
		"negative weights": with("models", []map[string]any{{"name": "m", "version": -9223372036854775808}}),
		"nested":           raw("x", strings.Repeat("[", 5000)+strings.Repeat("]", 5000)),
		"nested deeper":    raw("x", strings.Repeat("[", 20000)+strings.Repeat("]", 20000)),
		"nested for good":  []byte(strings.Repeat("[", 40000)), "nested objects": []byte(strings.Repeat(`{"a":`, 8000)),
		"null": []byte("null"), "list": []byte("[]"), "empty": nil, "bytes": {0xff, 0xfe, 0},
		"long text": with("zone", strings.Repeat("z", 40000)), "state": with("state", "resting"),
	}
}

// TestOddServerRecords guards against a record of another writer that ends hosts, stops them
// from following the list of servers, or draws items away from sound servers.
func TestOddServerRecords(t *testing.T) {
	c := newCluster(t, 1)
	for _, h := range c.hosts {
		require.Eventually(t, func() bool { return c.ready(h) }, 10*time.Second, 50*time.Millisecond, h.name)
	}
	exited := make([]chan struct{}, len(c.hosts))
	for i, h := range c.hosts {
		exited[i] = h.exited
	}
	records := oddRecords()
	for name, value := range records {
		c.store.Set("servers", "odd "+name, value)
	}
	c.addServer("sampler-late", "engines", firstSoftware)
	end := time.Now().Add(oddRecordsDuration)
	trainers := []*trainer{{cluster: c, name: "t1"}, {cluster: c, name: "t2"}}
	callers := []*caller{{cluster: c, name: "c1"}, {cluster: c, name: "c2"}}
	var work sync.WaitGroup
	for _, tr := range trainers {
		work.Go(func() { tr.train(end, 12) })
	}
	for _, cl := range callers {
		work.Go(func() { cl.run(t, end) })
	}
	work.Wait()
	listed := 0
	for _, tr := range trainers {
		listed += tr.verify(t, time.Now().Add(settleTimeout))
	}
	for i := range exited {
		select {
		case <-exited[i]:
			t.Errorf("%s ended", c.hosts[i].name)
		default:
		}
	}
	c.mu.Lock()
	late := len(c.arrivals["sampler-late"])
	c.mu.Unlock()
	failed := c.countLogLines(`"reason":"connect_failed"`)
	t.Logf("%d results, %d calls failed, %d requests at the late server, %d attempts at odd servers", listed, callers[0].failed+callers[1].failed, late, failed)
	require.Positive(t, late, "the hosts follow the list")
	require.Zero(t, callers[0].failed+callers[1].failed)
	require.Zero(t, failed, "no item is sent to a server of an odd record")
	require.Zero(t, c.countLogLines(`"server":"odd `), fmt.Sprintf("none of the %d odd records names a server", len(records)))
}
