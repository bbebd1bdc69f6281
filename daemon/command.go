package daemon

import (
	"github.com/spf13/cobra"

	"github.com/lavenderstand/lavenderstand/settings"
)

// NewCommand returns the root command of a program that reads its settings from a file and
// serves until a graceful shutdown.
func NewCommand(use, short string, serve func(settings.Process) error) *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:          use,
		Short:        short,
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
