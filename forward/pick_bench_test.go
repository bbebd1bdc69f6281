package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lavenderstand/lavenderstand/capacity"
	"github.com/lavenderstand/lavenderstand/registry"
)

// BenchmarkChoose measures the choice of a server among those of a service. A negative number of
// servers selects the baseline.
func BenchmarkChoose(b *testing.B) {
	for _, servers := range []int{5, 7, 38, -5, -38} {
		b.Run(fmt.Sprintf("servers-%d", servers), func(b *testing.B) {
			baseline := servers < 0
			servers := max(servers, -servers)
			p, now := testPlan(servers, 6), time.Now()
			for i, target := range p.Services["s"] {
				target.Load.recordResponse(time.Duration(20+i)*time.Millisecond, now)
				target.Load.Report(registry.Load{Running: i % 6, Slots: 6, Slowdown: 1.2}, now)
				e := capacity.Estimate{Unit: time.Duration(20+i) * time.Millisecond, Growth: 0.04, Capacity: 4, Trust: 0.8, Usual: 1}
				target.Load.SetEstimate(e, false, 0, now)
			}
			c := chooser{now: now, random: rand.Float64, baseline: baseline}
			b.ReportAllocs()
			for b.Loop() {
				c.choose(p, "s")
			}
		})
	}
}
