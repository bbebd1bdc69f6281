package main

import "github.com/spf13/cobra"

// backendCommands returns the roles of backend servers: engine, plain service
// and scoring service.
func backendCommands() []*cobra.Command { return nil }
