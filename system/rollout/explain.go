package rollout

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/status"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Explain answers operators' questions about what items wait for. It runs after the systems
// that decide, so that an item that could start in this tick is shown as running.
func Explain(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	for _, e := range in {
		req, ok := e.(event.ExplainRequested)
		if !ok {
			continue
		}
		answer := command.AnswerExplain{RequestID: req.RequestID}
		v, err := explainLot(now, t, req.Lot, req.Item)
		if err != nil {
			answer.Failure = event.FailureOf(err)
		} else {
			answer.Explanation = v
		}
		out.Add(answer)
	}
}

func explainLot(now time.Duration, t *table.Tables, id, item string) (*status.LotExplanation, error) {
	r := &t.Rollout
	if r.Desired == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNotReady, "this host has not received a desired state yet")
	}
	if id == "" {
		id = newestLotWith(r, item)
	}
	l := r.Lots.Find(id)
	switch {
	case l == nil && item != "" && id == "":
		return nil, verdict.New(verdict.NotRun, verdict.ReasonUnknownLot, "no lot that this host runs has the item %q", item)
	case l == nil:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonUnknownLot, "lot %q is not known to this host", id)
	}
	v := &status.LotExplanation{
		ID: id, Model: l.Head.Model, Owner: l.Head.Owner.Host, Stage: string(l.Stage), Ended: l.Head.Ended,
		Listed: l.Head.Listed, Total: l.Head.Total, Blocked: blocked(r, l), Items: []status.ItemExplanation{},
	}
	if l.Submission == nil {
		if item != "" {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonUnknownLot, "only the owner of lot %q, host %q, knows its items", id, l.Head.Owner.Host)
		}
		return v, nil
	}
	due := status.Millis(lotDue(l, r.Desired.Match(l.Submission.Host, l.Submission.Path)) - now)
	v.DueMS = &due
	if err := explainItems(now, t, l, item, v); err != nil {
		return nil, err
	}
	return v, nil
}

// newestLotWith returns the newest lot of this host with an item, empty if there is none.
func newestLotWith(r *table.Rollout, item string) string {
	newest, newestVersion := "", uint64(0)
	for id, l := range r.Lots.All() {
		if l.Submission == nil || !hasItem(l, item) {
			continue
		}
		if v := l.Head.CreationVersion(l.Version); newest == "" || v > newestVersion {
			newest, newestVersion = id, v
		}
	}
	return newest
}

func hasItem(l *table.Lot, item string) bool {
	for i := range l.Submission.Items {
		if l.Submission.Items[i].ID == item {
			return true
		}
	}
	return false
}

// explainItems adds the given item, or all that wait up to a limit.
func explainItems(now time.Duration, t *table.Tables, l *table.Lot, only string, v *status.LotExplanation) error {
	r := &t.Rollout
	var discarded command.Outbox // the wake-up times are known to Dispatch
	ahead := make(map[string]int)
	for i, w := range waitingItems(now, t, &discarded) {
		ahead[w.key] = i
	}
	var keys []string
	for _, key := range itemKeys(l) {
		item := r.Items.Find(key)
		if item == nil {
			continue
		}
		countStage(item, v)
		if item.Spec.ID == only || (only == "" && item.Stage == table.ItemWaiting) {
			keys = append(keys, key)
		}
	}
	if only != "" && len(keys) == 0 {
		return explainFinished(l, only, v)
	}
	slices.SortStableFunc(keys, func(a, b string) int { return cmp.Compare(position(ahead, a), position(ahead, b)) })
	for _, key := range keys[:min(len(keys), status.MaxExplainedItems)] {
		e := explainItem(now, r, l, key)
		e.Ahead = ahead[key]
		v.Items = append(v.Items, e)
	}
	return nil
}

// position returns the position of an item in the order of dispatch, after all others if it is
// not ready to run.
func position(ahead map[string]int, key string) int {
	if i, ok := ahead[key]; ok {
		return i
	}
	return len(ahead)
}

func countStage(item *table.Item, v *status.LotExplanation) {
	switch item.Stage {
	case table.ItemWaiting:
		v.Waiting++
	case table.ItemRunning:
		v.Running++
	case table.ItemScoring:
		v.Scoring++
	}
}

