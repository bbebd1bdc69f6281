package rollout

import (
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
)

// Reasons for which an output is discarded.
const (
	discardSoftware = "software"  // no server of its software version could continue it in time
	discardWeights  = "weights"   // a single version of the weights is required
	discardTooLarge = "too_large" // it exceeds what can be stored
	discardRestart  = "restart"   // its server had restarted with another software version
)

// canContinue reports whether a server can continue the output of an item: there is none, or
// the server has the software version that began it.
func canContinue(item *table.Item, s *table.Server) bool {
	return len(item.Events) == 0 || canResumeAt(item.Software, s)
}

// canResumeAt reports whether a server can resume what a software version began.
func canResumeAt(began registry.Software, s *table.Server) bool {
	return began.Relation(s.Software) == registry.SoftwareSame
}

// isLastOfSoftware reports whether all servers of a server's software version leave.
func isLastOfSoftware(r *table.Rollout, s *table.Server) bool {
	for _, other := range r.Servers.All() {
		if other.Service == s.Service && !other.Leaving && canResumeAt(s.Software, other) {
			return false
		}
	}
	return true
}

// discardOutput makes an item begin anew.
func discardOutput(item *table.Item, reason string, out *command.Outbox) {
	if len(item.Events) > 0 {
		out.Add(command.Count{Counter: "outputs_discarded", Tags: map[string]string{"reason": reason}, Delta: 1})
	}
	item.Events, item.Versions, item.Software, item.StoredEvents, item.DiscardOutput = nil, nil, "", 0, false
}

// stopRunsOnOtherSoftware stops the runs that were started on a server as one of another
// software version. Their events may come from either version.
func stopRunsOnOtherSoftware(r *table.Rollout, s *table.Server, out *command.Outbox) {
	for key, item := range r.Items.All() {
		if item.Stage != table.ItemRunning || item.Server != s.ID || item.RunSoftware == s.Software {
			continue
		}
		item.Stopping, item.DiscardOutput = true, true
		out.Add(command.StopRun{Key: key, Run: item.Run})
	}
}

// countResumed counts a run that continues an output, by whether its server has the software
// version that began the output.
func countResumed(item *table.Item, out *command.Outbox) {
	if item.RunAfter == 0 {
		return
	}
	relation := item.Software.Relation(item.RunSoftware)
	out.Add(command.Count{Counter: "runs_resumed", Tags: map[string]string{"software": string(relation)}, Delta: 1})
}
