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
	// lotGrowth is the number of items by which lots grow before and after each fault, so that
	// steps are late and more servers are ordered. An item lasts longEvents events, about
	// 2.4 s, and the minimum of servers runs 40 items in each lotInterval.
	lotGrowth   = 24
	longEvents  = 8 * eventsPerItem
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
	proceed chan struct{}       // the order is carried out
	servers map[string][]string // ids by zone and kind
	started int
	below   []string // orders below the servers present
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
	if c.TargetGroups < len(p.servers[kind]) {
		p.below = append(p.below, fmt.Sprintf("%+v with %d servers", c, len(p.servers[kind])))
	}
	for len(p.servers[kind]) < c.TargetGroups {
		p.started++
		id := strings.ReplaceAll(fmt.Sprint(kind, " ", p.started), " ", "-")
		p.servers[kind] = append(p.servers[kind], id)
		time.AfterFunc(bootTime, func() {
			p.c.mu.Lock()
			p.c.placement[id] = map[string]any{"zone": c.Zone, "spot": c.Spot}
			p.c.mu.Unlock()
			p.c.addServer(id, "engines", firstSoftware)
		})
	}
}

// lose ends one of the ordinary servers that were present at the start or replaced them. Only an
// order brings another one.
func (p *orderPlatform) lose() {
	p.mu.Lock()
	kind := "z spot false"
	if len(p.servers[kind]) < 2 { // one that still starts cannot be ended
		p.mu.Unlock()
		return
	}
	id := p.servers[kind][0]
	p.servers[kind] = p.servers[kind][1:]
	p.mu.Unlock()
	p.c.mu.Lock()
	server := p.c.servers[id]
	p.c.unregistered[id] = true
	p.c.mu.Unlock()
	if server == nil {
		p.t.Errorf("server %s has not started", id)
		return
	}
	_ = server.Listener.Close()
	server.CloseClientConnections()
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
	p := &orderPlatform{t: t, arrived: make(chan pamoja.APICall), proceed: make(chan struct{}), servers: make(map[string][]string)}
	for i := range samplers {
		p.servers["z spot false"] = append(p.servers["z spot false"], fmt.Sprintf("sampler-%d", i))
	}
	p.api = pamoja.API{PerSecond: 50, LeaseTime: 3 * time.Second, Fault: p.next, OnAccept: p.accept}
	server := httptest.NewServer(&p.api)
	t.Cleanup(server.Close)
	c := newClusterOf(t, 1, longEvents, "cloud.address="+strings.TrimPrefix(server.URL, "http://")+"\ncloud.duties=scaling\ncloud.dutyPerS=50\n")
	p.c = c
	c.mu.Lock()
	c.placement = make(map[string]map[string]any)
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
	for n, f := range faults {
		p.mu.Lock()
		p.fault, p.armed = f.fault, true
		p.mu.Unlock()
		size.Add(lotGrowth)
		if n > 0 { // nothing is replaced before there was demand
			p.lose()
		}
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
		p.lose()
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
	p.mu.Lock()
	ordered := make(map[string]int)
	for _, a := range accepted {
		kind := fmt.Sprint(a.Zone, " spot ", a.Spot)
		ordered[kind] = max(ordered[kind], a.TargetGroups)
	}
	for kind, n := range ordered {
		assert.Len(t, p.servers[kind], n, "%s: the lost servers were replaced, and no order was lowered", kind)
	}
	p.mu.Unlock()
	assert.Greater(t, max(ordered["z spot false"], ordered["y spot false"]), samplers, "more servers for steps that are late")
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
