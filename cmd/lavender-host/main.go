// Command lavender-host serves callers and trainers on a platform with a shared
// store. One process runs on each host.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/lavenderstand/lavenderstand/platform"
)

func main() {
	var path string
	c := &cobra.Command{
		Use:           "lavender-host",
		Short:         "Serve callers and trainers on a platform with a shared store",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return serve(path) },
	}
	c.Flags().StringVar(&path, "settings", os.Getenv(platform.SettingsVariable), "path of the platform's settings file")
	if err := c.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "lavender-host:", err)
		os.Exit(1)
	}
}
