package main

import (
	"maps"
	"slices"

	"github.com/spf13/cobra"

	"github.com/lavenderstand/lavenderstand/plan"
)

func classCommand(o *options) *cobra.Command {
	c := &cobra.Command{Use: "class", Short: "Show or change the targets of classes of work"}
	c.AddCommand(classList(o), classSet(o))
	return c
}

func classList(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the classes and their targets", Args: cobra.NoArgs, Example: "  lavenderctl class list",
		RunE: func(c *cobra.Command, _ []string) error {
			current, err := o.readConfig(c.Context())
			if err != nil {
				return err
			}
			classes := current.Body.Classes
			var rows [][]any
			for _, name := range slices.Sorted(maps.Keys(classes)) {
				class := classes[name]
				rows = append(rows, []any{name, class.LatencyMS, class.OnTimeShare, class.TokensPerSecond, class.StalenessBound})
			}
			return o.print(classes, "NAME LATENCY_MS ON_TIME_SHARE TOKENS_PER_SECOND STALENESS_BOUND", rows)
		},
	}
}

func classSet(o *options) *cobra.Command {
	var given plan.ClassConfig
	var author string
	c := &cobra.Command{
		Use: "set NAME", Short: "Change targets of a class, or add a class", Args: cobra.ExactArgs(1),
		Long: "Change the given targets of a class and keep the others. The command fails with a\n" +
			"conflict (exit code 3) if another change is accepted after it read the configuration.",
		Example: "  lavenderctl class set live --latency-ms 500 --on-time-share 0.99",
		RunE: func(c *cobra.Command, args []string) error {
			current, err := o.readConfig(c.Context())
			if err != nil {
				return err
			}
			body := current.Body
			body.Classes = maps.Clone(body.Classes)
			if body.Classes == nil {
				body.Classes = make(map[string]plan.ClassConfig)
			}
			body.Classes[args[0]] = mergeTargets(body.Classes[args[0]], given, c.Flags().Changed)
			if err := body.Check(); err != nil {
				return failf(exitError, "%w", err)
			}
			return o.changeConfig(c.Context(), current.Version, author, body)
		},
	}
	c.Flags().Int64Var(&given.LatencyMS, "latency-ms", 0, "latency target in ms; 0 removes it")
	c.Flags().Float64Var(&given.OnTimeShare, "on-time-share", 0, "target share of requests within the latency target, 0 to 1")
	c.Flags().Float64Var(&given.TokensPerSecond, "tokens-per-second", 0, "throughput target in tokens per second")
	c.Flags().Int64Var(&given.StalenessBound, "staleness-bound", 0, "largest staleness of samples, in weight versions")
	c.Flags().StringVar(&author, "author", "", "name of the author, recorded with the principal")
	c.MarkFlagsOneRequired("latency-ms", "on-time-share", "tokens-per-second", "staleness-bound")
	return c
}

// mergeTargets returns class with the targets replaced whose flags were given.
func mergeTargets(class, given plan.ClassConfig, changed func(flag string) bool) plan.ClassConfig {
	if changed("latency-ms") {
		class.LatencyMS = given.LatencyMS
	}
	if changed("on-time-share") {
		class.OnTimeShare = given.OnTimeShare
	}
	if changed("tokens-per-second") {
		class.TokensPerSecond = given.TokensPerSecond
	}
	if changed("staleness-bound") {
		class.StalenessBound = given.StalenessBound
	}
	return class
}
