package e2e

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/standin"
)

// TestServiceCallPassesThroughEntry guards against a fault anywhere on the path of a
// call: host list, configuration, control loop, plan, traffic and backend server.
func TestServiceCallPassesThroughEntry(t *testing.T) {
	d := deploy(t, 1)
	want := standin.ServiceAnswer(http.MethodGet, "/oak", nil)
	for entry := range d.plan.Entries {
		d.eventually(10*time.Second, func() reply {
			return d.call(entry, "app", http.MethodGet, "/services/items/oak", "")
		}, func(r reply) bool { return r.status == http.StatusOK && r.body == want })
	}
}

// TestWholeSystemServes guards against work that is lost, done twice, mislabelled or
// late when all parts of the system run together without faults.
func TestWholeSystemServes(t *testing.T) {
	d := deploy(t, 2)
	d.runLoad(4*time.Second, func() {})
	for name := range d.commands {
		if strings.HasPrefix(name, "entry") || strings.HasPrefix(name, "controller") {
			d.stop(name, 30*time.Second)
		}
	}
	require.NotEmpty(t, d.processes)
}
