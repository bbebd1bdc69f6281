package identity_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/api"
	"github.com/lavenderstand/lavenderstand/identity"
)

const (
	operatorToken = "operator-token-0001"
	callerToken   = "caller-token-000001"
)

// writePrincipals writes a principals file with one operator and one caller.
func writePrincipals(t *testing.T, operator, caller, extra string) string {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "op"), []byte(operator+"\n"), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "ca"), []byte(caller), 0o600))
	path := filepath.Join(dir, "principals.toml")
	text := "[[principal]]\nname='anna'\nrole='operator'\ntoken_file='op'\n" +
		"[[principal]]\nname='shop'\nrole='caller'\ntoken_file='ca'\n" + extra
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestBadPrincipalsAreRefused guards against accepting a principals file with an
// unusable secret or entry, and against errors that contain a token.
func TestBadPrincipalsAreRefused(t *testing.T) {
	for name, c := range map[string]struct{ operator, caller, extra, want string }{
		"empty":       {"", callerToken, "", "is empty"},
		"short":       {"short-secret", callerToken, "", "shorter than 16 bytes"},
		"shared":      {callerToken, callerToken, "", "same as that of anna"},
		"unreadable":  {operatorToken, callerToken, "[[principal]]\nname='x'\nrole='process'\ntoken_file='none'\n", "no such file"},
		"role":        {operatorToken, callerToken, "[[principal]]\nname='x'\nrole='root'\ntoken_file='op'\n", "unknown role"},
		"same name":   {operatorToken, callerToken, "[[principal]]\nname='anna'\nrole='caller'\ntoken_file='op'\n", "used twice"},
		"unknown key": {operatorToken, callerToken, "[[principal]]\nname='x'\ntoken='abc'\n", "strict mode"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := identity.Load(writePrincipals(t, c.operator, c.caller, c.extra))
			require.ErrorContains(t, err, c.want)
			require.NotContains(t, err.Error(), callerToken)
			require.NotContains(t, err.Error(), "short-secret")
		})
	}
}

// TestRequestsAreCheckedAndLimited guards against accepting calls without a valid
// token, with a role that is not allowed, or above the rate limit of their principal.
func TestRequestsAreCheckedAndLimited(t *testing.T) {
	p, err := identity.Load(writePrincipals(t, operatorToken, callerToken, ""))
	require.NoError(t, err)
	e := echo.New()
	e.HTTPErrorHandler = api.HandleError
	g := e.Group("/v1", p.Middleware(), identity.RequireRole(identity.RoleOperator), p.RateLimit(0.001, 2))
	g.GET("/who", func(c echo.Context) error {
		return c.String(http.StatusOK, fmt.Sprint(c.Get("principal"), c.Get("role")))
	})
	call := func(token string) (int, string) {
		r := httptest.NewRequest(http.MethodGet, "/v1/who", nil)
		if token != "" {
			r.Header.Set("Authorization", "Bearer "+token)
		}
		w := httptest.NewRecorder()
		e.ServeHTTP(w, r)
		return w.Code, w.Body.String()
	}
	for _, c := range []struct {
		token string
		code  int
		want  string
	}{
		{"", 401, `"not_run"`},
		{operatorToken + "x", 401, "unauthenticated"},
		{callerToken, 403, "forbidden"},
		{operatorToken, 200, "annaoperator"},
		{operatorToken, 200, "annaoperator"},
		{operatorToken, 429, "rate_limited"},
		{callerToken, 403, "forbidden"},
	} {
		code, body := call(c.token)
		require.Equal(t, c.code, code, body)
		require.Contains(t, body, c.want)
		require.NotContains(t, body, operatorToken)
	}
	require.Error(t, p.CheckProcess("Bearer "+operatorToken))
}
