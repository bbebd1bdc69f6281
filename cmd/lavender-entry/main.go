// Command lavender-entry serves callers, trainers and operators on one host.
package main

import (
	"os"

	"github.com/lavenderstand/lavenderstand/daemon"
)

func main() {
	c := daemon.NewCommand("lavender-entry", "Serve callers, trainers and operators on one host", serve)
	if c.Execute() != nil {
		os.Exit(1)
	}
}
