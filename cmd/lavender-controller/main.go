// Command lavender-controller runs the partitioned background work: sample
// groups, lots and weight rollouts.
package main

import (
	"os"

	"github.com/lavenderstand/lavenderstand/daemon"
)

func main() {
	c := daemon.NewCommand("lavender-controller", "Run sample groups, lots and weight rollouts", serve)
	if c.Execute() != nil {
		os.Exit(1)
	}
}
