package e2e

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/demo"
	"github.com/lavenderstand/lavenderstand/tablestore"
)

// TestBadInputCrashesNothing guards against a process that crashes or stops serving
// because of malformed input from callers, backend servers or the table service, or
// of random bytes on its ports.
func TestBadInputCrashesNothing(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 61)
	for _, kind := range []string{"engine", "service", "scoring"} {
		d.addMalformedServer(kind)
	}
	d.startAll()
	d.waitServing()
	d.sendBadRequests(t)
	d.sendRandomBytes()
	d.writeUnreadableRows()
	for i := range 30 {
		d.call(i%3, "app", http.MethodGet, "/services/items/oak", "")
		d.sendCompletion(i%3, &completion{model: "matching", prompt: "p", maxTokens: 20, stream: i%2 == 0})
	}
	d.call(0, "trainer-dial", http.MethodPost, "/v1/trainers/trainer-dial/pull", `{"step":1,"version":1,"groups":1,"wait_ms":500}`)
	time.Sleep(2500 * time.Millisecond) // every host reads all rows in this time
	for name := range d.commands {
		if strings.HasPrefix(name, "entry") || strings.HasPrefix(name, "controller") {
			http := d.listenAddresses(name)[0]
			require.Equal(t, 200, d.callAddress(http, "app", "GET", "/healthz", "").status, "%s:\n%s", name, d.log(name))
			require.NotContains(t, d.log(name), "panic")
		}
	}
	for entry := range d.plan.Entries {
		d.waitHostServing(entry)
	}
}

// sendBadRequests sends requests that must be refused before they run.
func (d *deployment) sendBadRequests(t *testing.T) {
	const ok = `{"model":"dial","prompt":"p","max_tokens":3}`
	group := `{"groups":[{"id":"g","model":"dial","prompt":"p","samples":1,"max_tokens":5,"staleness_bound":1,"scorer":"scorer"}]}`
	for _, r := range []struct {
		who, method, path, body string
		status                  int
		headers                 []string
	}{
		{"app", "POST", "/v1/completions", `{"model":`, 400, nil},
		{"app", "POST", "/v1/completions", `[]`, 400, nil},
		{"app", "POST", "/v1/completions", `{"model":"dial","prompt":"p","max_tokens":-1}`, 400, nil},
		{"app", "POST", "/v1/chat/completions", `{"model":"dial","messages":[]}`, 400, nil},
		{"app", "POST", "/v1/completions", `{"model":"none","prompt":"p"}`, 404, nil},
		{"app", "POST", "/v1/completions", ok, 404, []string{"X-Class", "none"}},
		{"app", "POST", "/v1/completions", ok, 504, []string{"X-Deadline-Ms", "-5"}},
		{"app", "POST", "/v1/completions", ok, 504, []string{"X-Deadline-Ms", "0"}},
		{"app", "POST", "/v1/completions", ok, 400, []string{"X-Deadline-Ms", "soon"}},
		{"app", "POST", "/v1/completions", ok, 400, []string{"X-Only-Version", "-1"}},
		{"app", "POST", "/v1/completions", strings.Repeat("x", 2<<20), 413, nil},
		{"app", "POST", "/services/claims/a", strings.Repeat("x", 2<<20), 413, []string{"Idempotency-Key", "k"}},
		{"app", "POST", "/services/claims/a", "b", 400, nil},
		{"app", "GET", "/services/none/a", "", 404, nil},
		{"nobody", "POST", "/v1/completions", ok, 401, nil},
		{"app", "PUT", "/v1/config", `{}`, 403, nil},
		{"operator", "PUT", "/v1/config", `{"expected_version":1,"config":{"routes":{"x":{"service":7}}}}`, 400, nil},
		{"operator", "PUT", "/v1/weights/dial", `{"version":-1}`, 400, nil},
		{"trainer-dial", "POST", "/v1/trainers/trainer-matching/groups", group, 403, nil},
		{"trainer-dial", "POST", "/v1/trainers/trainer-matching/pull", `{"step":1}`, 403, nil},
		{"trainer-dial", "PUT", "/v1/trainers/trainer-matching/version", `{"version":9}`, 403, nil},
		{"trainer-dial", "POST", "/v1/trainers/trainer-dial/groups", `{"groups":[{}]}`, 400, nil},
		{"trainer-dial", "POST", "/v1/trainers/trainer-dial/pull", `{"step":-1,"groups":-1}`, 400, nil},
		{"trainer-dial", "PUT", "/v1/trainers/trainer-dial/version", `{"version":"x"}`, 400, nil},
	} {
		for entry := range d.plan.Entries {
			a := d.call(entry, r.who, r.method, r.path, r.body, r.headers...)
			label := fmt.Sprintf("%s %s %.60s %v: %v %.200s", r.method, r.path, r.body, r.headers, a.err, a.body)
			if r.status == http.StatusRequestEntityTooLarge && a.err != nil {
				continue // the server may close the connection while the client still sends the body
			}
			require.Equal(t, r.status, a.status, label)
			_, verdict := a.reasonAndVerdict()
			require.Equal(t, notRun, verdict, label)
		}
	}
	large := d.call(0, "app", "GET", "/services/items/oak", "", "X-Large", strings.Repeat("x", 64<<10))
	require.True(t, large.err != nil || large.status == http.StatusRequestHeaderFieldsTooLarge, "%d", large.status)
	require.Empty(t, newClaimChecker(d).executions())
}

