// Command lavender-demo plans a demonstration run, drives its load and judges
// its result. It starts no process; demo/run.sh does.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use: "lavender-demo", Short: "Plan, load and judge a demonstration run",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(planCommand(), loadCommand(), judgeCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}
