// Command lavender-bench simulates routing, admission and training decisions on a
// virtual clock and compares policies with baselines over the same seeds.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"slices"

	"github.com/spf13/cobra"

	"github.com/lavenderstand/lavenderstand/bench"
)

type options struct {
	deployment, load, json, plot string
	policies, faults             []string
	seeds, workers               int
}

// gcPercent is the value of GOGC. A simulation allocates much and keeps little, so
// less frequent collections save processor time.
const gcPercent = 200

func main() {
	var o options
	debug.SetGCPercent(gcPercent)
	root := &cobra.Command{
		Use: "lavender-bench", Short: "Measure routing, admission and training decisions on a virtual clock",
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(o, cmd.OutOrStdout()) },
	}
	f := root.Flags()
	f.StringVar(&o.deployment, "deployment", "pamoja", "pamoja or cymru")
	f.StringVar(&o.load, "load", "peak", "peak or off_peak")
	f.StringSliceVar(&o.policies, "policy", nil, "policies to run (default all)")
	f.StringSliceVar(&o.faults, "fault", []string{"none"}, "faults to run, or all")
	f.IntVar(&o.seeds, "seeds", 5, "number of seeds")
	f.IntVar(&o.workers, "workers", 4, "number of simulations that run at the same time")
	f.StringVarP(&o.json, "output", "o", "", "file for all results, as JSON")
	f.StringVar(&o.plot, "plot", "", "file for a plot, as SVG")
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

func run(o options, out io.Writer) error {
	d := bench.Pamoja()
	switch o.deployment {
	case "pamoja":
	case "cymru":
		d = bench.Cymru()
	default:
		return fmt.Errorf("unknown deployment %q, want pamoja or cymru", o.deployment)
	}
	if _, ok := d.Loads[o.load]; !ok {
		return fmt.Errorf("unknown load %q, want peak or off_peak", o.load)
	}
	if o.seeds < 1 || o.workers < 1 {
		return fmt.Errorf("--seeds and --workers must be at least 1")
	}
	policies, err := selectPolicies(o.policies, bench.Policies(d))
	if err != nil {
		return err
	}
	if slices.Contains(o.faults, "all") {
		o.faults = bench.Faults
	}
	for _, fault := range o.faults {
		if !slices.Contains(bench.Faults, fault) {
			return fmt.Errorf("unknown fault %q", fault)
		}
	}
	c := bench.Compare(d, o.load, policies, o.faults, o.seeds, o.workers)
	if err := c.WriteTable(out); err != nil {
		return err
	}
	return writeFiles(o, c)
}

// selectPolicies returns the policies with the given names, or all policies if names
// is empty.
func selectPolicies(names []string, all []bench.Policy) ([]bench.Policy, error) {
	if len(names) == 0 {
		return all, nil
	}
	var chosen []bench.Policy
	for _, name := range names {
		i := slices.IndexFunc(all, func(p bench.Policy) bool { return p.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("unknown policy %q", name)
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}

// writeFiles writes the output files that the options name.
func writeFiles(o options, c bench.Comparison) error {
	if o.json != "" {
		data, err := json.MarshalIndent(c, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(o.json, append(data, '\n'), 0o644); err != nil {
			return err
		}
	}
	if o.plot == "" {
		return nil
	}
	f, err := os.Create(o.plot)
	if err != nil {
		return err
	}
	if err := c.WritePlot(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
