// Command lavender-controller runs the partitioned background work: sample
// groups, lots and weight rollouts.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/lavenderstand/lavenderstand/settings"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:          "lavender-controller",
		Short:        "Run sample groups, lots and weight rollouts",
		SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			s, err := settings.LoadComplete(path)
			if err != nil {
				return err
			}
			return serve(s)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "path of the TOML settings file")
	_ = c.MarkFlagRequired("settings")
	return c
}
