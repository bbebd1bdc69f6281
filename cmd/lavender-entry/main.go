// Command lavender-entry serves callers, trainers and operators on one host.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
