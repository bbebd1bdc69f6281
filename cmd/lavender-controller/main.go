// Command lavender-controller runs the partitioned background work: sample
// groups, batches and weight rollouts.
package main

import (
	"os"

	"github.com/lavenderstand/lavenderstand/daemon"
)

func main() {
	c := daemon.NewCommand("lavender-controller", "Run sample groups, batches and weight rollouts", serve)
	if c.Execute() != nil {
		os.Exit(1)
	}
}
