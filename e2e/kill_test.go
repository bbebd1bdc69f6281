package e2e

import (
	"testing"
	"time"
)

// TestKilledProcessesLoseNothing guards against samples lost or delivered twice,
// claims run twice and answers mixed up when a controller and an entry host die
// in the middle of their work.
func TestKilledProcessesLoseNothing(t *testing.T) {
	d := deploy(t, 4)
	d.runLoad(8*time.Second, func() {
		time.Sleep(2 * time.Second)
		d.kill("controller-1")
		time.Sleep(time.Second)
		d.kill("entry-2")
		time.Sleep(2 * time.Second)
		d.start("entry-2")
	})
}
