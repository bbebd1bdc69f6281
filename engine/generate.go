package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// Generate runs a request and passes each chunk to fn in order of arrival. It
// returns nil if the stream ended normally and a final chunk was received,
// otherwise an error; chunks passed to fn before the error remain valid. The
// caller must check for gaps and reordering, because chunks may arrive late. An
// error of fn ends the stream and is returned unchanged.
func (c *Client) Generate(ctx context.Context, address string, r GenerateRequest, fn func(Chunk) error) error {
	body, err := json.Marshal(r)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "encode request")
	}
	resp, err := c.send(ctx, http.MethodPost, address, "/v1/generate", body)
	if err != nil {
		return err
	}
	// Closing a body that has not been read to its end closes the connection.
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		answer, err := readAnswer(resp.Body, MaxAnswerBytes)
		if err != nil {
			return err
		}
		return statusError(resp.StatusCode, answer)
	}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "answer is not an event stream")
	}
	return readChunks(resp.Body, r.RequestID, fn)
}

// readChunks decodes the chunks of a stream and passes them to fn.
func readChunks(r io.Reader, requestID string, fn func(Chunk) error) error {
	events := NewEventReader(r, MaxEventBytes)
	done := false
	for {
		data, err := events.Next()
		if errors.Is(err, io.EOF) && done {
			return nil
		}
		if err != nil {
			return streamError(err)
		}
		chunk, err := decodeChunk(data, requestID)
		if err != nil {
			return err
		}
		done = done || chunk.Done
		if err := fn(chunk); err != nil {
			return err
		}
	}
}

// streamError adds a verdict to an error of an EventReader.
func streamError(err error) error {
	if errors.Is(err, ErrEventTooLarge) {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonBadAnswer, "read stream")
	}
	return verdict.Wrap(err, verdict.MayHaveRun, contextReason(err, verdict.ReasonTruncatedAnswer), "read stream")
}

func decodeChunk(data []byte, requestID string) (Chunk, error) {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return chunk, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonBadAnswer, "decode chunk")
	}
	if chunk.RequestID != requestID {
		return chunk, verdict.New(verdict.MayHaveRun, verdict.ReasonForeignAnswer, "chunk belongs to another request")
	}
	if chunk.Offset < 0 {
		return chunk, verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "chunk has negative offset %d", chunk.Offset)
	}
	return chunk, nil
}
