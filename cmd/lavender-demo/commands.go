package main

import (
	"github.com/spf13/cobra"

	"github.com/lavenderstand/lavenderstand/demo"
)

// defaultEngines is the number of engines: three for each of the two models.
const defaultEngines = 6

func planCommand() *cobra.Command {
	var o demo.PlanOptions
	c := &cobra.Command{Use: "plan", Short: "Write the settings, tokens and process list of a run", RunE: func(*cobra.Command, []string) error {
		return demo.WritePlan(o)
	}}
	c.Flags().StringVar(&o.Dir, "dir", "", "directory to write the files of the run to")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of all random choices")
	c.Flags().IntVar(&o.Entries, "entries", demo.MinEntryHosts, "number of entry hosts")
	c.Flags().IntVar(&o.Engines, "engines", defaultEngines, "number of model engines")
	_ = c.MarkFlagRequired("dir")
	return c
}

func loadCommand() *cobra.Command {
	var o demo.LoadOptions
	c := &cobra.Command{Use: "load", Short: "Run the callers and trainers of a run", RunE: func(*cobra.Command, []string) error {
		return demo.RunLoad(o)
	}}
	c.Flags().StringVar(&o.Dir, "dir", "", "directory of the run")
	c.Flags().DurationVar(&o.Duration, "duration", demo.DefaultDuration, "time during which new work is submitted")
	c.Flags().DurationVar(&o.DrainTimeout, "limit", demo.DefaultDrainTimeout, "time after that during which trainers receive the remaining work")
	c.Flags().StringArrayVar(&o.Faults, "fault", nil, `fault to inject into a stand-in, as TIME,PROCESS,JSON; for example 3s,engine-1,{"hang":true}`)
	_ = c.MarkFlagRequired("dir")
	return c
}

func judgeCommand() *cobra.Command {
	var dir string
	c := &cobra.Command{Use: "judge", Short: "Compare what clients received with the ledgers", RunE: func(*cobra.Command, []string) error {
		return demo.VerifyRun(dir)
	}}
	c.Flags().StringVar(&dir, "dir", "", "directory of the run")
	_ = c.MarkFlagRequired("dir")
	return c
}
