package e2e

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPlannedStopUnderLoad guards against a graceful shutdown that cuts off a long stream
// or loses work under load. One entry host is stopped by SIGTERM, which is sent twice,
// and another one by a drain request of an operator, while the table service is down.
func TestPlannedStopUnderLoad(t *testing.T) {
	d := deploy(t, 41).waitServing()
	d.runLoad(6*time.Second, func() {
		for _, engine := range []string{"engine-2", "engine-4"} {
			d.setFault(engine, `{"slow":5}`) // the streams last longer than the drain delay and the removal of the host row
			defer d.setFault(engine, `{}`)
		}
		var all []*completion
		var streams sync.WaitGroup
		for i, prompt := range longPrompts("long", 16, 700) {
			c := &completion{model: "dial", prompt: prompt, maxTokens: 700, stream: i%4 != 0}
			all = append(all, c)
			streams.Go(func() { c.reply = d.sendCompletion(1+i%2, c) })
		}
		time.Sleep(500 * time.Millisecond)
		d.setTableFault(`"down":true`)
		d.signal("entry-2", syscall.SIGTERM)
		require.Equal(t, http.StatusAccepted, d.call(2, "operator", http.MethodPost, "/v1/drain", "").status)
		for _, entry := range []int{1, 2} {
			d.eventually(time.Second, func() reply { return d.call(entry, "app", http.MethodGet, "/readyz", "") },
				func(r reply) bool { return r.status == http.StatusServiceUnavailable })
		}
		time.Sleep(500 * time.Millisecond)
		d.signal("entry-2", syscall.SIGTERM)
		begun := time.Now()
		streams.Wait()
		require.Greater(t, time.Since(begun), 7*time.Second, "the streams ended too early to cover the whole stop")
		requireComplete(t, all, "stream across a graceful shutdown")
		d.verifyCompletions(all)
		d.setTableFault("")
		d.waitStopped("entry-2", 20*time.Second)
		d.waitStopped("entry-3", 20*time.Second)
	})
}
