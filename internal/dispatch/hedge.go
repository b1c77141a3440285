package dispatch

import (
	"time"

	"foxtailhub.example/foxtailhub/internal/upstream"
)

const (
	// hedgeMinSamples is how many answers must have been observed before their
	// p95 is used.
	hedgeMinSamples = 20
	// hedgeMinDelay keeps services that answer within a millisecond from being
	// hedged on noise of the scheduler.
	hedgeMinDelay = 5 * time.Millisecond
)

// Latency summarises the observed answers of a service.
type Latency struct {
	Samples int64
	P95     time.Duration
}

// HedgeDelay returns how long to wait for an answer before the request is sent
// to a second upstream. Without an observed p95 it is half of the remaining
// time, so that a silent upstream alone does not use up the deadline. A suspect
// content is never hedged: it could crash two upstreams at once.
func HedgeDelay(observed Latency, remaining time.Duration, content upstream.Standing) (time.Duration, bool) {
	if content.Deaths > 0 || content.Quarantined || remaining <= 0 {
		return 0, false
	}
	half := remaining / 2
	if observed.Samples < hedgeMinSamples {
		return half, true
	}
	return min(max(observed.P95, hedgeMinDelay), half), true
}
