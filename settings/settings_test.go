package settings_test

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/settings"
)

// wantErrors lists the errors that must be reported for each invalid file.
var wantErrors = map[string][]string{
	"unknown_key":   {"2: timing.config_poll_ms: unknown key", "4: listen.https: unknown key"},
	"wrong_type":    {"2: timing.lease_seconds: "},
	"ranges":        {"2: limits.burst: 0 is below the minimum of 1", "3: limits.requests_per_second: 0 is not above 0", "6: timing.config_poll_seconds: 2000 is above the maximum of 10", `8: log.level: "verbose" is not one of`},
	"addresses":     {"2: listen.http: ", "3: listen.grpc: ", "5: platform.tables: ", "6: platform.objects: "},
	"combinations":  {"3: listen.grpc: is the same", "4: timing.config_confirm_seconds: 8 and", "4: timing.drain_delay_seconds: 5 is not below", "5: timing.contact_after_seconds: 9 is not below config_confirm_seconds 8", "7: timing.lease_seconds: 5 is shorter", "8: timing.order_seconds: 6 is longer"},
	"short_confirm": {"2: timing.config_confirm_seconds: 1.5 is below config_poll_seconds 2 + 5", "3: timing.contact_after_seconds: 1 is not above"},
	"secrets":       {"2: platform.token_file: ", "4: identity.process_token_file: "},
	"incomplete":    {"1: host.zone: is missing", " listen.http: is missing", " platform.tables: is missing", " identity.principals_file: is missing"},
}

// TestBadSettingsReportLineAndKey guards against a start with invalid settings and against
// errors that do not tell the operator the line and the key.
func TestBadSettingsReportLineAndKey(t *testing.T) {
	files, err := filepath.Glob("testdata/*.bad.toml")
	require.NoError(t, err)
	require.Len(t, files, len(wantErrors))
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".bad.toml")
		t.Run(name, func(t *testing.T) {
			_, err := settings.LoadComplete(file)
			var settingsErr *settings.Error
			require.True(t, errors.As(err, &settingsErr), "%v", err)
			for _, want := range wantErrors[name] {
				require.ErrorContains(t, err, file+":"+want)
			}
		})
	}
}

// TestGoodSettingsLoad guards against checks that reject valid settings.
func TestGoodSettingsLoad(t *testing.T) {
	_, err := settings.Load("testdata/minimal.good.toml")
	require.NoError(t, err)
	p, err := settings.LoadComplete("testdata/complete.good.toml")
	require.NoError(t, err)
	require.Equal(t, filepath.Join("testdata", "token"), p.Identity.ProcessTokenFile)
	require.Equal(t, 600.0, p.Timing.DrainLimitSeconds)
}

// TestExamplesLoad guards against examples that the program rejects. The secret files that
// the examples name belong to a deployment and do not exist here.
func TestExamplesLoad(t *testing.T) {
	for _, name := range []string{"pamoja", "cymru"} {
		_, err := settings.LoadComplete("../deploy/examples/" + name + "-entry.toml")
		for _, line := range strings.Split(err.Error(), "\n") {
			require.Contains(t, line, "is empty or cannot be read")
		}
		require.Equal(t, 4, strings.Count(err.Error(), "cannot be read"))
	}
}
