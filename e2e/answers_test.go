package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAnswersWholeUnderStreamFaults guards against callers who receive an answer
// with a gap, an overlap, parts out of order or parts of another request, and
// against a broken answer that ends like a whole one.
func TestAnswersWholeUnderStreamFaults(t *testing.T) {
	t.Parallel()
	d := deploy(t, 21).serving()
	for _, f := range []struct{ engine, model, fault string }{
		{"engine-2", "dial", `{"double":true,"reorder":true,"delay_ms":5}`},
		{"engine-4", "dial", `{"streams":2,"truncate":true}`},
		{"engine-1", "matching", `{"streams":2,"foreign_request_id":"another"}`},
		{"engine-3", "matching", `{"reorder":true,"delay_ms":10}`},
		{"engine-2", "dial", `{"streams":2,"cut_after_chunks":2}`},
		{"engine-4", "dial", `{"streams":2,"no_version":true}`},
		{"engine-1", "matching", `{"double":true,"delay_ms":10}`},
	} {
		before, began := d.starts(f.engine), time.Now()
		d.fault(f.engine, f.fault)
		// An earlier fault may have ejected the engine for some time.
		for round := 0; d.starts(f.engine) == before; round++ {
			require.Less(t, time.Since(began), 10*time.Second, "the faulty engine was not used")
			all := d.complete(f.model, fmt.Sprint(f.engine, f.fault, round), 8, 60, 0)
			requireWhole(t, all, f.fault)
			d.judgeCompletions(all)
		}
		d.fault(f.engine, `{}`)
	}
}

// TestAnswersOfKilledEngine guards against a gap or an overlap where another
// engine resumes the streams of one that was killed.
func TestAnswersOfKilledEngine(t *testing.T) {
	t.Parallel()
	d := deploy(t, 22).serving()
	before := d.starts("engine-2")
	done := make(chan []*completion, 1)
	go func() { done <- d.complete("dial", "killed", 12, 600, 0) }()
	time.Sleep(700 * time.Millisecond)
	require.Greater(t, d.starts("engine-2"), before)
	d.kill("engine-2")
	all := <-done
	requireWhole(t, all, "killed engine")
	d.judgeCompletions(all)
	d.start("engine-2")

	// Both engines of a model fail, so that some answers must end early.
	d.fault("engine-1", `{"cut_after_chunks":3}`)
	d.fault("engine-3", `{"cut_after_chunks":2}`)
	all = d.complete("matching", "both cut", 16, 300, 0)
	t.Logf("%d of %d answers whole", d.judgeCompletions(all), len(all))
}

// TestOnlyVersionNeverMixes guards against an answer that holds tokens of another
// weight version than the one its caller asked for.
func TestOnlyVersionNeverMixes(t *testing.T) {
	t.Parallel()
	d := deploy(t, 23).serving()
	for _, engine := range []string{"engine-2", "engine-4"} {
		d.fault(engine, `{"slow":2}`)
	}
	done := make(chan []*completion, 2)
	go func() { done <- d.complete("dial", "only", 10, 400, 1) }()
	go func() { done <- d.complete("dial", "any", 6, 400, 0) }()
	time.Sleep(400 * time.Millisecond)
	require.Equal(t, http.StatusOK, d.call(0, "operator", http.MethodPut, "/v1/weights/dial", `{"version":2,"expected_version":0}`).status)
	for range 2 {
		all := <-done
		whole := d.judgeCompletions(all)
		t.Logf("version %d: %d of %d answers whole", all[0].only, whole, len(all))
		if all[0].only == 0 {
			require.Equal(t, len(all), whole)
		}
	}
	for entry := range d.plan.Entries {
		d.eventually(10*time.Second, func() reply {
			return d.sendCompletion(entry, &completion{model: "dial", prompt: "now", maxTokens: 4, only: 2})
		}, func(r reply) bool { return r.status == http.StatusOK })
	}
	all := d.complete("dial", "old", 6, 40, 1)
	require.Zero(t, d.judgeCompletions(all), "no engine has version 1 active")
	all = d.complete("dial", "new", 6, 40, 2)
	requireWhole(t, all, "version 2")
	d.judgeCompletions(all)
	// The engines do not check the version, and report another.
	for _, engine := range []string{"engine-2", "engine-4"} {
		d.fault(engine, `{"lie_version":9}`)
	}
	require.Zero(t, d.judgeCompletions(d.complete("dial", "lie", 6, 40, 2)))
}
