package claim_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/claim"
	"github.com/lavenderstand/lavenderstand/standin"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

func newStore(tables tablestore.Tables) *claim.Store {
	return &claim.Store{
		Tables: tables, ProcessID: "e1", NewOpID: tablestore.OpIDs(rand.Uint64), Now: time.Now,
		Resolve: tablestore.ResolveOptions{Random: func() float64 { return 0.1 }},
	}
}

func contextWithTimeout(t testing.TB, limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	return ctx
}

func ExampleStore() {
	s := newStore(standin.NewMemoryTables(1))
	ctx := context.Background()
	first, _ := s.Claim(ctx, "app", "listing", "bundle-7", "hash")
	second, _ := s.Claim(ctx, "app", "listing", "bundle-7", "hash")
	fmt.Println(first.Status == claim.Claimed, second.Status == claim.InProgress)
	// The holder of the claim sends the request and stores its outcome.
	_ = s.Finish(ctx, first.Handle, claim.Outcome{StatusCode: http.StatusOK, Body: []byte("yours")})
	third, _ := s.Claim(ctx, "app", "listing", "bundle-7", "hash")
	fmt.Println(third.Status == claim.Finished, string(third.Outcome.Body))
	other, _ := s.Claim(ctx, "app", "listing", "bundle-7", "other hash")
	fmt.Println(other.Status == claim.KeyReused)
	// Output:
	// true true
	// true yours
	// true
}

// TestLostAnswers guards against a holder that mistakes its own claim for that of
// another process, and against a claim that is granted twice.
func TestLostAnswers(t *testing.T) {
	for _, faults := range []standin.PlatformFaults{{LoseAnswers: 1}, {LoseRequests: 1}, {LateWrites: 1}} {
		m := standin.NewMemoryTables(1)
		m.Injector.Set(faults, 0)
		s := newStore(m)
		r, err := s.Claim(contextWithTimeout(t, time.Second), "a", "r", "k", "h")
		require.NoError(t, err)
		require.Equal(t, claim.Claimed, r.Status)
		m.ApplyLate()
		m.Injector.Set(faults, 0)
		require.NoError(t, s.Finish(contextWithTimeout(t, time.Second), r.Handle, claim.Outcome{StatusCode: 201}))
		m.ApplyLate()
		require.Equal(t, 2, m.Store.Ledger().RowsWritten)
		r, err = s.Claim(contextWithTimeout(t, time.Second), "a", "r", "k", "h")
		require.NoError(t, err)
		require.Equal(t, claim.Finished, r.Status)
		require.Equal(t, 201, r.Outcome.StatusCode)
	}
}

// TestConcurrentClaimsHaveOneWinner guards against a request that two entry hosts send.
// The processes call the table service over HTTP, and some answers are lost.
func TestConcurrentClaimsHaveOneWinner(t *testing.T) {
	p := standin.NewPlatform(3, standin.PlatformRates{})
	server := httptest.NewServer(p.Echo(""))
	defer server.Close()
	p.Tables.Injector.Set(standin.PlatformFaults{LoseAnswerShare: 0.3, RejectShare: 0.1, JitterMS: 3}, 0)
	for key := range 20 {
		var claimed, inProgress atomic.Int32
		var wg sync.WaitGroup
		for range 6 {
			wg.Go(func() {
				s := newStore(tablestore.NewTablesClient(server.URL, &http.Client{}))
				r, err := s.Claim(contextWithTimeout(t, 20*time.Second), "a", "r", fmt.Sprint(key), "h")
				switch {
				case err == nil && r.Status == claim.Claimed:
					claimed.Add(1)
				case err == nil && r.Status == claim.InProgress:
					inProgress.Add(1)
				}
			})
		}
		wg.Wait()
		require.Equal(t, int32(1), claimed.Load())
		require.Equal(t, int32(5), inProgress.Load())
	}
	_, counts := p.Tables.Injector.Faults()
	require.Positive(t, counts.AnswersLost)
}

// TestStoreDown guards against a request that is sent without a claim, and against a
// refusal without the verdict NotRun.
func TestStoreDown(t *testing.T) {
	m := standin.NewMemoryTables(1)
	for _, first := range []standin.PlatformFaults{{Down: true}, {LoseRequests: 1 << 20}} {
		m.Injector.Set(first, 0)
		r, err := newStore(m).Claim(contextWithTimeout(t, 50*time.Millisecond), "a", "r", "k", "h")
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Equal(t, verdict.ReasonStoreUnavailable, verdict.ReasonOf(err))
		require.Zero(t, r.Status)
	}
}

