package api

import (
	"encoding/json"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/traffic"
)

// completionWriter writes the response to one completion request.
type completionWriter struct {
	c       echo.Context
	format  completionFormat
	model   string
	id      string
	created int64
	started bool // the header of the stream has been sent
}

func (w *completionWriter) response(object string, first choice, done *traffic.CompletionResult) completionResponse {
	a := completionResponse{ID: w.id, Object: object, Created: w.created, Model: w.model}
	if done != nil {
		first.FinishReason = &done.FinishReason
		a.Usage = &usage{CompletionTokens: done.Tokens}
		a.Lavender = &lavenderInfo{RequestID: w.id, Ranges: done.Ranges}
	}
	a.Choices = []choice{first}
	return a
}

// writePart sends a part of a streamed response.
func (w *completionWriter) writePart(p traffic.Part) error {
	return w.writeEvent(w.response(w.format.streamObject, w.format.streamChoice(p.Text), nil))
}

// finish sends the last events of the stream. If the stream has begun, an error is
// sent as an event and the stream ends without [DONE], so that a client cannot take
// it for complete.
func (w *completionWriter) finish(done traffic.CompletionResult, err error) error {
	switch {
	case err != nil && !w.started:
		return writeError(w.c, err)
	case err != nil:
		w.c.Set(errorKey, err)
		return w.writeEvent(errorBody(w.id, err))
	}
	if err := w.writeEvent(w.response(w.format.streamObject, w.format.streamChoice(""), &done)); err != nil {
		return err
	}
	return w.writeData([]byte("[DONE]"))
}

func (w *completionWriter) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return w.writeData(data)
}

func (w *completionWriter) writeData(data []byte) error {
	response := w.c.Response()
	if !w.started {
		w.started = true
		response.Header().Set(echo.HeaderContentType, "text/event-stream")
		response.Header().Set(echo.HeaderCacheControl, "no-store")
	}
	if _, err := response.Write([]byte("data: " + string(data) + "\n\n")); err != nil {
		return err
	}
	response.Flush()
	return nil
}
