package main

import "github.com/spf13/cobra"

// platformCommands returns the roles of the platform: table service, object
// store, host list and weight store.
func platformCommands() []*cobra.Command { return nil }
