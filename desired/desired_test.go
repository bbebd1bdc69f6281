package desired_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/desired"
)

// TestHeaderLimit guards against the rejection of a valid request whose header is exactly at
// the limit.
func TestHeaderLimit(t *testing.T) {
	header := map[string][]string{"A": {strings.Repeat("x", 99)}}
	require.True(t, desired.Limits{HeaderBytes: 100}.HeaderFits(header))
	require.False(t, desired.Limits{HeaderBytes: 99}.HeaderFits(header))
	require.True(t, desired.Limits{}.HeaderFits(header), "no limit is set")
}
