package bench

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSameSeedSameResult guards against results that depend on the iteration order
// of maps or on the real clock.
func TestSameSeedSameResult(t *testing.T) {
	d := Pamoja()
	s := Setup{Deployment: d, Load: "off_peak", Policy: Policies(d)[0], Fault: "crash", Seed: 7, WarmUp: time.Minute, Measure: 90 * time.Second}
	var encoded [2][]byte
	for i := range encoded {
		var err error
		encoded[i], err = json.Marshal(Run(s))
		require.NoError(t, err)
	}
	require.Equal(t, string(encoded[0]), string(encoded[1]))
}
