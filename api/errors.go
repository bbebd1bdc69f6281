package api

import (
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// HandleError writes the error of a handler or middleware as an ErrorBody. It
// is set as echo.Echo.HTTPErrorHandler.
func HandleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var status *echo.HTTPError
	if errors.As(err, &status) {
		err = verdict.New(verdict.NotRun, reasonOfStatus(status.Code), "%v", status.Message)
	}
	_ = writeError(c, err)
}

// reasonOfStatus maps the errors that echo raises before a handler runs.
func reasonOfStatus(code int) verdict.Reason {
	switch code {
	case http.StatusNotFound:
		return verdict.ReasonUnknownRoute
	case http.StatusRequestEntityTooLarge:
		return verdict.ReasonBodyTooLarge
	default:
		return verdict.ReasonBadRequest
	}
}
