package storesync

import (
	"github.com/prometheus/client_golang/prometheus"

	"foxtailhub.example/foxtailhub/internal/discovery"
)

// Metrics counts requests to peers and their updates that were not applied, and exposes the source
// of updates. Label values are fixed sets.
type Metrics struct {
	requests *prometheus.CounterVec
	dropped  *prometheus.CounterVec
	reading  prometheus.Gauge
}

// NewMetrics registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailhub_news_questions_total", Help: "Questions to peers for news of the store, by outcome.",
		}, []string{"outcome"}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailhub_news_dropped_total", Help: "Updates of topics from peers that were not applied, by reason.",
		}, []string{"reason"}),
		reading: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "foxtailhub_news_reads_store", Help: "1 while the instance reads the store, 0 while it follows a peer.",
		}),
	}
	m.reading.Set(1)
	registry.MustRegister(m.requests, m.dropped, m.reading)
	return m
}

func (m *Metrics) countRequest(outcome string) { m.requests.WithLabelValues(outcome).Inc() }

func (m *Metrics) countDropped(reason discovery.DropReason) {
	if reason != discovery.NotDropped {
		m.dropped.WithLabelValues(string(reason)).Inc()
	}
}

func (m *Metrics) setSource(source dataSource) {
	m.reading.Set(0)
	if source.readStore {
		m.reading.Set(1)
	}
}
