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
	// reportInterval is the period at which tally hands values to Prometheus.
	reportInterval = time.Second
	metricPrefix   = "lavender"
)

// Metrics is the root of a process's metrics. Close reports the last values.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler // serves /metrics
	closer  io.Closer
}

// NewMetrics returns metrics that all carry the given tags. Beside the scope
// they hold the processor time and memory of the process (process_cpu_seconds_total,
// process_resident_memory_bytes) and of the Go runtime, which capacity figures use.
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

// sanitizer keeps dashes and dots in tag values, such as host names, which
// Prometheus allows and the default replaces.
func sanitizer() *tally.SanitizeOptions {
	o := tallyprom.DefaultSanitizerOpts
	o.ValueCharacters = tally.ValidCharacters{
		Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreDashDotCharacters,
	}
	return &o
}

// Close stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
