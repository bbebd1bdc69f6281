package rollout

import (
	"strconv"

	"github.com/lavenderstand/lavenderstand/accesskey"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/table"
)

// applyOrganisations puts the organisations of a new desired state into force and returns the
// state with the organisations in force. If those of the new state are invalid, the last valid
// ones stay in force. If there are none, the keys at fault belong to no organisation:
// accepting calls without a key would pass the keys that callers already send to servers.
func applyOrganisations(r *table.Rollout, s *desired.State, out *command.Outbox) *desired.State {
	keys, err := accesskey.New(s.Organisations)
	if err == nil {
		r.Organisations = table.Organisations{Keys: keys}
		if keys != nil {
			r.Organisations.ValidVersion = s.Version
		}
		return s
	}
	kept := r.Organisations.ValidVersion
	out.Add(command.Count{Counter: "organisations_invalid", Delta: 1})
	out.Add(command.LogChange{Message: "organisations of the desired state are invalid", Fields: []command.Field{
		field("version", strconv.FormatUint(s.Version, 10)), field("error", err.Error()), field("version_in_force", strconv.FormatUint(kept, 10)),
	}})
	if kept == 0 {
		r.Organisations.Keys = keys
		return s
	}
	inForce := *s
	inForce.Organisations = r.Desired.Organisations
	return &inForce
}
