package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/lavenderstand/lavenderstand/identity"
	"github.com/lavenderstand/lavenderstand/settings"
)

func checkSettingsCommand(o *options) *cobra.Command {
	platformFile := false
	c := &cobra.Command{
		Use: "check-settings FILE", Short: "Check a settings file, its principals and secrets", Args: cobra.ExactArgs(1),
		Example: "  lavenderctl check-settings /etc/lavenderstand/entry.toml",
		RunE: func(_ *cobra.Command, args []string) error {
			if platformFile {
				return checkPlatformSettings(o, args[0])
			}
			s, err := settings.LoadComplete(args[0])
			if err != nil {
				return failf(exitError, "%w", err)
			}
			if _, err := identity.Load(s.Identity.PrincipalsFile); err != nil {
				return failf(exitError, "%w", err)
			}
			_, err = fmt.Fprintf(o.out, "%s: no faults\n", args[0])
			return outputError(err)
		},
	}
	c.Flags().BoolVar(&platformFile, "platform", false, "check a file that a platform writes for lavender-host")
	return c
}
