package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/lavenderstand/lavenderstand/platform"
	"github.com/lavenderstand/lavenderstand/status"
	"github.com/lavenderstand/lavenderstand/transport"
)

// hostViewTimeout bounds the wait for the answer of a host's control loop.
const hostViewTimeout = 5 * time.Second

// hostViewCommand returns the command that shows the state of a lavender-host process.
func hostViewCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "host-view ADDRESS", Short: "Show the state of a lavender-host process: feeds, order lease, servers, lots",
		Long:    "ADDRESS is the address of the process's metrics: its IP address and the last of its internal ports.",
		Example: "  lavenderctl host-view 10.1.0.38:7395", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			v, err := readHostView(args[0])
			if err != nil {
				return failf(exitUnknown, "%w", err)
			}
			if o.output == outputJSON {
				return outputError(json.NewEncoder(o.out).Encode(v))
			}
			return outputError(printHostView(o.out, v))
		},
	}
}

// newHostClient returns a client of the internal address of a host.
func newHostClient() *http.Client {
	client := transport.NewClient()
	client.Timeout = hostViewTimeout
	return client
}

func readHostView(address string) (v status.HostView, err error) {
	resp, err := newHostClient().Get("http://" + address + "/view")
	if err != nil {
		return v, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return v, fmt.Errorf("read host view: status %d, want 200", resp.StatusCode)
	}
	err = json.NewDecoder(resp.Body).Decode(&v)
	return v, err
}

func printHostView(w io.Writer, v status.HostView) error {
	p := &printer{w: w}
	p.line("host %s, boot ID %s, draining %t, desired state %d", v.Host, v.BootID, v.Draining, v.DesiredVersion)
	p.line("order lease: holder %q, held here %t, fencing token %d, unchanged for %d ms", v.OrderLease.Holder, v.OrderLease.Held, v.OrderLease.Fence, v.OrderLease.SilentMS)
	for _, f := range v.Feeds {
		p.line("feed %s: down %t for %d ms", f.Table, f.Down, f.AgeMS)
	}
	for _, s := range v.Servers {
		p.line("server %s of %s in %s: leaving %t, missing %t, suspect %t, request limit %g/s, items %d, event interval %.1f ms, preferred model %q, versions %v, software %q",
			s.ID, s.Service, s.Zone, s.Leaving, s.Missing, s.Suspect, s.RequestLimit, s.Running, s.EventIntervalMS, s.PreferredModel, s.Versions, s.Software)
	}
	for _, service := range slices.Sorted(maps.Keys(v.SoftwareHistories)) {
		p.line("streams of %s may be open at software versions %s", service, v.SoftwareHistories[service])
	}
	for _, content := range v.Quarantined {
		p.line("requests with content %s are sent to no server", content)
	}
	for _, l := range v.Lots {
		p.line("lot %s of %s: owner %q, %s, listed %d of %d, ended %t, unchanged for %d ms", l.ID, l.Model, l.Owner, l.Stage, l.Listed, l.Total, l.Ended, l.SilentMS)
	}
	return p.err
}

// printer prints lines and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// checkPlatformSettings checks a settings file that a platform writes for lavender-host.
func checkPlatformSettings(o *options, path string) error {
	d, err := platform.ReadSettings(path)
	if err != nil {
		return failf(exitError, "%w", err)
	}
	_, err = fmt.Fprintf(o.out, "%s: no faults (host %s, store %s)\n", path, d.Host, d.Store)
	return outputError(err)
}
