package main

import (
	"context"
	"encoding/json"
	"errors"
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
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/frontend"
	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/permit"
	"github.com/lavenderstand/lavenderstand/platform"
	"github.com/lavenderstand/lavenderstand/quarantine"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// adminIdleTimeout and adminHeaderTimeout apply to the connections of the load balancer
	// and of operators. The timeouts of callers' connections come from the desired state.
	adminIdleTimeout   = 60 * time.Second
	adminHeaderTimeout = 5 * time.Second
	adminHeaderBytes   = 16 << 10
	adminReadTimeout   = 10 * time.Second
	adminWriteTimeout  = 30 * time.Second
	// balancerDrainDelay is the time for which new connections still arrive after the host
	// reported that it is not ready: the load balancer checks every second and removes a
	// host after two failed checks.
	balancerDrainDelay = 3 * time.Second
	// stopMargin is the part of the grace period that is reserved for the exit of the
	// process.
	stopMargin = 700 * time.Millisecond
)

// addServers adds the HTTP servers for callers, for the readiness check and for operators.
func (h *host) addServers(g *run.Group) error {
	front, frontConns := h.newServer(h.closeWhileStopping(platform.NewHandler(h.service)), h.service.Limits, h.connBounds.Callers, "caller_connections_refused")
	front.ReadTimeout, front.WriteTimeout, front.IdleTimeout = 0, 0, 0 // depend on the limits of the desired state and on the answer
	checks := http.NewServeMux()
	checks.HandleFunc(platform.ReadinessPath, h.handleReadiness)
	ready, readyConns := h.newServer(checks, checkLimits, h.connBounds.Checks, "readiness_connections_refused")
	metrics, metricsConns := h.newServer(h.operatorHandler(), checkLimits, h.connBounds.Checks, "metrics_connections_refused")
	servers := []struct {
		name, address string
		server        *http.Server
		conns         *frontend.CallerConns
	}{
		{"front", h.settings.Front, front, frontConns},
		{"readiness", h.settings.Ready, ready, readyConns},
		{"metrics", h.metricsAddress(), metrics, metricsConns},
	}
	for _, s := range servers {
		l, err := listen(s.name, s.address, frontend.CallerBuffer)
		if err != nil {
			return err
		}
		l = s.conns.Listener(l)
		g.Add(func() error { return ignoreClosed(s.server.Serve(l)) }, func(error) { h.shutdown(s.server) })
	}
	return nil
}

// closeWhileStopping asks callers to use their connections no further once a graceful
// shutdown has begun. Connections that are idle at its end could otherwise be closed in the
// moment in which a request arrives.
func (h *host) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.service.Stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// operatorHandler serves the metrics and the host view, which shows the host's own state.
func (h *host) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", h.metrics.Handler)
	mux.HandleFunc("/view", h.handleView)
	mux.HandleFunc("POST /explain", h.handleExplain)
	return mux
}

// handleView answers with the host view from the control loop.
func (h *host) handleView(w http.ResponseWriter, r *http.Request) {
	id := strconv.FormatUint(rand.Uint64(), 36)
	answer, err := h.waiters.Call(r.Context(), h.inbox, id, event.HostViewRequested{RequestID: id})
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer.(command.AnswerHostView).View) // fails only if the client has disconnected
}

// metricsAddress returns the address of the metrics. Its port is the last of the peer ports,
// as deploy/system.toml states.
func (h *host) metricsAddress() string {
	return net.JoinHostPort(h.settings.IP, strconv.Itoa(h.settings.PeerPorts[1]))
}

// addPeers adds the gRPC server through which hosts that the store does not serve reach it.
func (h *host) addPeers(g *run.Group) error {
	l, err := listen("other hosts", h.peerAddress(), frontend.PeerBuffer)
	if err != nil {
		return err
	}
	conns := &frontend.PeerConns{Max: h.connBounds.Peers, Messages: h.connBounds.MessageBytes, OnRefused: h.refusals("peer_connections_refused")}
	l = conns.Listener(l)
	server := grpc.NewServer(append(peer.ServerLimits(), grpc.StatsHandler(conns), grpc.UnaryInterceptor(peer.RecoverInterceptor(h.log)))...)
	peerpb.RegisterStoreServer(server, &peer.StoreServer{Store: h.repository.Cache.CachingClient(h.directStore), Memory: h.memory})
	peerpb.RegisterPermitsServer(server, &peer.PermitServer{Granter: localPermits{h}})
	peerpb.RegisterQuarantineServer(server, &peer.QuarantineServer{Receiver: localReceiver{h}})
	peerpb.RegisterServersServer(server, &peer.ServersServer{Exchanger: localNotes{h}, Leaving: localLeaving{h}})
	peerpb.RegisterUsageServer(server, &peer.UsageServer{Receiver: localUsage{h}})
	g.Add(func() error { return server.Serve(l) }, func(error) { h.stopPeers(server) })
	return nil
}

// stopPeers completes the calls of other hosts that are in flight, at most until the end of
// the grace period.
func (h *host) stopPeers(server *grpc.Server) {
	cut := time.AfterFunc(time.Until(h.stopLimit()), server.Stop)
	defer cut.Stop()
	server.GracefulStop()
}

// stopLimit returns the time by which a shutdown must have completed what is in flight.
func (h *host) stopLimit() time.Time {
	if planned := h.stopBy.Load(); planned != nil {
		return *planned
	}
	return time.Now().Add(h.currentSettings().Bounds.GracePeriod - stopMargin)
}

// localPermits grants the permits of this host.
type localPermits struct{ host *host }

// Grant implements permit.Granter.
func (l localPermits) Grant(ctx context.Context, r permit.Request) (forward.Permit, error) {
	id := strconv.FormatUint(rand.Uint64(), 36)
	answer, err := l.host.waiters.Call(ctx, l.host.inbox, id, event.PermitRequested{RequestID: id, Request: r})
	if err != nil {
		return forward.Permit{}, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonDeadline, "grant a permit")
	}
	return answer.(command.AnswerPermit).Permit, nil
}

// localReceiver passes the reports of other hosts to control.
type localReceiver struct{ host *host }

// Report implements quarantine.Receiver.
func (l localReceiver) Report(ctx context.Context, r quarantine.Report) error {
	return l.host.inbox.Deliver(ctx, event.SuspectReported{Report: r})
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutdown closes idle connections and waits for requests in flight, at most until the end
// of the grace period.
func (h *host) shutdown(s *http.Server) {
	ctx, cancel := context.WithDeadline(context.Background(), h.stopLimit())
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		h.log.Warn("requests cut off at the end of the grace period", zap.Error(err))
	}
}

// handleReadiness answers with status 503 while the host takes no new requests.
func (h *host) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if !h.service.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stop refuses new lots, hands the lots of this host over to other hosts and serves requests
// until the load balancer sends no more of them. When it returns, the run group shuts the
// servers down, which complete the requests in flight.
func (h *host) stop() error {
	h.log.Info("stopping")
	now := time.Now()
	stopBy := now.Add(h.currentSettings().Bounds.GracePeriod - stopMargin)
	h.stopBy.Store(&stopBy)
	h.service.BeginStop(now.Add(balancerDrainDelay), stopBy)
	if err := h.inbox.Deliver(h.ctx, event.DrainRequested{}); err != nil {
		return err
	}
	timer := time.NewTimer(balancerDrainDelay)
	defer timer.Stop()
	<-timer.C
	select {
	case <-h.handoverDone:
	case <-time.After(time.Until(stopBy) / 2): // the rest is left for requests in flight
		h.log.Warn("stopping before all lots were handed over")
	}
	return nil
}
