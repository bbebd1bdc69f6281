package e2e

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/plan"
)

// inForceLimit bounds the time from the acceptance of a configuration until it is in
// force on every host.
const inForceLimit = 10 * time.Second

// configChange is a change of the configuration by an operator and the answer to it.
type configChange struct {
	expected uint64
	author   string
	reply    reply
	at       time.Time // time of the answer
}

// changeConfig replaces the configuration through the entry host with the given index.
// The change expects the version that is current.
func (d *deployment) changeConfig(entry int, expected uint64, author string, config plan.Config) configChange {
	body, _ := json.Marshal(map[string]any{"expected_version": expected, "author": author, "config": config})
	r := d.call(entry, "operator", http.MethodPut, "/v1/config", string(body))
	return configChange{expected: expected, author: author, reply: r, at: time.Now()}
}

func (c configChange) accepted() bool { return c.reply.err == nil && c.reply.status == http.StatusOK }

// versionOn returns the configuration version in force on an entry host, or 0 if the
// host does not answer.
func (d *deployment) versionOn(entry int) uint64 {
	var body struct{ Version uint64 }
	r := d.call(entry, "operator", http.MethodGet, "/v1/config", "")
	if r.err == nil && r.status == http.StatusOK {
		_ = json.Unmarshal([]byte(r.body), &body)
	}
	return body.Version
}

// waitPeersKnown waits until every entry host lists all other entry hosts.
func (d *deployment) waitPeersKnown() {
	d.t.Helper()
	for entry := range d.plan.Entries {
		d.eventually(20*time.Second, func() reply { return d.call(entry, "operator", http.MethodGet, "/v1/hosts", "") },
			func(r reply) bool { return strings.Count(r.body, `"role":"entry"`) >= len(d.plan.Entries)-1 })
	}
}

// history returns the author of each configuration version from the history in the
// table service.
func (d *deployment) history() map[uint64]string {
	d.t.Helper()
	var records []struct {
		Version uint64
		Author  string
	}
	r := d.call(0, "operator", http.MethodGet, "/v1/config/history", "")
	require.NoError(d.t, json.Unmarshal([]byte(r.body), &records), r.body)
	authors := make(map[uint64]string)
	for _, record := range records {
		require.NotContains(d.t, authors, record.Version)
		authors[record.Version] = record.Author
	}
	return authors
}

// withRoute returns the configuration of the plan with the idempotent route renamed.
func (d *deployment) withRoute(name string) plan.Config {
	config := d.plan.Config
	config.Routes = map[string]plan.RouteConfig{name: config.Routes["items"], "claims": config.Routes["claims"]}
	return config
}

// requireInForce waits until an accepted version is in force on the entry hosts.
func (d *deployment) requireInForce(version uint64, accepted time.Time, entries ...int) {
	d.t.Helper()
	for _, entry := range entries {
		for d.versionOn(entry) < version {
			require.Less(d.t, time.Since(accepted), inForceLimit, "%s does not have configuration version %d in force in time", entryName(entry), version)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// verifyChanges compares the answers to changes with the history: an accepted change
// is in it under the next version, a change that lost or did not run is not.
func (d *deployment) verifyChanges(changes []configChange) {
	d.t.Helper()
	history := d.history()
	byAuthor := make(map[string]uint64)
	for version, author := range history {
		// The stored author is "operator (NAME)": the principal and the name of the change.
		name := strings.TrimSuffix(strings.TrimPrefix(author, "operator ("), ")")
		byAuthor[name] = version
	}
	for _, c := range changes {
		_, verdict := c.reply.reasonAndVerdict()
		switch {
		case c.accepted():
			require.Equal(d.t, c.expected+1, byAuthor[c.author], "version of the accepted change of %s", c.author)
		case c.reply.status == http.StatusConflict:
			var body struct {
				Winner struct {
					Version uint64
					Author  string
				}
			}
			require.NoError(d.t, json.Unmarshal([]byte(c.reply.body), &body))
			require.Greater(d.t, body.Winner.Version, c.expected, c.reply.body)
			require.Equal(d.t, history[body.Winner.Version], body.Winner.Author)
			require.Zero(d.t, byAuthor[c.author], "the change of %s was answered as lost but is in the history", c.author)
		case verdict == notRun:
			require.Zero(d.t, byAuthor[c.author], "the change of %s was refused as not run but is in the history", c.author)
		}
	}
}
