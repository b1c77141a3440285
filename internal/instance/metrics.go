package instance

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"foxtailhub.example/foxtailhub/internal/contract"
)

const metricsNamespace = "foxtailhub"

// metrics holds the Prometheus metrics of the instance. Label cardinality is bounded:
// kinds of requests, outcomes, reasons, kinds of events.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	events   *prometheus.CounterVec
	wentBack *prometheus.CounterVec

	firstToken prometheus.Histogram
	resume     prometheus.Histogram
	call       prometheus.Histogram
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "requests_finished_total", Help: "Requests that ended, by kind (generation, call) and outcome.",
		}, []string{"kind", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "requests_refused_total", Help: "Requests answered without an answer of an upstream, by reason.",
		}, []string{"reason"}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "events_total", Help: "Events of the time line, by kind.",
		}, []string{"kind"}),
		wentBack: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "table_went_back_total",
			Help: "Times the table service was found to have lost acknowledged writes, by evidence (dispatch_record, configuration, roster).",
		}, []string{"evidence"}),
		firstToken: newDurationHistogram("first_token_seconds", "Time from a caller's request to its first token."),
		resume: newDurationHistogram("resume_seconds",
			"Time from the last token before a generation moved to another engine to the next token."),
		call: newDurationHistogram("call_seconds", "Time from a call's arrival to its answer."),
	}
	m.registry.MustRegister(m.requests, m.refusals, m.events, m.wentBack, m.firstToken, m.resume, m.call,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// newDurationHistogram returns a histogram with buckets from 1 ms to about 30 s.
func newDurationHistogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: metricsNamespace, Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
	})
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// registerGauge registers a gauge that is read at each scrape.
func (m *metrics) registerGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help}, read))
}

// registerCounter registers a counter that is read at each scrape.
func (m *metrics) registerCounter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}, read))
}

func (m *metrics) countFinished(kind string, verdict contract.Verdict) {
	m.requests.WithLabelValues(kind, string(verdict.Outcome)).Inc()
}

func (m *metrics) countTableWentBack(evidence string) { m.wentBack.WithLabelValues(evidence).Inc() }

func (m *metrics) countRefused(verdict contract.Verdict) {
	m.refusals.WithLabelValues(string(verdict.Reason)).Inc()
}
