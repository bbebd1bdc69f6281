package e2e

import (
	"testing"
	"time"
)

// TestKilledProcessesLoseNothing guards against samples that are lost or delivered
// twice, claimed requests that run twice, and answers that are mixed up. A controller
// and an entry host are killed while they work.
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
