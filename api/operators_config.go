package api

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// ConfigChange is the body of PUT /v1/config.
type ConfigChange struct {
	ExpectedVersion *uint64     `json:"expected_version"` // 0 if no configuration exists yet
	Author          string      `json:"author"`
	Config          plan.Config `json:"config"`
}

// ConfigAnswer is the body of the response to an accepted change.
type ConfigAnswer struct {
	Version uint64 `json:"version"`
	Author  string `json:"author"`
}

// ConfigConflict is the body of the response to a change that was not accepted
// because another change was accepted first. Current is the version in force.
type ConfigConflict struct {
	ErrorBody
	Current CurrentConfig `json:"winner"`
}

// CurrentConfig is the configuration in force after a conflict, with the author of
// the change that was accepted.
type CurrentConfig struct {
	Version uint64      `json:"version"`
	Author  string      `json:"author"`
	Config  plan.Config `json:"config"`
}

func (o *OperatorHandlers) putConfig(c echo.Context) error {
	var change ConfigChange
	if err := decodeStrictJSON(c, &change); err != nil {
		return writeError(c, err)
	}
	if change.ExpectedVersion == nil {
		return writeError(c, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "expected_version is missing"))
	}
	if err := change.Config.Check(); err != nil {
		return writeError(c, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "configuration: %v", err))
	}
	answer, err := o.changeConfig(c, change)
	if err != nil {
		return writeError(c, err)
	}
	if !answer.Accepted {
		return writeConflict(c, answer)
	}
	return c.JSON(http.StatusOK, ConfigAnswer{Version: answer.Version, Author: answer.Author})
}

func (o *OperatorHandlers) changeConfig(c echo.Context, change ConfigChange) (command.AnswerConfigChange, error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), OperatorCallTimeout)
	defer cancel()
	id := o.NewOpID()
	reply, err := o.Ask(ctx, id, event.ConfigChangeRequested{
		RequestID: id, ExpectedVersion: *change.ExpectedVersion,
		Author: author(principal(c), change.Author), Body: change.Config,
	})
	if err != nil {
		return command.AnswerConfigChange{}, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonDeadline, "change configuration")
	}
	answer, ok := reply.(command.AnswerConfigChange)
	if !ok {
		return answer, verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "unexpected answer %s from the control loop", reply.Name())
	}
	if answer.Failure != nil {
		return answer, answer.Failure.Err()
	}
	return answer, nil
}

// author returns the recorded author of a change: the authenticated principal,
// followed in parentheses by the name given in the request if it differs.
func author(principal, given string) string {
	switch {
	case given == "" || given == principal:
		return principal
	case principal == "":
		return given
	default:
		return principal + " (" + given + ")"
	}
}

func writeConflict(c echo.Context, answer command.AnswerConfigChange) error {
	return c.JSON(http.StatusConflict, ConfigConflict{
		ErrorBody: ErrorBody{Error: ErrorDetail{
			Message: "another change was accepted first", Type: "lavenderstand_error",
			Reason: verdict.ReasonConflict, Verdict: verdict.NotRun,
		}},
		Current: CurrentConfig{Version: answer.Version, Author: answer.Author, Config: answer.Body},
	})
}
