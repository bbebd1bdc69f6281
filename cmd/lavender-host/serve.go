package main

import (
	"context"
	"encoding/json"
	"errors"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/frontend"
	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/platform"
)

const (
	// adminIdleTimeout and checkHeader bound the channels of the balancer and of operators. Those
	// of callers follow the desired state.
	adminIdleTimeout   = 60 * time.Second
	adminHeaderTimeout = 5 * time.Second
	// balancerDrainDelay is the time after readiness was turned off in which new channels
	// still arrive: the balancer asks each second and wants two misses.
	balancerDrainDelay = 3 * time.Second
	// stopMargin is kept free at the end of the grace time for the process to exit.
	stopMargin = 700 * time.Millisecond
)

// addServers adds the front for callers and the readiness check.
func (h *host) addServers(g *run.Group) error {
	quiet := log.New(zap.NewStdLog(h.log).Writer(), "", 0)
	channels := &frontend.ConnTimeouts{Limits: h.service.Limits}
	frontServer := &http.Server{Handler: platform.NewHandler(h.service), ConnState: channels.ConnState, ErrorLog: quiet} //nolint:gosec // channels bounds the header
	checks := http.NewServeMux()
	checks.HandleFunc(platform.ReadinessPath, h.handleReadiness)
	checkServer := &http.Server{Handler: checks, ReadHeaderTimeout: adminHeaderTimeout, IdleTimeout: adminIdleTimeout, ErrorLog: quiet}
	servers := []struct {
		name, address string
		server        *http.Server
		wrap          func(net.Listener) net.Listener
	}{
		{"front", h.settings.Front, frontServer, channels.Listener},
		{"readiness", h.settings.Ready, checkServer, nil},
		{"metrics", h.metricsAddress(), &http.Server{Handler: h.operatorHandler(), ReadHeaderTimeout: adminHeaderTimeout, ErrorLog: quiet}, nil},
	}
	for _, s := range servers {
		l, err := listen(s.name, s.address)
		if err != nil {
			return err
		}
		if s.wrap != nil {
			l = s.wrap(l)
		}
		g.Add(func() error { return ignoreClosed(s.server.Serve(l)) }, func(error) { h.shutdown(s.server) })
	}
	return nil
}

// operatorHandler serves metrics and what the host believes.
func (h *host) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", h.metrics.Handler)
	mux.HandleFunc("/view", h.handleView)
	return mux
}

func (h *host) handleView(w http.ResponseWriter, r *http.Request) {
	id := strconv.FormatUint(rand.Uint64(), 36)
	answer, err := h.waiters.Call(r.Context(), h.inbox, id, event.HostViewRequested{RequestID: id})
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer.(command.AnswerHostView).View) // the caller has left if it fails
}

// metricsAddress is the last port between own processes, which the deploy file names.
func (h *host) metricsAddress() string {
	return net.JoinHostPort(h.settings.IP, strconv.Itoa(h.settings.PeerPorts[1]))
}

// addPeers adds the server for hosts that the store does not serve.
func (h *host) addPeers(g *run.Group) error {
	l, err := listen("other hosts", h.peerAddress())
	if err != nil {
		return err
	}
	server := grpc.NewServer()
	peerpb.RegisterStoreServer(server, &peer.StoreServer{Store: h.repository.Cache.CachingClient(h.directStore)})
	g.Add(func() error { return server.Serve(l) }, func(error) { server.Stop() })
	return nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutdown closes idle channels and waits for requests in flight.
func (h *host) shutdown(s *http.Server) {
	limit := h.currentSettings().Bounds.GracePeriod - balancerDrainDelay - stopMargin
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		h.log.Warn("requests cut off by the end of the grace time", zap.Error(err))
	}
}

func (h *host) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if !h.service.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stop refuses new lots, hands own ones over and keeps serving until the balancer
// sends nothing more. The servers end afterwards, with what they still have.
func (h *host) stop() error {
	h.log.Info("stopping")
	h.service.Drain()
	if err := h.inbox.Deliver(h.ctx, event.DrainRequested{}); err != nil {
		return err
	}
	timer := time.NewTimer(balancerDrainDelay)
	defer timer.Stop()
	<-timer.C
	select {
	case <-h.handoverDone:
	case <-time.After(stopMargin):
		h.log.Warn("stopping before everything was handed over")
	}
	return nil
}
