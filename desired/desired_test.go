package desired_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/desired"
)

// TestHeaderLimit guards against a proper request that is refused at the limit.
func TestHeaderLimit(t *testing.T) {
	header := map[string][]string{"A": {strings.Repeat("x", 99)}}
	require.True(t, desired.Limits{HeaderBytes: 100}.HeaderFits(header))
	require.False(t, desired.Limits{HeaderBytes: 99}.HeaderFits(header))
	require.True(t, desired.Limits{}.HeaderFits(header), "no limit is known yet")
}
