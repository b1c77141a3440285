package forward

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"foxtailhub.example/foxtailhub/internal/poison"
	"foxtailhub.example/foxtailhub/internal/pool"
)

// Metrics counts requests and attempts. Label values are bounded: kinds, results and
// outcomes are fixed sets.
type Metrics struct {
	outcomes  *prometheus.CounterVec
	attempts  *prometheus.CounterVec
	latencies *prometheus.HistogramVec
	limited   *prometheus.CounterVec
	heldBack  prometheus.Counter
	ends      *prometheus.CounterVec
	poison    *prometheus.CounterVec
	// runEnds counts by poison.RunOutcome.
	runEnds       [poison.RunOutcomes]prometheus.Counter
	unwatchedRuns prometheus.Counter
	// placements counts the prompts placed by reports, without and with room for the answer.
	placements [2]prometheus.Counter
	// unansweredProbes counts by moveObstacle.
	unansweredProbes *prometheus.CounterVec
	// graceEnds counts by waitPhase.
	graceEnds *prometheus.CounterVec
}

// purpose is why a request is sent to an upstream.
type purpose string

const (
	firstAttempt purpose = "first_attempt"
	retryAttempt purpose = "retry"
	hedgeAttempt purpose = "hedge"
	healthCheck  purpose = "health_check"
)

// latencyBuckets cover the range from a plain call to the first event of a long prompt,
// in seconds.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2, 4.5, 10, 25}

// NewMetrics creates and registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailhub_forward_requests_total", Help: "Requests that ended, by kind and outcome.",
		}, []string{"kind", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailhub_forward_sendings_total", Help: "Requests sent to upstreams, by kind and result.",
		}, []string{"kind", "result"}),
		latencies: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "foxtailhub_forward_latency_seconds", Help: "Time to the answer, or to the first event of a stream, in seconds.",
			Buckets: latencyBuckets,
		}, []string{"kind"}),
	}
	m.limited = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "foxtailhub_forward_limited_sendings_total", Help: "Requests sent to upstreams that state a request rate, by purpose.",
	}, []string{"purpose"})
	m.heldBack = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "foxtailhub_forward_rate_held_back_total", Help: "Choices of an upstream for which the stated request rate of one or more upstreams allowed no request.",
	})
	m.ends = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "foxtailhub_forward_upstream_ends_total", Help: "Upstream processes that ended at the start of an answer, once for each request there, by how far the answer had come.",
	}, []string{"progress"})
	m.poison = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "foxtailhub_forward_poison_parts_total", Help: "Events about parts of prompts that crash upstreams.",
	}, []string{"event"})
	runEnds := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "foxtailhub_forward_run_ends_total", Help: "Runs of requests at upstreams that ended, by outcome.",
	}, []string{"outcome"})
	for outcome := range m.runEnds {
		m.runEnds[outcome] = runEnds.WithLabelValues(poison.RunOutcome(outcome).String())
	}
	m.unwatchedRuns = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "foxtailhub_forward_unwatched_runs_total", Help: "Ended runs whose outcome was not found out, because too many others were watched.",
	})
	placements := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "foxtailhub_forward_placements_total", Help: "Prompts placed by load reports, by whether the engine has room for the whole answer.",
	}, []string{"room"})
	m.placements = [2]prometheus.Counter{placements.WithLabelValues("false"), placements.WithLabelValues("true")}
	m.unansweredProbes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "foxtailhub_forward_unanswered_probes_total", Help: "Probes that the upstream of a stream did not answer, by what keeps the stream from moving to another upstream.",
	}, []string{"obstacle"})
	m.graceEnds = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "foxtailhub_forward_grace_end_requests_total", Help: "Requests in progress shortly before the end of a leaving instance, by what they waited for.",
	}, []string{"waits_for"})
	registry.MustRegister(m.outcomes, m.attempts, m.latencies, m.limited, m.heldBack, m.ends, m.poison, runEnds, m.unwatchedRuns, placements, m.unansweredProbes, m.graceEnds)
	return m
}

// countLimited counts a request to an upstream that states a request rate.
func (m *Metrics) countLimited(u *pool.Member, why purpose) {
	if _, limited := u.RateLimit(time.Now()); limited {
		m.limited.WithLabelValues(string(why)).Inc()
	}
}

func (m *Metrics) countUpstreamEnd(p progress) { m.ends.WithLabelValues(string(p)).Inc() }

func (m *Metrics) countRunEnd(outcome poison.RunOutcome) { m.runEnds[outcome].Inc() }

func (m *Metrics) countPlacement(hasRoom bool) {
	if hasRoom {
		m.placements[1].Inc()
		return
	}
	m.placements[0].Inc()
}

func (m *Metrics) countPoison(event string) { m.poison.WithLabelValues(event).Inc() }

func (m *Metrics) countOutcome(x *exchange, outcome string) {
	m.outcomes.WithLabelValues(x.kindLabel(), outcome).Inc()
}

func (m *Metrics) countAttempt(x *exchange, result Result) {
	m.attempts.WithLabelValues(x.kindLabel(), result.String()).Inc()
}

func (m *Metrics) observeLatency(x *exchange) {
	m.latencies.WithLabelValues(x.kindLabel()).Observe(time.Since(x.receivedAt).Seconds())
}

// kindLabel returns the kind of the request, or "unknown" before its route is matched.
func (x *exchange) kindLabel() string {
	if x.route == nil {
		return "unknown"
	}
	return x.route.Kind.String()
}
