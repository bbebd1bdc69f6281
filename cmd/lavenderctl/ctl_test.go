package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/api"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const token = "operator-token-0001"

// fakeServer answers GET /v1/config with version 7 and records changes, which put answers.
type fakeServer struct {
	put  http.HandlerFunc
	puts []api.ConfigChange
}

func (f *fakeServer) start(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer "+token {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, `{"version":7,"config":{"classes":{"live":{"latency_ms":800,"staleness_bound":3}}}}`)
			return
		}
		var change api.ConfigChange
		_ = json.NewDecoder(r.Body).Decode(&change)
		f.puts = append(f.puts, change)
		f.put(w, r)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func accept(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, `{"version":8,"author":"anna"}`)
}

// closeConnection closes the connection after the request was read.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

func reject(status int, body any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

// malformedHead sends an answer that states that the change did not run, with a blank in the name
// of a field.
func malformedHead(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	body, _ := json.Marshal(refused(verdict.NotRun, verdict.ReasonNoMajority))
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 x\r\nX Y: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_ = conn.Close()
}

func refused(v verdict.Verdict, reason verdict.Reason) api.ErrorBody {
	return api.ErrorBody{Error: api.ErrorDetail{Message: "refused", Reason: reason, Verdict: v}}
}

// runWithToken runs lavenderctl and returns its exit code, output and error message. It
// fails if one of them contains the token.
func runWithToken(t *testing.T, servers []string, args ...string) (int, string, string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(file, []byte(token), 0o600))
	var out bytes.Buffer
	root := newRoot(&out)
	all := []string{"--token-file", file}
	for _, s := range servers {
		all = append(all, "--server", s)
	}
	root.SetArgs(append(all, args...))
	err := root.Execute()
	message := ""
	if err != nil {
		message = err.Error()
	}
	require.NotContains(t, out.String()+message, token)
	return exitCode(err), out.String(), message
}

func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

// TestClassSetKeepsOtherTargets guards against a change of one target that resets
// the others or does not carry the version that was read.
func TestClassSetKeepsOtherTargets(t *testing.T) {
	f := &fakeServer{put: accept}
	code, out, message := runWithToken(t, []string{unusedAddress(t), f.start(t)}, "class", "set", "live", "--latency-ms", "500")
	require.Equal(t, exitOK, code, message)
	require.Contains(t, out, "8        anna")
	require.Equal(t, uint64(7), *f.puts[0].ExpectedVersion)
	require.Equal(t, plan.ClassConfig{LatencyMS: 500, StalenessBound: 3}, f.puts[0].Config.Classes["live"])
}

// TestConflictShowsAcceptedVersion guards against a conflict message that does not show
// which changes the operator must merge.
func TestConflictShowsAcceptedVersion(t *testing.T) {
	f := &fakeServer{put: reject(http.StatusConflict, api.ConfigConflict{
		ErrorBody: refused(verdict.NotRun, verdict.ReasonConflict),
		Current: api.CurrentConfig{Version: 8, Author: "bob", Config: plan.Config{Classes: map[string]plan.ClassConfig{
			"live": {LatencyMS: 700, StalenessBound: 3}, "new": {LatencyMS: 1},
		}}},
	})}
	code, _, message := runWithToken(t, []string{f.start(t)}, "class", "set", "live", "--latency-ms", "500")
	require.Equal(t, exitConflict, code)
	require.Equal(t, "conflict with version 8 by bob, which was accepted first; differing keys:\n  classes.live.latency_ms\n  classes.new.latency_ms", message)
}

// TestExitCodes guards against a change that may have run but is reported as not run or is
// sent to a second server.
func TestExitCodes(t *testing.T) {
	set := []string{"class", "set", "live", "--latency-ms", "500"}
	for name, c := range map[string]struct {
		put        http.HandlerFunc
		args       []string
		code, puts int // puts is the number of changes at the second server
	}{
		"connection lost":       {closeConnection, set, exitUnknown, 0},
		"may have run":          {reject(504, refused(verdict.MayHaveRun, verdict.ReasonDeadline)), set, exitUnknown, 0},
		"answer of a proxy":     {reject(502, "bad gateway"), set, exitUnknown, 0},
		"malformed head":        {malformedHead, set, exitUnknown, 0},
		"forbidden":             {reject(403, refused(verdict.NotRun, verdict.ReasonForbidden)), set, exitError, 0},
		"no majority, not run":  {reject(503, refused(verdict.NotRun, verdict.ReasonNoMajority)), set, exitOK, 1},
		"no flag":               {accept, []string{"class", "set", "live"}, exitUsage, 0},
		"bad value":             {accept, []string{"class", "set", "live", "--on-time-share", "2"}, exitError, 0},
		"output":                {accept, []string{"status", "-o", "xml"}, exitUsage, 0},
		"drain two hosts":       {accept, []string{"drain"}, exitUsage, 0},
		"expected version":      {accept, []string{"config", "set", "--file", "x"}, exitUsage, 0},
		"unknown configuration": {accept, []string{"config", "set", "--file", "absent.toml", "--expected-version", "1"}, exitError, 0},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := &fakeServer{put: c.put}, &fakeServer{put: accept}
			code, _, message := runWithToken(t, []string{first.start(t), second.start(t)}, c.args...)
			require.Equal(t, c.code, code, message)
			require.Len(t, second.puts, c.puts)
		})
	}
	code, _, _ := runWithToken(t, []string{unusedAddress(t)}, "status")
	require.Equal(t, exitUnknown, code)
}

// TestExampleConfigurationsAreValid guards against examples that a server refuses.
func TestExampleConfigurationsAreValid(t *testing.T) {
	for _, name := range []string{"pamoja", "cymru"} {
		body, err := readConfigFile("../../deploy/examples/" + name + ".config.toml")
		require.NoError(t, err)
		require.NotEmpty(t, body.Classes)
	}
}
