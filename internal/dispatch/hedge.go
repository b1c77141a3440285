package dispatch

import (
	"time"

	"foxtailhub.example/foxtailhub/internal/upstream"
)

const (
	// hedgeMinSamples is the number of responses required before their p95 is
	// used.
	hedgeMinSamples = 20
	// hedgeMinDelay prevents hedges caused by scheduling jitter for services
	// that respond within a millisecond.
	hedgeMinDelay = 5 * time.Millisecond
)

// LatencySummary summarises the response times of a service.
type LatencySummary struct {
	Samples int64
	P95     time.Duration
}

// HedgeDelay returns how long to wait for a response before the request is sent
// to a second upstream, or false if it must not be hedged. Without enough
// samples the delay is half of the remaining time, so that one silent upstream
// does not use up the deadline. Content blamed for a crash is never hedged: it
// could crash two upstreams at once.
func HedgeDelay(observed LatencySummary, remaining time.Duration, contentStatus upstream.ContentStatus) (time.Duration, bool) {
	if contentStatus.Crashes > 0 || contentStatus.Quarantined || remaining <= 0 {
		return 0, false
	}
	half := remaining / 2
	if observed.Samples < hedgeMinSamples {
		return half, true
	}
	return min(max(observed.P95, hedgeMinDelay), half), true
}
