package dispatch

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Bounds of the latency histograms. A histogram of this range and precision
// takes 2.2 KB (Histogram.ByteSize); each service has two.
const (
	latencyMin         = int64(100) // microseconds
	latencyMax         = int64(60_000_000)
	latencyDigits      = 1
	latencyWindow      = 30 * time.Second
	latencyRefresh     = time.Second
	latencyMaxServices = 256 // further services are not tracked
	latencyQuantile    = 95
)

// latencyTracker tracks the response times of each service.
type latencyTracker struct {
	mu       sync.Mutex // guards services; not held while a histogram is used
	services map[contract.ServiceID]*serviceLatency
}

type serviceLatency struct {
	mu           sync.Mutex // guards the fields below
	current      *hdrhistogram.Histogram
	previous     *hdrhistogram.Histogram
	rotatedAt    time.Time
	summary      LatencySummary
	summarizedAt time.Time
}

func newLatencyTracker() *latencyTracker {
	return &latencyTracker{services: map[contract.ServiceID]*serviceLatency{}}
}

func (l *latencyTracker) forService(service contract.ServiceID, now time.Time) *serviceLatency {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.services[service]
	if !ok && len(l.services) < latencyMaxServices {
		s = &serviceLatency{
			current:   hdrhistogram.New(latencyMin, latencyMax, latencyDigits),
			previous:  hdrhistogram.New(latencyMin, latencyMax, latencyDigits),
			rotatedAt: now,
		}
		l.services[service] = s
	}
	return s
}

func (l *latencyTracker) observe(service contract.ServiceID, d time.Duration, now time.Time) {
	s := l.forService(service, now)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	us := min(max(d.Microseconds(), latencyMin), latencyMax)
	_ = s.current.RecordValue(us) // in range
}

func (l *latencyTracker) summary(service contract.ServiceID, now time.Time) LatencySummary {
	s := l.forService(service, now)
	if s == nil {
		return LatencySummary{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if now.Sub(s.summarizedAt) >= latencyRefresh || s.summary.Samples < hedgeMinSamples {
		s.summarizedAt = now
		s.summary = s.summarize()
	}
	return s.summary
}

func (s *serviceLatency) rotate(now time.Time) {
	if now.Sub(s.rotatedAt) < latencyWindow {
		return
	}
	s.current, s.previous = s.previous, s.current
	s.current.Reset()
	s.rotatedAt = now
}

// summarize uses the window with more samples instead of merging both. Right
// after a rotation that is the previous window.
func (s *serviceLatency) summarize() LatencySummary {
	h := s.current
	if s.previous.TotalCount() > h.TotalCount() {
		h = s.previous
	}
	p95 := time.Duration(h.ValueAtQuantile(latencyQuantile)) * time.Microsecond
	return LatencySummary{Samples: h.TotalCount(), P95: p95}
}
