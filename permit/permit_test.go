package permit_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/permit"
)

// cluster is a set of hosts, some of which do not answer.
type cluster struct {
	silent map[string]bool
	shares map[string][]float64 // granted, by host
}

type granter struct {
	cluster *cluster
	host    string
}

func (g granter) Grant(_ context.Context, r permit.Request) (forward.Permit, error) {
	if g.cluster.silent[g.host] {
		return forward.Permit{}, errors.New("no answer")
	}
	g.cluster.shares[g.host] = append(g.cluster.shares[g.host], r.Share)
	return forward.Permit{Granted: true}, nil
}

func (c *cluster) client(self string, hosts ...string) *permit.Client {
	addresses := make(map[string]string)
	for _, h := range hosts {
		if h != self {
			addresses[h] = h
		}
	}
	client := &permit.Client{
		Self: self, Local: granter{c, self}, OnFailure: func(string, error) {},
		Dial: func(address string) permit.Granter { return granter{c, address} },
	}
	client.SetPeers(addresses)
	return client
}

func newCluster() *cluster {
	return &cluster{silent: make(map[string]bool), shares: make(map[string][]float64)}
}

// TestOneHostGrantsForAServer guards against hosts that each grant the whole limit of a
// server, and against one host that grants for all servers.
func TestOneHostGrantsForAServer(t *testing.T) {
	hosts := []string{"a", "b", "c", "d"}
	granting := make(map[string]bool)
	for i := range 40 {
		c := newCluster()
		server := fmt.Sprintf("server-%d", i)
		for _, self := range hosts {
			require.True(t, c.client(self, hosts...).Acquire(context.Background(), forward.PermitRequest{Server: server, Limit: 1}).Granted)
		}
		require.Len(t, c.shares, 1, server)
		for host, shares := range c.shares {
			require.Equal(t, []float64{1, 1, 1, 1}, shares)
			granting[host] = true
		}
	}
	require.ElementsMatch(t, hosts, slices.Collect(maps.Keys(granting)))
}

// TestSilentHostDoesNotDoubleTheLimit guards against hosts that together exceed a limit while
// only some of them reach the host that grants it.
func TestSilentHostDoesNotDoubleTheLimit(t *testing.T) {
	hosts := []string{"a", "b", "c"}
	c := newCluster()
	acquire := func(client *permit.Client) {
		require.True(t, client.Acquire(context.Background(), forward.PermitRequest{Server: "s", Limit: 1}).Granted)
	}
	acquire(c.client("a", hosts...))
	first := slices.Collect(maps.Keys(c.shares))[0]
	c.silent[first] = true
	clear(c.shares)
	for _, self := range hosts {
		if self != first {
			acquire(c.client(self, hosts...))
		}
	}
	require.Len(t, c.shares, 1, "all ask the same second host")
	for _, shares := range c.shares {
		require.Equal(t, []float64{0.2, 0.2}, shares)
	}
	for _, h := range hosts {
		c.silent[h] = h == "a" || h == "b" || h == "c"
	}
	lone := c.client("d", append(hosts, "d")...)
	clear(c.shares)
	acquire(lone)
	require.Len(t, c.shares["d"], 1)
	require.LessOrEqual(t, c.shares["d"][0], 0.25, "a host that reaches no other takes an equal share at most")
}
