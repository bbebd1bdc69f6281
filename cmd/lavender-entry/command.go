package main

import (
	"github.com/spf13/cobra"

	"github.com/lavenderstand/lavenderstand/settings"
)

func newCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:          "lavender-entry",
		Short:        "Serve callers, trainers and operators on one host",
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
