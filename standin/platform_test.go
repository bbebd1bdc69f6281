package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

func send(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(raw)
}

// TestRates guards against a table service that admits more rows than its rate
// limit allows, and against one that never admits a transaction of the largest
// size.
func TestRates(t *testing.T) {
	p := NewPlatform(1, PlatformRates{WritesPerSecond: 300, ReadsPerSecond: 2000})
	server := httptest.NewServer(p.Echo(""))
	defer server.Close()
	client := tablestore.NewTablesClient(server.URL, &http.Client{})
	txn := tablestore.Txn{Op: "1"}
	for range tablestore.MaxTxnRows {
		txn.Delete = append(txn.Delete, "k")
	}
	_, err := client.Commit(context.Background(), txn)
	require.NoError(t, err)
	_, err = client.Commit(context.Background(), txn)
	require.Equal(t, verdict.ReasonRateLimited, verdict.ReasonOf(err))
	require.Equal(t, tablestore.MaxTxnRows, p.Tables.Store.Ledger().RowsWritten)
}

// TestHostListLag guards against a change that becomes visible before the lag has
// passed.
func TestHostListLag(t *testing.T) {
	p := NewPlatform(1, PlatformRates{})
	server := httptest.NewServer(p.Echo(""))
	defer server.Close()
	status, _ := send(t, http.MethodPut, server.URL+"/admin/hosts", `{"hosts":[{"name":"s1","state":"live"}]}`)
	require.Equal(t, http.StatusNoContent, status)
	status, _ = send(t, http.MethodPost, server.URL+"/admin/hosts/lag", `{"lag_ms":200}`)
	require.Equal(t, http.StatusNoContent, status)
	list := tablestore.NewHostListClient(server.URL, &http.Client{})
	changed := time.Now()
	status, _ = send(t, http.MethodPost, server.URL+"/admin/hosts/state", `{"name":"s1","state":"leaving"}`)
	require.Equal(t, http.StatusNoContent, status)
	hosts, err := list.Hosts(context.Background())
	require.NoError(t, err)
	require.Equal(t, tablestore.StateLive, hosts[0].State)
	require.Eventually(t, func() bool {
		hosts, err := list.Hosts(context.Background())
		return err == nil && hosts[0].State == tablestore.StateLeaving
	}, 5*time.Second, 5*time.Millisecond)
	require.GreaterOrEqual(t, time.Since(changed), 200*time.Millisecond)
	status, _ = send(t, http.MethodPost, server.URL+"/admin/hosts/state", `{"name":"s9","state":"leaving"}`)
	require.Equal(t, http.StatusNotFound, status)
}

// TestAdmin guards against a misspelt fault that is accepted without effect, and
// against a ledger that lacks a write whose response was lost.
func TestAdmin(t *testing.T) {
	server := httptest.NewServer(NewPlatform(1, PlatformRates{}).Echo("secret"))
	defer server.Close()
	status, _ := send(t, http.MethodPost, server.URL+"/admin/faults", `{"role":"tables","dwon":true}`)
	require.Equal(t, http.StatusBadRequest, status)
	status, _ = send(t, http.MethodPost, server.URL+"/admin/faults", `{"role":"engine"}`)
	require.Equal(t, http.StatusNotFound, status)
	status, _ = send(t, http.MethodPost, server.URL+"/admin/faults", `{"role":"tables","lose_answers":1}`)
	require.Equal(t, http.StatusOK, status)
	status, _ = send(t, http.MethodGet, server.URL+"/v1/row?key=a", "")
	require.Equal(t, http.StatusUnauthorized, status)

	client := tablestore.NewTablesClient(server.URL, &http.Client{Transport: &tablestore.BearerTransport{Token: "secret"}})
	_, err := client.Commit(context.Background(), tablestore.Txn{Op: "w", Delete: []string{"a"}})
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	_, body := send(t, http.MethodGet, server.URL+"/admin/ledger?role=tables", "")
	var answer struct{ Tables TableLedger }
	require.NoError(t, json.NewDecoder(bytes.NewBufferString(body)).Decode(&answer))
	require.Len(t, answer.Tables.Commits, 1)
	require.Equal(t, "w", answer.Tables.Commits[0].Op)
}

// TestInjectorIsSeeded guards against a sequence of faults that differs between
// two runs with the same seed.
func TestInjectorIsSeeded(t *testing.T) {
	draw := func() (kinds []faultKind) {
		i := NewPlatformInjector(1)
		i.Set(PlatformFaults{LoseAnswerShare: 0.5, RejectShare: 0.2}, 9)
		for range 50 {
			kinds = append(kinds, i.decide(true).kind)
		}
		return kinds
	}
	require.Equal(t, draw(), draw())
}
