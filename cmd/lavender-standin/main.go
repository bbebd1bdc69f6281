// Command lavender-standin runs stand-ins for external systems on loopback, for
// tests and the demo.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:          "lavender-standin",
		Short:        "Run stand-ins for external systems, for tests and the demo",
		SilenceUsage: true,
	}
	root.AddCommand(platformCommands()...)
	root.AddCommand(backendCommands()...)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
