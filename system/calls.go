package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// maxWaitingCalls is the maximum number of trainers' calls that wait at one
// controller.
const maxWaitingCalls = 4096

// admitCall queues a trainer's call. It refuses the call immediately if this
// process does not hold the trainer's partition or too many calls are waiting.
func admitCall(now time.Duration, t *table.Tables, partitions int, e event.Event, out *command.Outbox) {
	var c table.Call
	switch e := e.(type) {
	case event.GroupsSubmitted:
		c = table.Call{ID: e.RequestID, Kind: table.CallSubmit, Trainer: e.Trainer, Specs: e.Groups}
	case event.VersionDeclared:
		c = table.Call{ID: e.RequestID, Kind: table.CallDeclare, Trainer: e.Trainer, Version: e.Version}
	case event.PullRequested:
		c = table.Call{
			ID: e.RequestID, Kind: table.CallPull, Trainer: e.Trainer, Step: e.Step,
			Version: e.Version, Groups: e.Groups, Until: now + e.Wait,
		}
	case event.ConfirmRequested:
		c = table.Call{ID: e.RequestID, Kind: table.CallConfirm, Trainer: e.Trainer, Step: e.Step, Attempt: e.Attempt}
	case event.GroupsRequested:
		answerGroups(now, t, partitions, e, out)
		return
	case event.RequestAbandoned:
		t.Calls.Delete(e.RequestID)
		return
	default:
		return
	}
	switch {
	case !addTrainer(t, c.Trainer, partitions):
		answerFailure(&c, refuse(verdict.ReasonNotHolder, "the partition of trainer "+c.Trainer+" is not held here"), out)
	case t.Calls.Len() >= maxWaitingCalls:
		answerFailure(&c, refuse(verdict.ReasonOverload, "too many calls are waiting"), out)
	default:
		row, _ := t.Calls.Upsert(c.ID)
		*row = c
	}
}

// refuseCalls refuses the waiting calls of trainers whose partition this process
// no longer holds. If a write for the call is in flight, it may still take
// effect, so the call is answered with MayHaveRun.
func refuseCalls(t *table.Tables, out *command.Outbox) {
	for id, c := range t.Calls.All() {
		if tr := t.Trainers.Find(c.Trainer); tr != nil {
			p := t.Partitions.Find(table.PartitionKey(tr.Partition))
			if p.Held && (c.Writing || !p.Releasing) {
				continue
			}
		}
		f := refuse(verdict.ReasonNotHolder, "the partition of trainer "+c.Trainer+" was handed over")
		if c.Writing {
			f.Verdict = verdict.MayHaveRun
		}
		answerFailure(c, f, out)
		t.Calls.Delete(id)
	}
}

func answerFailure(c *table.Call, f *event.Failure, out *command.Outbox) {
	countReason(out, "call_refused", string(f.Reason))
	switch c.Kind {
	case table.CallSubmit:
		out.Add(command.AnswerSubmit{RequestID: c.ID, Failure: f})
	case table.CallDeclare:
		out.Add(command.AnswerVersion{RequestID: c.ID, Failure: f})
	case table.CallPull:
		out.Add(command.AnswerPull{RequestID: c.ID, Failure: f})
	case table.CallConfirm:
		out.Add(command.AnswerConfirm{RequestID: c.ID, Failure: f})
	}
}

// finishCall answers a waiting call with a failure and removes it.
func finishCall(t *table.Tables, c *table.Call, f *event.Failure, out *command.Outbox) {
	answerFailure(c, f, out)
	t.Calls.Delete(c.ID)
}

func answerGroups(now time.Duration, t *table.Tables, partitions int, e event.GroupsRequested, out *command.Outbox) {
	if e.Trainer != "" && !addTrainer(t, e.Trainer, partitions) {
		out.Add(command.AnswerGroups{
			RequestID: e.RequestID,
			Failure:   refuse(verdict.ReasonNotHolder, "the partition of trainer "+e.Trainer+" is not held here"),
		})
		return
	}
	var groups []event.GroupStatus
	for _, g := range t.Groups.All() {
		if e.Trainer != "" && g.Trainer != e.Trainer {
			continue
		}
		groups = append(groups, event.GroupStatus{
			Trainer: g.Trainer, Group: g.Record.Spec.ID, Phase: g.Phase.String(), Finished: g.Finished,
			Samples: len(g.Samples), Attempt: g.Record.Attempt, Age: now - g.StartedAt,
		})
	}
	out.Add(command.AnswerGroups{RequestID: e.RequestID, Groups: groups})
}
