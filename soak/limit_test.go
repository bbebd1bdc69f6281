package soak

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// requestLimit is the number of requests per second that each server takes from all hosts
	// together.
	requestLimit = 4.0
	// limitWindow and limitSlack state what a server with a limit may get: in no limitWindow
	// more than limitRatio times what the limit allows, plus limitSlack requests.
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
	// limitLearnTime is the time after which all hosts must have learned of a limit that a
	// busy server names.
	limitLearnTime = 500 * time.Millisecond
	limitDuration  = 9 * time.Second
)

// TestServersGetMoreThanTheirLimit guards against hosts that ignore the request limit of a
// backend server, or that each keep to it but exceed it together.
func TestServersGetMoreThanTheirLimit(t *testing.T) {
	t.Run("requests", func(t *testing.T) {
		t.Parallel()
		c := startLimited(t)
		end := time.Now().Add(limitDuration)
		served := c.callAllHosts(end)
		c.checkLimits(t)
		require.GreaterOrEqual(t, served, int(apps*requestLimit*limitDuration.Seconds()/2), "half of what the limits allow")
	})
	t.Run("items and their scores", func(t *testing.T) {
		t.Parallel()
		c := startLimited(t)
		var work sync.WaitGroup
		end := time.Now().Add(limitDuration)
		trainers := []*trainer{{cluster: c, name: "t1"}, {cluster: c, name: "t2"}}
		for _, tr := range trainers {
			work.Go(func() { tr.train(end, 12) })
		}
		work.Wait()
		listed := 0
		for _, tr := range trainers {
			listed += tr.verify(t, time.Now().Add(settleTimeout))
		}
		c.checkLimits(t)
		require.GreaterOrEqual(t, listed, int(apps*requestLimit*limitDuration.Seconds()/2), "half of what the limits allow")
	})
}

// startLimited starts a cluster whose backend servers all name requestLimit.
func startLimited(t *testing.T) *cluster {
	c := newCluster(t, 1)
	c.setRequestLimit(requestLimit)
	for _, h := range c.hosts {
		require.Eventually(t, func() bool { return c.ready(h) }, 10*time.Second, 50*time.Millisecond, h.name)
	}
	t.Cleanup(func() {
		if t.Failed() {
			c.printLogs()
		}
	})
	return c
}

// callAllHosts sends requests to all hosts until end, several times more than the servers
// take, and returns the number of those that were served.
func (c *cluster) callAllHosts(end time.Time) int {
	var mu sync.Mutex
	served := 0
	var work sync.WaitGroup
	for i := range c.hosts {
		work.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				status, _, _ := c.call(i, http.MethodPost, "/calls/x", fmt.Sprintf("limited-%d-%d", i, n), nil)
				mu.Lock()
				if status == http.StatusOK {
					served++
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	work.Wait()
	return served
}

// checkLimits checks the arrivals at each server, from the time by which all hosts must have
// learned of the limit.
func (c *cluster) checkLimits(t *testing.T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	allowed := int(limitRatio*requestLimit*limitWindow.Seconds()) + limitSlack
	for server, arrivals := range c.arrivals {
		known := arrivals[0].Add(limitLearnTime)
		most, first := 0, 0
		for i, at := range arrivals {
			for arrivals[first].Before(known) || at.Sub(arrivals[first]) > limitWindow {
				if first == i {
					break
				}
				first++
			}
			if !arrivals[first].Before(known) {
				most = max(most, i-first+1)
			}
		}
		require.LessOrEqual(t, most, allowed, "requests at %s in %s, limit %g/s", server, limitWindow, requestLimit)
	}
}
