package api

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/traffic"
)

const (
	defaultMaxTokens = 256   // tokens per completion if the request sets no limit
	maxTokensLimit   = 32768 // largest limit that a request may set, in tokens
)

// completionRequest is the body of a text completion or chat completion request.
// Fields of the usual format of completion APIs that are not listed are ignored.
type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens *int          `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Choices   *int          `json:"n"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionResponse is a complete response or an event of a streamed response. An
// event of a streamed chat completion sets Delta in its choice.
type completionResponse struct {
	ID       string        `json:"id"`
	Object   string        `json:"object"`
	Created  int64         `json:"created"` // Unix time in seconds
	Model    string        `json:"model"`
	Choices  []choice      `json:"choices"`
	Usage    *usage        `json:"usage,omitempty"`
	Lavender *lavenderInfo `json:"lavender,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// lavenderInfo holds the id of the request and the weight versions that produced the
// tokens of the response.
type lavenderInfo struct {
	RequestID string         `json:"request_id"`
	Ranges    []ledger.Range `json:"ranges"`
}

// completionFormat describes what differs between the responses of text completions
// and chat completions.
type completionFormat struct {
	object, streamObject string
	choice, streamChoice func(text string) choice
}

var textFormat = completionFormat{
	object: "text_completion", streamObject: "text_completion",
	choice:       func(text string) choice { return choice{Text: &text} },
	streamChoice: func(text string) choice { return choice{Text: &text} },
}

var chatFormat = completionFormat{
	object: "chat.completion", streamObject: "chat.completion.chunk",
	choice:       func(text string) choice { return choice{Message: &chatMessage{Role: "assistant", Content: text}} },
	streamChoice: func(text string) choice { return choice{Delta: &chatDelta{Content: text}} },
}

func (s *CallerHandlers) completions(c echo.Context) error {
	return s.complete(c, textFormat, func(r *completionRequest) error {
		if r.Prompt == "" {
			return badRequest("prompt is missing")
		}
		return nil
	})
}

func (s *CallerHandlers) chat(c echo.Context) error {
	return s.complete(c, chatFormat, func(r *completionRequest) error {
		if len(r.Messages) == 0 {
			return badRequest("messages are missing")
		}
		r.Prompt = chatPrompt(r.Messages)
		return nil
	})
}

// chatPrompt returns a prompt with one line for each message, followed by the start
// of the assistant's line.
func chatPrompt(messages []chatMessage) string {
	var prompt strings.Builder
	for _, m := range messages {
		prompt.WriteString(m.Role + ": " + m.Content + "\n")
	}
	prompt.WriteString("assistant: ")
	return prompt.String()
}

func (s *CallerHandlers) complete(c echo.Context, format completionFormat, prepare func(*completionRequest) error) error {
	var r completionRequest
	if err := s.readJSON(c, &r); err != nil {
		return writeError(c, err)
	}
	if err := prepare(&r); err != nil {
		return writeError(c, err)
	}
	request, err := r.completion(c)
	if err != nil {
		return writeError(c, err)
	}
	ctx, cancel, err := s.withDeadline(c)
	if err != nil {
		return writeError(c, err)
	}
	defer cancel()
	w := &completionWriter{c: c, format: format, model: r.Model, id: request.ID, created: time.Now().Unix()}
	if r.Stream {
		done, err := s.Router.Complete(ctx, request, w.writePart)
		return w.finish(done, err)
	}
	done, err := s.Router.Complete(ctx, request, nil)
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, w.response(format.object, format.choice(done.Text), &done))
}

func (r *completionRequest) completion(c echo.Context) (traffic.CompletionRequest, error) {
	limit := defaultMaxTokens
	if r.MaxTokens != nil {
		limit = *r.MaxTokens
	}
	if r.Model == "" || limit < 1 || limit > maxTokensLimit {
		return traffic.CompletionRequest{}, badRequest("model is missing, or max_tokens is not in 1 to %d", maxTokensLimit)
	}
	if r.Choices != nil && *r.Choices != 1 {
		return traffic.CompletionRequest{}, badRequest("only one choice per request is supported")
	}
	var only int64
	if text := c.Request().Header.Get(headerOnlyVersion); text != "" {
		var err error
		if only, err = strconv.ParseInt(text, 10, 64); err != nil || only <= 0 {
			return traffic.CompletionRequest{}, badRequest("%s must be a positive number", headerOnlyVersion)
		}
	}
	return traffic.CompletionRequest{
		Origin: origin(c), Model: r.Model, Prompt: r.Prompt, MaxTokens: limit, OnlyVersion: ledger.Version(only)}, nil
}