func explainFinished(l *table.Lot, id string, v *status.LotExplanation) error {
	if !hasItem(l, id) {
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownLot, "lot %q has no item %q", l.Head.ID, id)
	}
	e := status.ItemExplanation{ID: id, Stage: string(table.ItemDone), Basis: "its result is listed or waits for a write"}
	v.Items = append(v.Items, e)
	return nil
}

// explainItem explains an item of a lot that this host runs.
func explainItem(now time.Duration, r *table.Rollout, l *table.Lot, key string) status.ItemExplanation {
	item := r.Items.Find(key)
	e := status.ItemExplanation{
		ID: item.Spec.ID, Stage: string(item.Stage), Events: len(item.Events), NotBeforeMS: max(0, status.Millis(item.NotBefore-now)),
	}
	route := r.Desired.Match(l.Submission.Host, item.Spec.Path)
	if route == nil {
		e.Basis = "no route for the path of the item"
		return e
	}
	w := newWaitingItem(now, r, key, item, l, route)
	e.Spare, e.RemainingMS = w.spare, status.Millis(time.Duration(w.remaining*float64(medianInterval(r, w.pool.service))))
	switch item.Stage {
	case table.ItemRunning:
		e.Server, e.Run, e.Basis = item.Server, item.Run, "runs"
		if item.Stopping {
			e.Basis = "its run has been told to stop"
		}
		return e
	case table.ItemScoring:
		e.Basis = "waits for its score"
		return e
	}
	chosen, servers := explainChoice(now, r, w, &e)
	e.Servers = servers
	switch {
	case blocked(r, l) != "":
		e.Basis = blocked(r, l)
	case now < item.NotBefore:
		e.Basis = "pauses after a failed run"
	case chosen != nil:
		e.Server = chosen.ID
	}
	return e
}

// explainChoice returns the server that choose returns for an item, and all servers of its
// service: that server, then those with room by expected completion, then those left out. Of
// the servers with room, those that complete earlier than the chosen one cannot continue the
// output or do not have the reserved slot.
func explainChoice(now time.Duration, r *table.Rollout, w waitingItem, e *status.ItemExplanation) (*table.Server, []status.ItemServer) {
	chosen, why := make(pools).decide(now, r, w)
	eligible := eligibleServers(r, w.pool)
	if why == basisNoRoom && len(eligible) == 0 {
		why = basisNoServer
	}
	e.Basis = string(why)
	var servers []status.ItemServer
	for _, s := range r.Servers.All() {
		if s.Service != w.pool.service {
			continue
		}
		servers = append(servers, status.ItemServer{
			ID: s.ID, LeftOut: leftOut(now, w.pool, s, slices.Contains(eligible, s), s == chosen),
			CompletionMS: float64(completionTime(r, w, s).Microseconds()) / 1000, Room: max(0, serverRoom(now, s)), Running: s.Running,
			Slots: s.Slots, Version: int(s.Models[w.pool.model]), Software: string(s.Software), Zone: s.Zone,
			RefusedForMS: float64(max(0, s.BusyUntil-now).Microseconds()) / 1000, Suspect: s.SuspectUntil != 0, Missing: s.MissingSince != 0,
		})
	}
	rank := func(s status.ItemServer) int {
		switch {
		case chosen != nil && s.ID == chosen.ID:
			return 0
		case s.LeftOut == "":
			return 1
		default:
			return 2
		}
	}
	slices.SortFunc(servers, func(a, b status.ItemServer) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.CompletionMS, b.CompletionMS), strings.Compare(a.ID, b.ID))
	})
	return chosen, servers
}

// leftOut returns why a server is not considered for the items of a pool, empty if it is.
func leftOut(now time.Duration, key poolKey, s *table.Server, eligible, chosen bool) string {
	reason := unfit(s, key)
	switch {
	case chosen:
		return ""
	case reason != "":
		return reason
	case !eligible && s.SuspectUntil != 0:
		return "suspect"
	case !eligible:
		return "other model: the engine is assigned to " + s.PreferredModel
	}
	return roomReason(now, s)
}
