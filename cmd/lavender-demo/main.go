// Command lavender-demo plans a demonstration run, generates its load and verifies
// its result. It starts no processes; demo/run.sh does.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use: "lavender-demo", Short: "Plan a demonstration run, generate its load and verify its result",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(planCommand(), loadCommand(), judgeCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}
