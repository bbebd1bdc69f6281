package soak

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/standin/pamoja"
)

const (
	bootTime = 500 * time.Millisecond
	// freezeTime is long enough for another host to act meanwhile: it acquires the lease 2.5 s
	// after the last renewal and gives orders 5.3 s after the last sign of activity.
	freezeTime = 11 * time.Second
	// lateTime is the time after which a late order is carried out: after another host could
	// acquire the lease, but before it may give orders.
	lateTime = 4 * time.Second
	// orderTimeout bounds the wait for an order after a change of the holder.
	orderTimeout = 25 * time.Second
	// orderSettleTime is the time after the last fault until all servers have been ordered.
	orderSettleTime = 12 * time.Second
	// lotGrowth is the number of items by which lots grow before and after each fault, so that more servers
	// are needed. Lots are submitted each lotInterval, so that most of the time few items run and
	// no fewer servers are wanted at any time.
	lotGrowth   = 12
	lotInterval = 3 * time.Second
)

// orderPlatform starts the servers that are ordered, and acts on the host that orders while an
// order is under way.
type orderPlatform struct {
	t   *testing.T
	c   *cluster
	api pamoja.API

	mu      sync.Mutex
	fault   pamoja.APIFault // of the next order
	armed   bool            // the next order is passed to arrived
	arrived chan pamoja.APICall
	proceed chan struct{}  // the order is carried out
	servers map[string]int // by zone and kind
	below   []string       // orders below the servers present
}

func (p *orderPlatform) next(c pamoja.APICall) pamoja.APIFault {
	p.mu.Lock()
	armed, fault := p.armed, p.fault
	p.armed = false
	p.mu.Unlock()
	if !armed {
		return pamoja.APIFault{}
	}
	p.arrived <- c
	<-p.proceed
	return fault
}

// accept starts the servers that an order asks for.
func (p *orderPlatform) accept(c pamoja.APICall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kind := fmt.Sprint(c.Zone, " spot ", c.Spot)
	if c.TargetGroups < p.servers[kind] {
		p.below = append(p.below, fmt.Sprintf("%+v with %d servers", c, p.servers[kind]))
	}
	for ; p.servers[kind] < c.TargetGroups; p.servers[kind]++ {
		id := strings.ReplaceAll(fmt.Sprint(kind, " ", p.servers[kind]), " ", "-")
		time.AfterFunc(bootTime, func() {
			p.c.mu.Lock()
			p.c.placement[id] = map[string]any{"zone": c.Zone, "spot": c.Spot}
			p.c.mu.Unlock()
			p.c.addServer(id, "engines", firstSoftware)
		})
	}
}

func (c *cluster) hostNamed(name string) *host {
	for _, h := range c.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// TestHolderFailsAroundOrders guards against orders by two holders at a time, with falling
// tokens, or below the servers that are present, when the host that orders servers is killed or
// suspended while an order is under way, or the order is carried out late or without an answer.
func TestHolderFailsAroundOrders(t *testing.T) {
	t.Parallel()
	p := &orderPlatform{t: t, arrived: make(chan pamoja.APICall), proceed: make(chan struct{}), servers: map[string]int{"z spot false": samplers}}
	p.api = pamoja.API{PerSecond: 50, LeaseTime: 3 * time.Second, Fault: p.next, OnAccept: p.accept}
	server := httptest.NewServer(&p.api)
	t.Cleanup(server.Close)
	c := newClusterOf(t, 1, eventsPerItem, "cloud.address="+strings.TrimPrefix(server.URL, "http://")+"\ncloud.duties=scaling\ncloud.dutyPerS=50\n")
	p.c, c.placement = c, make(map[string]map[string]any)
	c.mu.Lock()
	c.scale = map[string]any{"minimum": samplers, "maximum": 30, "bootS": bootTime.Seconds(), "spotPrice": 0.22, "zonePrices": map[string]any{"z": 1, "y": 0.9}}
	c.mu.Unlock()
	c.writeDesiredState()
	for _, h := range c.hosts {
		require.Eventually(t, func() bool { return c.ready(h) }, 10*time.Second, 50*time.Millisecond, h.name)
	}
	time.Sleep(3 * time.Second)
	require.Empty(t, p.api.Accepted(), "nothing is ordered before there is demand")

	var work sync.WaitGroup
	var size atomic.Int32
	stop := make(chan struct{})
	work.Go(func() { c.submitGrowing(&size, stop) })
	faults := []struct {
		name  string
		fault pamoja.APIFault
		act   func(*host) (undo func())
	}{
		{"killed before the order", pamoja.APIFault{}, c.kill},
		{"answer lost", pamoja.APIFault{LoseAnswer: true}, nil},
		{"suspended, carried out late", pamoja.APIFault{CarryOutAfter: lateTime}, suspend},
		{"suspended", pamoja.APIFault{}, suspend},
		{"killed, carried out late", pamoja.APIFault{CarryOutAfter: lateTime}, c.kill},
	}
	for _, f := range faults {
		p.mu.Lock()
		p.fault, p.armed = f.fault, true
		p.mu.Unlock()
		size.Add(lotGrowth)
		var call pamoja.APICall
		select {
		case call = <-p.arrived:
		case <-time.After(orderTimeout):
			c.printLogs()
			t.Fatalf("%s: no order", f.name)
		}
		t.Logf("%s: %s, token %d, %s spot %t %d", f.name, call.Holder, call.Fence, call.Zone, call.Spot, call.TargetGroups)
		var undo func()
		if f.act != nil {
			undo = f.act(c.hostNamed(call.Holder))
		}
		p.proceed <- struct{}{}
		size.Add(lotGrowth) // the next holder has orders to give
		if undo != nil {
			time.Sleep(freezeTime)
			undo()
		}
	}
	time.Sleep(orderSettleTime)
	close(stop)
	work.Wait()
	accepted := p.api.Accepted()
	tokens := make(map[uint64]bool)
	for _, a := range accepted {
		tokens[a.Fence] = true
	}
	t.Logf("%d orders, %d tokens, servers: %v", len(accepted), len(tokens), p.servers)
	assert.Empty(t, p.api.Violations())
	assert.Empty(t, p.below)
	assert.GreaterOrEqual(t, len(tokens), 4, "a holder ordered after each of the others")
	sum := 0
	for _, n := range p.servers {
		sum += n
	}
	assert.GreaterOrEqual(t, sum*4, int(size.Load()), "all items of a lot can run at once")
	if t.Failed() {
		c.printLogs()
	}
}

// submitGrowing submits a lot each lotInterval until stop is closed.
func (c *cluster) submitGrowing(size *atomic.Int32, stop chan struct{}) {
	for n := 0; ; n++ {
		if items := int(size.Load()); items > 0 {
			tr := &trainer{cluster: c, name: fmt.Sprintf("t%d", n)}
			tr.train(time.Now().Add(lotInterval/6), items)
		}
		select {
		case <-stop:
			return
		case <-time.After(lotInterval):
		}
	}
}

// kill kills a host until undo is called.
func (c *cluster) kill(h *host) (undo func()) {
	_ = h.cmd.Process.Kill()
	<-h.exited
	return func() { c.start(h) }
}

// suspend suspends a host until undo is called.
func suspend(h *host) (undo func()) {
	_ = h.cmd.Process.Signal(syscall.SIGSTOP)
	return func() { _ = h.cmd.Process.Signal(syscall.SIGCONT) }
}
