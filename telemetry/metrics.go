package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const (
	// reportInterval is the interval at which tally reports values to the Prometheus registry.
	reportInterval = time.Second
	metricPrefix   = "lavender"
)

// Metrics holds the metrics of a process.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler // serves /metrics
	closer  io.Closer
}

// NewMetrics returns metrics whose scope carries the given tags. The handler also serves the
// processor time and memory of the process (process_cpu_seconds_total,
// process_resident_memory_bytes) and the metrics of the Go runtime, from which capacity
// figures are derived.
func NewMetrics(tags map[string]string, onError func(error)) *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		collectors.NewGoCollector(),
	)
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: registry, Gatherer: registry, OnRegisterError: onError,
		DefaultTimerType: tallyprom.HistogramTimerType,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: metricPrefix, Tags: tags, CachedReporter: reporter,
		Separator: tallyprom.DefaultSeparator, SanitizeOptions: sanitizer(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		Scope: scope, closer: closer,
		Handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
}

// sanitizer returns options that keep dashes and dots in tag values, such as host names.
// Prometheus allows them, but the default options replace them.
func sanitizer() *tally.SanitizeOptions {
	o := tallyprom.DefaultSanitizerOpts
	o.ValueCharacters = tally.ValidCharacters{
		Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreDashDotCharacters,
	}
	return &o
}

// Close reports the last values and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
