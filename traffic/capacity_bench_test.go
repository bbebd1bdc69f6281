package traffic

import (
	"fmt"
	"testing"
)

// BenchmarkCompletion measures the request path without HTTP (admission, pick,
// assembly and reports) for different numbers of chunks of two tokens.
func BenchmarkCompletion(b *testing.B) {
	for _, chunks := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("chunks=%d", chunks), func(b *testing.B) {
			r, reports := newRouter(b, newPlan(newPool("a", "b", "c")))
			fake := newFakeEngine(generateTokens(2*chunks, 1))
			r.Engines = fake
			c := completionRequest(0)
			c.MaxTokens = 2 * chunks
			b.ReportAllocs()
			for b.Loop() {
				if _, err := r.Complete(b.Context(), c, func(Part) error { return nil }); err != nil {
					b.Fatal(err)
				}
				fake.requests, reports.events = fake.requests[:0], reports.events[:0]
			}
		})
	}
}
