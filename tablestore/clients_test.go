package tablestore_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/standin"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

func serve(t *testing.T, r standin.PlatformRates) (*standin.Platform, string) {
	t.Helper()
	p := standin.NewPlatform(1, r)
	server := httptest.NewServer(p.Echo(""))
	t.Cleanup(server.Close)
	return p, server.URL
}

// TestCommitVerdicts guards against verdict NotRun for a transaction that may have
// been written.
func TestCommitVerdicts(t *testing.T) {
	p, url := serve(t, standin.PlatformRates{})
	client := tablestore.NewTablesClient(url, &http.Client{})
	cases := map[string]struct {
		faults  standin.PlatformFaults
		verdict verdict.Verdict
		reason  verdict.Reason
		effects int
	}{
		"down":         {standin.PlatformFaults{Down: true}, verdict.NotRun, verdict.ReasonStoreUnavailable, 0},
		"rejected":     {standin.PlatformFaults{RejectShare: 1}, verdict.NotRun, verdict.ReasonRateLimited, 0},
		"answer lost":  {standin.PlatformFaults{LoseAnswers: 1}, verdict.MayHaveRun, verdict.ReasonConnectionLost, 1},
		"request lost": {standin.PlatformFaults{LoseRequests: 1}, verdict.MayHaveRun, verdict.ReasonConnectionLost, 0},
		"slow":         {standin.PlatformFaults{SlowMS: 300, JitterMS: 10}, verdict.MayHaveRun, verdict.ReasonConnectionLost, 1},
		"late":         {standin.PlatformFaults{LateWrites: 1, LateMS: 30}, verdict.MayHaveRun, verdict.ReasonConnectionLost, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p.Tables.Injector.Set(c.faults, 0)
			before := len(p.Tables.Store.Ledger().Commits)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_, err := client.Commit(ctx, put("w", name, 0))
			require.Error(t, err)
			require.Equal(t, c.verdict, verdict.Of(err))
			require.Equal(t, c.reason, verdict.ReasonOf(err))
			require.Eventually(t, func() bool {
				return len(p.Tables.Store.Ledger().Commits) == before+c.effects
			}, 2*time.Second, 10*time.Millisecond)
		})
	}
}

// TestUnverifiedStatusMayHaveRun guards against concluding NotRun from a status,
// such as 503, without a body that confirms it: a proxy may have answered after it
// had forwarded the request.
func TestUnverifiedStatusMayHaveRun(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusInternalServerError, http.StatusOK} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
		}))
		_, err := tablestore.NewTablesClient(server.URL, &http.Client{}).Commit(context.Background(), put("w", "a", 0))
		server.Close()
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err), "status %d", status)
	}
	_, err := tablestore.NewTablesClient("http://127.0.0.1:1", &http.Client{}).Commit(context.Background(), put("w", "a", 0))
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Equal(t, verdict.ReasonConnectFailed, verdict.ReasonOf(err))
}

// TestTablesOverHTTP guards against pages that a scan loses, versions that start
// again after a deletion, and transactions that take effect in part.
func TestTablesOverHTTP(t *testing.T) {
	_, url := serve(t, standin.PlatformRates{})
	client := tablestore.NewTablesClient(url, &http.Client{})
	ctx := context.Background()
	for part := range 3 {
		txn := tablestore.Txn{Op: "fill"}
		for i := range 700 {
			key := "s/" + string(rune('a'+part)) + strings.Repeat("x", i)
			txn.Put = append(txn.Put, tablestore.Put{Key: key, Value: []byte("1")})
		}
		_, err := client.Commit(ctx, txn)
		require.NoError(t, err)
	}
	rows, err := client.Scan(ctx, "s/")
	require.NoError(t, err)
	require.Len(t, rows, 2100)

	_, err = client.Commit(ctx, put("1", "k", 0))
	require.NoError(t, err)
	_, err = client.Commit(ctx, remove("2", "k", 1))
	require.NoError(t, err)
	result, err := client.Commit(ctx, put("3", "k", 0))
	require.NoError(t, err)
	require.Equal(t, uint64(2), result.Versions["k"])

	both := put("4", "k", 2)
	both.If = append(both.If, tablestore.Condition{Key: "absent", Version: 1})
	both.Put = append(both.Put, tablestore.Put{Key: "m", Value: []byte("1")})
	result, err = client.Commit(ctx, both)
	require.NoError(t, err)
	require.Equal(t, []tablestore.Condition{{Key: "absent"}}, result.Conflicts)
	_, found, err := client.Get(ctx, "m")
	require.NoError(t, err)
	require.False(t, found)
}

// TestObjectsAndWeights guards against overwritten objects and against truncated
// weights that are taken for complete.
func TestObjectsAndWeights(t *testing.T) {
	p, url := serve(t, standin.PlatformRates{})
	ctx := context.Background()
	objects := tablestore.NewObjectsClient(url, &http.Client{})
	p.Objects.Injector.Set(standin.PlatformFaults{LoseAnswers: 1}, 0)
	require.Equal(t, verdict.MayHaveRun, verdict.Of(objects.Put(ctx, "k/1", []byte("x"))))
	require.NoError(t, objects.Put(ctx, "k/1", []byte("x")))
	require.Equal(t, verdict.ReasonConflict, verdict.ReasonOf(objects.Put(ctx, "k/1", []byte("y"))))
	data, found, err := objects.Get(ctx, "k/1")
	require.NoError(t, err)
	require.True(t, found)
	require.Equal(t, "x", string(data))
	require.NoError(t, objects.Delete(ctx, "k/1"))
	require.NoError(t, objects.Delete(ctx, "k/1"))
	_, found, err = objects.Get(ctx, "k/1")
	require.NoError(t, err)
	require.False(t, found)

	weights := tablestore.NewWeightsClient(url, &http.Client{})
	p.Weights.SetLimits(256<<10, 1<<20)
	started := time.Now()
	var first bytes.Buffer
	n, err := weights.Fetch(ctx, "m", 3, &first)
	require.NoError(t, err)
	require.Equal(t, int64(256<<10), n)
	require.Greater(t, time.Since(started), 100*time.Millisecond, "the fetch is not limited in rate")
	p.Weights.Injector.Set(standin.PlatformFaults{LoseAnswers: 1}, 0)
	_, err = weights.Fetch(ctx, "m", 3, io.Discard)
	require.Equal(t, verdict.ReasonTruncatedAnswer, verdict.ReasonOf(err))
}
