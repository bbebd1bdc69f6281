package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/api"
	"github.com/lavenderstand/lavenderstand/status"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// TestExplain guards against a caller's key in the output, and against errors without their
// cause or with the exit code of another.
func TestExplain(t *testing.T) {
	const key = "k-secret"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q status.ExplainQuery
		_ = json.NewDecoder(r.Body).Decode(&q)
		switch {
		case q.Lot == "none":
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(api.ErrorBody{Error: api.ErrorDetail{Message: "no desired state yet", Reason: verdict.ReasonNotReady}})
		case q.Request == nil:
			w.WriteHeader(http.StatusNotFound)
			_ = json.NewEncoder(w).Encode(api.ErrorBody{Error: api.ErrorDetail{Message: "lot is not known", Reason: verdict.ReasonUnknownLot}})
		default:
			_ = json.NewEncoder(w).Encode(status.Explanation{Host: "h1", DesiredVersion: 7, Request: &status.RequestExplanation{
				Route: "r", Organisation: q.Request.Header.Get("Key")[:1], Servers: []status.ServerCandidate{{ID: "i1", LeftOut: "full"}},
				Refusal: &status.Refusal{Reason: verdict.ReasonOverload, Status: 503, RetryAfterMS: 40},
			}})
		}
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	keyFile := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(keyFile, []byte(key), 0o600))
	for _, format := range []string{"table", "json"} {
		out, err := runCtl("explain", "request", address, "--host", "h", "--key-file", keyFile, "-o", format)
		require.NoError(t, err)
		require.NotContains(t, out, key)
		require.Contains(t, out, "h1")
		require.Contains(t, out, "overload")
	}
	for _, c := range []struct {
		args []string
		want string
		code int
	}{
		{[]string{"lot", address, "l1"}, "lot is not known (unknown_lot)", exitError},
		{[]string{"lot", address, "none"}, "no desired state yet (not_ready)", exitError},
		{[]string{"item", "127.0.0.1:1", "i"}, "127.0.0.1:1", exitUnknown},
		{[]string{"request", address}, "host", exitUsage},
		{[]string{"request", address, "--host", "h", "--header", key}, "--header", exitUsage},
	} {
		_, err := runCtl(append([]string{"explain"}, c.args...)...)
		require.ErrorContains(t, err, c.want)
		require.NotContains(t, err.Error(), key)
		require.Equal(t, c.code, exitCode(err), "%v", c.args)
	}
}
