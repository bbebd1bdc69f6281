package handler

import (
	"context"
	"encoding/json"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/configstore"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// readConfig reads the configuration row without retries. The read is repeated
// periodically, and a failed read must be reported immediately, because the age
// of the last read decides whether this process may serve.
func (p *PlatformDeps) readConfig(ctx context.Context, c command.ReadConfig) event.Event {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	row, found, err := p.Tables.Get(ctx, configstore.CurrentKey)
	if err != nil || !found {
		return event.ConfigRead{Failure: event.FailureOf(err)}
	}
	record, err := configstore.Decode(row.Value)
	if err != nil {
		return event.ConfigRead{Failure: p.malformedConfig(err)}
	}
	body, err := decodeConfig(record.Body)
	if err != nil {
		return event.ConfigRead{Failure: p.malformedConfig(err)}
	}
	return event.ConfigRead{Version: record.Version, Body: body}
}

func (p *PlatformDeps) malformedConfig(err error) *event.Failure {
	p.count(CounterMalformedRows, map[string]string{"kind": "config"})
	return event.FailureOf(verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadAnswer, "read configuration"))
}

func decodeConfig(raw json.RawMessage) (body plan.Config, err error) {
	err = json.Unmarshal(raw, &body)
	return body, err
}

// commitConfig commits a configuration change. It takes no longer than the
// command's deadline and writeTimeout allow.
func (p *PlatformDeps) commitConfig(ctx context.Context, c command.CommitConfig) event.Event {
	limit := writeTimeout
	if c.Deadline > 0 {
		limit = min(limit, c.Deadline-p.Clock())
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer := event.ConfigCommitted{RequestID: c.RequestID}
	raw, err := json.Marshal(c.Body)
	if err != nil {
		answer.Failure = event.FailureOf(verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "encode configuration"))
		return answer
	}
	result, err := p.configStore(c.Name()).Commit(ctx, c.ExpectedVersion, c.Author, raw)
	switch {
	case err != nil:
		answer.Failure = event.FailureOf(err)
	case result.Committed:
		answer.Committed, answer.Version = true, result.Version
		answer.Author, answer.Body = c.Author, c.Body
	default:
		answer.Version, answer.Author = result.Winner.Version, result.Winner.Author
		if result.Winner.Version > 0 {
			if answer.Body, err = decodeConfig(result.Winner.Body); err != nil {
				answer.Failure = p.malformedConfig(err)
			}
		}
	}
	return answer
}
