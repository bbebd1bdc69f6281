package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/demo"
	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/tablestore"
)

// departureLimit bounds the time from the first sign that a backend server is leaving
// until it receives no new work.
const departureLimit = 5 * time.Second

// fakeService is a plain service that can report that it is leaving and still accept
// work, so that only the decision of the sender prevents new work.
type fakeService struct {
	name        string
	began       time.Time
	accepted    atomic.Int64
	refused     atomic.Int64
	leaving     atomic.Bool // its report states that it is leaving
	refuse      atomic.Bool // it refuses requests because it is leaving
	staleReport atomic.Bool // its report is not renewed: its age is that of the process
}

func (f *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/state" {
		state := engine.State{Name: f.name, BootID: f.name, Model: "listing", Slots: 64, Leaving: f.leaving.Load()}
		if f.staleReport.Load() {
			state.AgeMS = time.Since(f.began).Milliseconds()
		}
		_ = json.NewEncoder(w).Encode(state)
		return
	}
	if f.refuse.Load() {
		f.refused.Add(1)
		w.Header().Set("X-Verdict", "not_run")
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(engine.Refusal{Verdict: notRun, Reason: engine.ReasonLeaving})
		return
	}
	f.accepted.Add(1)
	_, _ = fmt.Fprint(w, "fake")
}

// addFakeService starts a fake service and adds it to the host list of the plan.
func (d *deployment) addFakeService(name string) *fakeService {
	d.t.Helper()
	f := &fakeService{name: name, began: time.Now()}
	server := httptest.NewServer(f)
	d.t.Cleanup(server.Close)
	d.plan.Hosts = append(d.plan.Hosts, tablestore.ListedHost{
		Name: name, Kind: "service", Model: "listing", Zone: "a", State: tablestore.StateLive,
		Address: strings.TrimPrefix(server.URL, "http://"),
	})
	return f
}

// TestLeavingServersGetNoNewWork guards against new work for a backend server after
// departureLimit, whether the host list, its own report or its refusals show that it is
// leaving. Routing prefers the leaving engine for the prompt prefixes that it has cached,
// and the host list, which still shows the fake services as live, becomes unavailable.
func TestLeavingServersGetNoNewWork(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 51)
	reports, refuses := d.addFakeService("fake-reports"), d.addFakeService("fake-refuses")
	d.startAll()
	d.waitServing()

	var stopped atomic.Bool
	var traffic sync.WaitGroup
	defer traffic.Wait()
	defer stopped.Store(true)
	prefix := strings.Repeat("shared instructions ", 16)
	for entry := range d.plan.Entries {
		traffic.Go(func() {
			for i := 0; !stopped.Load(); i++ {
				d.call(entry, "app", http.MethodGet, "/services/items/oak", "")
				d.sendCompletion(entry, &completion{model: "dial", prompt: fmt.Sprint(prefix, i%3), maxTokens: 8})
			}
		})
	}
	for begun := time.Now(); reports.accepted.Load() == 0 || refuses.accepted.Load() == 0 || d.startedCompletions("engine-2") < 5; time.Sleep(20 * time.Millisecond) {
		require.Less(t, time.Since(begun), 10*time.Second, "a server received too little work before its departure")
	}
	require.NoError(t, demo.SendJSON(http.MethodPost, "http://"+d.plan.Platform+"/admin/hosts/state", "",
		map[string]string{"Name": "engine-2", "State": tablestore.StateLeaving}))
	reports.leaving.Store(true)
	refuses.staleReport.Store(true)
	refuses.refuse.Store(true)
	left := time.Now()
	time.Sleep(2 * time.Second)
	d.setFault("platform", `{"role":"hosts","down":true}`)
	time.Sleep(time.Until(left.Add(departureLimit)))
	require.Positive(t, refuses.refused.Load())
	byList, byReport, byRefusal := d.startedCompletions("engine-2"), reports.accepted.Load(), refuses.refused.Load()
	others := d.startedCompletions("engine-4")
	time.Sleep(2 * time.Second)
	require.Equal(t, byList, d.startedCompletions("engine-2"), "new work although the host list marks the server as leaving")
	require.Equal(t, byReport, reports.accepted.Load(), "new work although the report of the server states that it is leaving")
	require.Greater(t, d.startedCompletions("engine-4"), others, "the remaining server received no work")
	require.Equal(t, byRefusal, refuses.refused.Load(), "new work although the server refuses requests because it is leaving")
}