var listenAddressPattern = regexp.MustCompile(`(?m)^(?:http|grpc) = '([0-9.:]+)'`)

// listenAddresses returns the HTTP and the gRPC address of an entry or controller process.
func (d *deployment) listenAddresses(name string) []string {
	d.t.Helper()
	data, err := os.ReadFile(filepath.Join(d.dir, "settings", name+".toml"))
	require.NoError(d.t, err)
	var addresses []string
	for _, match := range listenAddressPattern.FindAllStringSubmatch(string(data), -1) {
		addresses = append(addresses, match[1])
	}
	require.Len(d.t, addresses, 2)
	return addresses
}

// sendRandomBytes sends random bytes to every port of the entry and controller
// processes: alone, after the beginning of a request and after an HTTP/2 preface.
func (d *deployment) sendRandomBytes() {
	random := rand.New(rand.NewPCG(61, 0))
	for name := range d.commands {
		if !strings.HasPrefix(name, "entry") && !strings.HasPrefix(name, "controller") {
			continue
		}
		for _, address := range d.listenAddresses(name) {
			for _, start := range []string{"", "POST /v1/completions HTTP/1.1\r\nContent-Length: 99999\r\n\r\n{", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"} {
				conn, err := net.Dial("tcp", address)
				require.NoError(d.t, err)
				data := []byte(start)
				for range 2000 {
					data = append(data, byte(random.Uint32()))
				}
				_, _ = conn.Write(data)
				require.NoError(d.t, conn.Close())
			}
		}
	}
}

// addMalformedServer adds a backend server that returns malformed answers in turn.
func (d *deployment) addMalformedServer(kind string) {
	d.t.Helper()
	answers := []string{
		``, `{`, `[1,2]`, `null`, `{"name":5}`, `{"slots":-9,"running":-1,"queued":9223372036854775807,"tokens_per_second":-1e308,"age_ms":-5}`,
		`{"events":[{"seq":18446744073709551615,"hash":"x"}],"next":1}`, `{"boot_id":"b","active":-7,"loaded":[-1],"loading":-2,"fence":18446744073709551615}`,
		"data: {\"request_id\"", "data: null\n\n", "data: {\"offset\":-1,\"tokens\":[1]}\n\n", strings.Repeat("x", 1<<20),
		`{"scores":[]}`, `{"scores":[1,2,3,4,5,6,7,8,9]}`,
	}
	next := make(chan int, 1)
	next <- 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		i := <-next
		next <- i + 1
		if i%3 == 0 {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		w.WriteHeader([]int{200, 200, 200, 500, 503}[i%5])
		_, _ = fmt.Fprint(w, answers[i%len(answers)])
	}))
	d.t.Cleanup(server.Close)
	model := map[string]string{"engine": "matching", "service": "listing", "scoring": "scorer"}[kind]
	d.plan.Hosts = append(d.plan.Hosts, tablestore.ListedHost{
		Name: "garbage-" + kind, Kind: kind, Model: model, Zone: "a", State: tablestore.StateLive,
		Address: strings.TrimPrefix(server.URL, "http://"),
	})
}

// writeUnreadableRows writes rows that a newer or a faulty version of the programs may write.
func (d *deployment) writeUnreadableRows() {
	d.t.Helper()
	var rows []map[string]any
	for key, value := range map[string]string{
		"host/newer":                       `{"host":"host-9","zone":"z","role":"archivist","address":"127.0.0.1:1","shape":{"a":[1]}}`,
		"host/broken":                      `{"host":7}`,
		"lease/99":                         `{"holder":["x"],"fence":-1}`,
		"lease/newer":                      `{"holder":"h","address":"127.0.0.1:1","fence":3,"length":"6s","kind":"shared"}`,
		"weights/newer":                    `{"model":"newer","version":3,"layers":["a"]}`,
		"weights/broken":                   `[]`,
		"claim/app/claims/newer":           `{"state":"suspended","until":5}`,
		"trainer/newer":                    `{"current_version":1,"mode":"async"}`,
		"trainer/broken":                   `"x"`,
		"group/trainer-dial/newer":         `{"spec":{"id":"newer"},"mode":{"tree":true}}`,
		"group/trainer-dial/broken":        `5`,
		"sample/trainer-dial/newer/0":      `{"ranges":"all"}`,
		"sample/trainer-dial/newer/broken": `{}`,
		"lot/trainer-dial/x":               `{"step":"one"}`,
		"config/history/newer":             `{"version":"next"}`,
		"unknown/kind":                     `{}`,
	} {
		rows = append(rows, map[string]any{"key": key, "value": json.RawMessage(value)})
	}
	require.NoError(d.t, demo.SendJSON(http.MethodPost, "http://"+d.plan.Platform+"/v1/txn", "", map[string]any{"op": "newer", "put": rows}))
	r := newClaimChecker(d).send(1, "newer")
	reason, _ := r.reasonAndVerdict()
	require.Equal(d.t, "duplicate_request", reason, "a request whose claim row cannot be read may have run; answer: %s", r.body)
}
