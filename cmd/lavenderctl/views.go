package main

import (
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/lavenderstand/lavenderstand/status"
)

func viewCommands(o *options) []*cobra.Command {
	return []*cobra.Command{
		newListCommand(o, "hosts", "List the system's own processes", "/v1/hosts", "ID HOST ZONE ROLE ADDRESS RENEWED", func(h status.Host) []any {
			return []any{h.ID, h.Host, h.Zone, h.Role, h.Address, roundAge(h.RenewedAgeMS)}
		}),
		newListCommand(o, "backends", "List the backend servers", "/v1/backends", "NAME KIND MODEL ZONE STATE RUNNING QUEUED SLOTS VERSION REPORT", func(b status.Backend) []any {
			return []any{b.Name, b.Kind, b.Model, b.Zone, b.State, b.Running, b.Queued, b.Slots, b.Version, roundAge(b.ReportAgeMS)}
		}),
		newListCommand(o, "groups", "List the sample groups in progress", "/v1/groups", "TRAINER GROUP PHASE FINISHED SAMPLES ATTEMPT AGE", func(g status.Group) []any {
			return []any{g.Trainer, g.Group, g.Phase, g.Finished, g.Samples, g.Attempt, roundAge(g.AgeMS)}
		}),
		statusCommand(o), drainCommand(o),
	}
}

// newListCommand returns a command that reads a list from path and prints one row for each
// element.
func newListCommand[R any](o *options, use, short, path, header string, row func(R) []any) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs, Example: "  lavenderctl " + use + " -o json",
		RunE: func(c *cobra.Command, _ []string) error {
			var list []R
			if _, err := o.call(c.Context(), http.MethodGet, path, nil, &list); err != nil {
				return err
			}
			rows := make([][]any, len(list))
			for i, r := range list {
				rows[i] = row(r)
			}
			return o.print(list, header, rows)
		},
	}
}

// roundAge converts milliseconds to a duration, rounded to 100 ms.
func roundAge(ms int64) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond)
}

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show the state of one entry host", Args: cobra.NoArgs, Example: "  lavenderctl status",
		RunE: func(c *cobra.Command, _ []string) error {
			var s status.Snapshot
			if _, err := o.call(c.Context(), http.MethodGet, "/v1/status", nil, &s); err != nil {
				return err
			}
			live := 0
			for _, b := range s.Backends {
				if b.State == status.BackendLive {
					live++
				}
			}
			return o.print(s, "HOST READY DRAINING CONFIG CONFIRMED HOSTS BACKENDS LIVE UPTIME", [][]any{{
				s.Process.Host, s.Process.Ready, s.Process.Draining, s.Config.Version, s.Config.Confirmed,
				len(s.Hosts) + 1, len(s.Backends), live, roundAge(s.Process.UptimeMS),
			}})
		},
	}
}

func drainCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "drain", Short: "Start the graceful shutdown of the entry host given by --server", Args: cobra.NoArgs,
		Example: "  lavenderctl --server 10.20.1.11:8080 drain",
		RunE: func(c *cobra.Command, _ []string) error {
			if len(o.servers) != 1 {
				return failf(exitUsage, "drain requires exactly one --server, the host to stop")
			}
			var reply map[string]bool
			if _, err := o.call(c.Context(), http.MethodPost, "/v1/drain", nil, &reply); err != nil {
				return err
			}
			return o.print(reply, "DRAINING", [][]any{{reply["draining"]}})
		},
	}
}