// TestRelease guards against a released claim that cannot be claimed again, and against
// one that two calls claim.
func TestRelease(t *testing.T) {
	m := standin.NewMemoryTables(1)
	s := newStore(m)
	r, err := s.Claim(contextWithTimeout(t, time.Second), "a", "r", "k", "h")
	require.NoError(t, err)
	require.NoError(t, s.Release(contextWithTimeout(t, time.Second), r.Handle))
	old := r.Handle
	reused, err := s.Claim(contextWithTimeout(t, time.Second), "a", "r", "k", "other")
	require.NoError(t, err)
	require.Equal(t, claim.KeyReused, reused.Status)
	m.Injector.Set(standin.PlatformFaults{LoseAnswers: 1}, 0)
	r, err = s.Claim(contextWithTimeout(t, time.Second), "a", "r", "k", "h")
	require.NoError(t, err)
	require.Equal(t, claim.Claimed, r.Status)
	second, err := s.Claim(contextWithTimeout(t, time.Second), "a", "r", "k", "h")
	require.NoError(t, err)
	require.Equal(t, claim.InProgress, second.Status)
	require.Error(t, s.Finish(contextWithTimeout(t, time.Second), old, claim.Outcome{}), "the handle from before the release must not finish the new claim")
	require.NoError(t, s.Finish(contextWithTimeout(t, time.Second), r.Handle, claim.Outcome{StatusCode: 200}))
}

// TestClaimRows guards against different claims with the same key, stored bodies without
// a size limit, rows without an expiry time, and a malformed row that lets a request run
// again.
func TestClaimRows(t *testing.T) {
	require.NotEqual(t, claim.Key("a/b", "c", "d"), claim.Key("a", "b/c", "d"))
	m := standin.NewMemoryTables(1)
	s := newStore(m)
	written := 0
	s.RowsWritten = func(n int) { written += n }
	r, err := s.Claim(contextWithTimeout(t, time.Second), "a", "r", "k", "h")
	require.NoError(t, err)
	tooLarge := bytes.Repeat([]byte("x"), claim.MaxStoredBodyBytes+1)
	require.NoError(t, s.Finish(contextWithTimeout(t, time.Second), r.Handle, claim.Outcome{StatusCode: 200, Body: tooLarge}))
	r, err = s.Claim(contextWithTimeout(t, time.Second), "a", "r", "k", "h")
	require.NoError(t, err)
	require.True(t, r.Outcome.BodyOmitted)
	require.Empty(t, r.Outcome.Body)
	require.Equal(t, 2, written)
	row, _ := m.Store.Read(claim.Key("a", "r", "k"))
	require.False(t, claim.Expired(row, time.Now().Add(claim.Retention-time.Minute)))
	require.True(t, claim.Expired(row, time.Now().Add(claim.Retention+time.Minute)))

	m.Store.Apply(tablestore.Txn{Put: []tablestore.Put{{Key: claim.Key("a", "r", "bad"), Value: []byte(`{"state":"x"}`)}}})
	r, err = s.Claim(contextWithTimeout(t, time.Second), "a", "r", "bad", "h")
	require.NoError(t, err)
	require.Equal(t, claim.InProgress, r.Status)
}

func FuzzExpired(f *testing.F) {
	f.Add([]byte(`{"state":"finished","keep_until_unix_ms":1}`))
	f.Add([]byte(`{"state":"claimed","keep_until_unix_ms":1,"newer":{}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(_ *testing.T, value []byte) {
		claim.Expired(tablestore.Row{Value: value}, time.Now())
	})
}

// BenchmarkClaim reports the number of operations of the table service per finished
// claim.
func BenchmarkClaim(b *testing.B) {
	m := standin.NewMemoryTables(1)
	s := newStore(m)
	ctx := context.Background()
	for i := 0; b.Loop(); i++ {
		r, _ := s.Claim(ctx, "a", "r", fmt.Sprint(i), "h")
		_ = s.Finish(ctx, r.Handle, claim.Outcome{StatusCode: 200})
	}
	l := m.Store.Ledger()
	b.ReportMetric(float64(l.RowsWritten)/float64(b.N), "rows-written/op")
	b.ReportMetric(float64(l.Reads)/float64(b.N), "reads/op")
}
