package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Batch is the body of the response that delivers a batch.
type Batch struct {
	BatchID        string         `json:"lot_id"`
	Step           int64          `json:"step"`
	Attempt        int            `json:"attempt"`
	CheckedVersion ledger.Version `json:"checked_version"`
	Samples        []BatchSample  `json:"samples"`
}

// BatchSample is a sample of a delivered batch. Staleness is relative to the checked
// version of the batch. AgeMS is the age of the sample. It is computed from the clocks
// of two hosts and is 0 if clock skew would make it negative.
type BatchSample struct {
	Group     string         `json:"group"`
	Index     int            `json:"index"`
	Text      string         `json:"text"`
	Ranges    []ledger.Range `json:"ranges"`
	Score     float64        `json:"score"`
	Staleness int64          `json:"staleness"`
	AgeMS     int64          `json:"age_ms"`
}

func batchBody(batch *ledger.BatchRecord, texts []string, now time.Time) *Batch {
	body := &Batch{BatchID: batch.ID(), Step: batch.Step, Attempt: batch.Attempt, CheckedVersion: batch.CheckedVersion}
	for i := range batch.Samples {
		s := &batch.Samples[i]
		body.Samples = append(body.Samples, BatchSample{
			Group: s.Group, Index: s.Index, Text: texts[i], Ranges: s.Ranges, Score: s.Score,
			Staleness: ledger.Staleness(s.Ranges, batch.CheckedVersion),
			AgeMS:     max(0, now.UnixMilli()-s.FinishedUnixMS),
		})
	}
	return body
}

func decodeJSON(c echo.Context, limit int64, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	err := decoder.Decode(into)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonBodyTooLarge, "read request body")
	}
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "read request body")
	}
	return nil
}

// checkName rejects names that cannot be used as one segment of a row key.
func checkName(what, name string) error {
	if name == "" || len(name) > maxNameBytes || strings.ContainsAny(name, "/\x00") {
		return badRequest("%s must have 1 to %d bytes without a slash or NUL byte", what, maxNameBytes)
	}
	return nil
}

func checkGroups(groups []ledger.GroupSpec) error {
	if len(groups) == 0 || len(groups) > maxGroupsPerCall {
		return badRequest("number of groups must be 1 to %d", maxGroupsPerCall)
	}
	samples := 0
	for i := range groups {
		if err := checkGroup(&groups[i]); err != nil {
			return err
		}
		samples += groups[i].Samples
	}
	if samples > maxSamplesPerCall {
		return badRequest("total number of samples must be at most %d", maxSamplesPerCall)
	}
	return nil
}

func checkGroup(g *ledger.GroupSpec) error {
	switch err := checkName("group id", g.ID); {
	case err != nil:
		return err
	case g.Model == "" || len(g.Model) > maxNameBytes || len(g.Scorer) > maxNameBytes:
		return badRequest("group %s: model is missing or too long, or scorer is too long", g.ID)
	case g.Samples < 1 || g.Samples > maxSamplesPerGroup:
		return badRequest("group %s: samples must be 1 to %d", g.ID, maxSamplesPerGroup)
	case g.MaxTokens < 1 || g.MaxTokens > maxTokensPerSample:
		return badRequest("group %s: max_tokens must be 1 to %d", g.ID, maxTokensPerSample)
	case g.StalenessBound < 0:
		return badRequest("group %s: staleness_bound must not be negative", g.ID)
	}
	return nil
}

func checkPull(r pullRequest) error {
	switch {
	case r.Step < 1:
		return badRequest("step must be positive")
	case r.Version < 1:
		return badRequest("version must be positive")
	case r.Groups < 1 || r.Groups > maxGroupsPerCall:
		return badRequest("groups must be 1 to %d", maxGroupsPerCall)
	case r.WaitMS < 0 || r.WaitMS > maxPullWait.Milliseconds():
		return badRequest("wait_ms must be 0 to %s", fmt.Sprint(maxPullWait.Milliseconds()))
	}
	return nil
}
