package api_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/api"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// TestEveryErrorAnswerIsCounted guards against refusals that are not counted, whether
// they come from a middleware, a handler or echo itself.
func TestEveryErrorAnswerIsCounted(t *testing.T) {
	counted := make(map[verdict.Reason]int)
	e := echo.New()
	e.HTTPErrorHandler = api.HandleError
	e.Use(api.CountErrors(func(reason verdict.Reason, v verdict.Verdict) {
		require.Equal(t, verdict.NotRun, v)
		counted[reason]++
	}))
	refuse := func(echo.HandlerFunc) echo.HandlerFunc {
		return func(echo.Context) error {
			return verdict.New(verdict.NotRun, verdict.ReasonRateLimited, "too many requests")
		}
	}
	e.GET("/limited", func(c echo.Context) error { return c.NoContent(http.StatusOK) }, refuse)
	e.GET("/fine", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	for path, status := range map[string]int{
		"/limited": http.StatusTooManyRequests, "/fine": http.StatusOK, "/absent": http.StatusNotFound,
	} {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		require.Equal(t, status, w.Code, path)
	}
	require.Equal(t, map[verdict.Reason]int{verdict.ReasonRateLimited: 1, verdict.ReasonUnknownRoute: 1}, counted)
}
