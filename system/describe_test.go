package system_test

import (
	"fmt"
	"strings"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
)

// describeEvent returns the line for an event in the log of a session. It returns
// an empty string for uninteresting events such as successful reads and lease
// renewals.
func describeEvent(e event.Event) string {
	switch e := e.(type) {
	case event.LeaseWritten:
		if e.Committed {
			return ""
		}
		return "lease not written" + failure(e.Failure)
	case event.RowsCommitted:
		return fmt.Sprintf("write %d committed=%t%s", e.ID, e.Committed, failure(e.Failure))
	case event.TrainerLoaded:
		return fmt.Sprintf("loaded groups=%d samples=%d batches=%d record=%+v%s", len(e.Groups), len(e.Samples), len(e.Batches), e.Trainer.Record, failure(e.Failure))
	case event.SampleGenerated:
		return fmt.Sprintf("sample %s/%d attempt=%d version=%d%s", e.Record.Group, e.Record.Index, e.Record.Attempt, e.Record.Ranges[0].Version, failure(e.Failure))
	case event.PullRequested:
		return fmt.Sprintf("pull %s step=%d version=%d", e.RequestID, e.Step, e.Version)
	case event.ConfirmRequested:
		return fmt.Sprintf("confirm %s step=%d attempt=%d", e.RequestID, e.Step, e.Attempt)
	case event.VersionDeclared:
		return fmt.Sprintf("declare %s version=%d", e.RequestID, e.Version)
	case event.GroupsSubmitted:
		return fmt.Sprintf("submit %s groups=%d", e.RequestID, len(e.Groups))
	case event.OrderAnswered:
		return "order answered by " + e.Backend + failure(e.Failure)
	}
	return ""
}

func failure(f *event.Failure) string {
	if f == nil {
		return ""
	}
	return fmt.Sprintf(" failure=%s/%s", f.Verdict, f.Reason)
}

func describeCommand(c command.Command) string {
	switch c := c.(type) {
	case command.CommitRows:
		return fmt.Sprintf("write %d:%s", c.ID, describeRows(c.Rows))
	case command.LoadTrainer:
		return "load " + c.Trainer
	case command.GenerateSample:
		return fmt.Sprintf("generate %s/%d attempt=%d on %s urgent=%t hedge=%t", c.Spec.ID, c.Index, c.Attempt, c.EntryID, c.Urgent, c.Hedge)
	case command.AnswerPull:
		if c.Failure != nil {
			return "answer pull " + c.RequestID + failure(c.Failure)
		}
		return fmt.Sprintf("answer pull %s batch=%s checked=%d groups=%v", c.RequestID, c.Batch.ID(), c.Batch.CheckedVersion, c.Batch.Groups)
	case command.AnswerConfirm:
		return fmt.Sprintf("answer confirm %s checked=%d%s", c.RequestID, c.CheckedVersion, failure(c.Failure))
	case command.AnswerSubmit:
		return fmt.Sprintf("answer submit %s accepted=%v%s", c.RequestID, c.Accepted, failure(c.Failure))
	case command.AnswerVersion:
		return fmt.Sprintf("answer version %s version=%d%s", c.RequestID, c.Version, failure(c.Failure))
	case command.OrderWeights:
		return fmt.Sprintf("order %s fence=%d preload=%d active=%d", c.Backend, c.Wanted.Fence, c.Wanted.Preload, c.Wanted.Active)
	case command.Count:
		return "count " + c.Counter + " " + c.Tags["reason"]
	case command.LogChange:
		line := "log " + c.Message
		for _, f := range c.Fields {
			line += " " + f.Key + "=" + f.Value
		}
		return line
	case command.DeleteObjects:
		return fmt.Sprintf("delete objects %d", len(c.Keys))
	}
	return ""
}

func describeRows(rows []command.RowWrite) string {
	var b strings.Builder
	for _, r := range rows {
		condition := fmt.Sprintf("@%d", r.IfVersion)
		if r.AnyVersion {
			condition = ""
		}
		if r.Delete {
			b.WriteString(" -")
		} else {
			b.WriteString(" ")
		}
		b.WriteString(r.Key + condition)
	}
	return b.String()
}

func answerID(c command.Command) (string, bool) {
	switch c := c.(type) {
	case command.AnswerPull:
		return c.RequestID, true
	case command.AnswerConfirm:
		return c.RequestID, true
	case command.AnswerSubmit:
		return c.RequestID, true
	case command.AnswerVersion:
		return c.RequestID, true
	}
	return "", false
}
