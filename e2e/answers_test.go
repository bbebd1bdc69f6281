package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAnswersCompleteUnderStreamFaults guards against an answer with a gap, an
// overlap, parts out of order or parts of another request, and against a broken
// answer that ends like a complete one. An engine duplicates, reorders, truncates,
// cuts or mislabels the chunks of its streams.
func TestAnswersCompleteUnderStreamFaults(t *testing.T) {
	t.Parallel()
	d := deploy(t, 21).waitServing()
	for _, f := range []struct{ engine, model, fault string }{
		{"engine-2", "dial", `{"double":true,"reorder":true,"delay_ms":5}`},
		{"engine-4", "dial", `{"streams":2,"truncate":true}`},
		{"engine-1", "matching", `{"streams":2,"foreign_request_id":"another"}`},
		{"engine-3", "matching", `{"reorder":true,"delay_ms":10}`},
		{"engine-2", "dial", `{"streams":2,"cut_after_chunks":2}`},
		{"engine-4", "dial", `{"streams":2,"no_version":true}`},
		{"engine-1", "matching", `{"double":true,"delay_ms":10}`},
	} {
		before, began := d.startedCompletions(f.engine), time.Now()
		d.setFault(f.engine, f.fault)
		// The engine may still be ejected because of an earlier fault.
		for round := 0; d.startedCompletions(f.engine) == before; round++ {
			require.Less(t, time.Since(began), 10*time.Second, "the faulty engine received no completion")
			all := d.sendCompletions(f.model, fmt.Sprint(f.engine, f.fault, round), 8, 60, 0)
			requireComplete(t, all, f.fault)
			d.verifyCompletions(all)
		}
		d.setFault(f.engine, `{}`)
	}
}

// TestAnswersOfKilledEngine guards against a gap or an overlap at the point where
// another engine resumes the streams of an engine that was killed.
func TestAnswersOfKilledEngine(t *testing.T) {
	t.Parallel()
	d := deploy(t, 22).waitServing()
	before := d.startedCompletions("engine-2")
	done := make(chan []*completion, 1)
	go func() { done <- d.sendCompletions("dial", "killed", 12, 600, 0) }()
	time.Sleep(700 * time.Millisecond)
	require.Greater(t, d.startedCompletions("engine-2"), before)
	d.kill("engine-2")
	all := <-done
	requireComplete(t, all, "killed engine")
	d.verifyCompletions(all)
	d.start("engine-2")

	// Both engines of a model cut their streams, so that some answers end early.
	d.setFault("engine-1", `{"cut_after_chunks":3}`)
	d.setFault("engine-3", `{"cut_after_chunks":2}`)
	all = d.sendCompletions("matching", "both cut", 16, 300, 0)
	t.Logf("%d of %d answers complete", d.verifyCompletions(all), len(all))
}

// TestOnlyVersionNeverMixes guards against an answer with tokens of another weight
// version than the one that the caller asked for. The version changes while answers
// are generated, and later the engines report a wrong version.
func TestOnlyVersionNeverMixes(t *testing.T) {
	t.Parallel()
	d := deploy(t, 23).waitServing()
	for _, engine := range []string{"engine-2", "engine-4"} {
		d.setFault(engine, `{"slow":2}`)
	}
	done := make(chan []*completion, 2)
	go func() { done <- d.sendCompletions("dial", "only", 10, 400, 1) }()
	go func() { done <- d.sendCompletions("dial", "any", 6, 400, 0) }()
	time.Sleep(400 * time.Millisecond)
	require.Equal(t, http.StatusOK, d.call(0, "operator", http.MethodPut, "/v1/weights/dial", `{"version":2,"expected_version":0}`).status)
	for range 2 {
		all := <-done
		complete := d.verifyCompletions(all)
		t.Logf("requested version %d: %d of %d answers complete", all[0].onlyVersion, complete, len(all))
		if all[0].onlyVersion == 0 {
			require.Equal(t, len(all), complete)
		}
	}
	for entry := range d.plan.Entries {
		d.eventually(10*time.Second, func() reply {
			return d.sendCompletion(entry, &completion{model: "dial", prompt: "now", maxTokens: 4, onlyVersion: 2})
		}, func(r reply) bool { return r.status == http.StatusOK })
	}
	all := d.sendCompletions("dial", "old", 6, 40, 1)
	require.Zero(t, d.verifyCompletions(all), "no engine has version 1 active")
	all = d.sendCompletions("dial", "new", 6, 40, 2)
	requireComplete(t, all, "version 2")
	d.verifyCompletions(all)
	// The engines ignore the requested version and report version 9.
	for _, engine := range []string{"engine-2", "engine-4"} {
		d.setFault(engine, `{"lie_version":9}`)
	}
	require.Zero(t, d.verifyCompletions(d.sendCompletions("dial", "lie", 6, 40, 2)))
}
