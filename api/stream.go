package api

import (
	"encoding/json"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/traffic"
)

// answerWriter writes the answer to one completion.
type answerWriter struct {
	c       echo.Context
	form    shape
	model   string
	id      string
	created int64
	started bool // the stream's header was sent
}

func (w *answerWriter) answer(object string, first choice, done *traffic.CompletionResult) completionAnswer {
	a := completionAnswer{ID: w.id, Object: object, Created: w.created, Model: w.model}
	if done != nil {
		first.FinishReason = &done.FinishReason
		a.Usage = &usage{CompletionTokens: done.Tokens}
		a.Lavender = &lavenderInfo{RequestID: w.id, Ranges: done.Ranges}
	}
	a.Choices = []choice{first}
	return a
}

// part sends a piece of a streamed answer.
func (w *answerWriter) part(p traffic.Part) error {
	return w.event(w.answer(w.form.streamObject, w.form.part(p.Text), nil))
}

// end sends the last events. After the stream has begun, an error is an event
// and the stream ends without [DONE], so that it cannot be taken for complete.
func (w *answerWriter) end(done traffic.CompletionResult, err error) error {
	switch {
	case err != nil && !w.started:
		return writeError(w.c, err)
	case err != nil:
		w.c.Set(keyError, err)
		return w.event(errorBody(w.id, err))
	}
	if err := w.event(w.answer(w.form.streamObject, w.form.part(""), &done)); err != nil {
		return err
	}
	return w.write([]byte("[DONE]"))
}

func (w *answerWriter) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return w.write(data)
}

func (w *answerWriter) write(data []byte) error {
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
