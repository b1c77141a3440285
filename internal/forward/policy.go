package forward

import (
	"time"

	"foxtailhub.example/foxtailhub/internal/generation"
	"foxtailhub.example/foxtailhub/internal/route"
)

// Result is how one attempt ended.
type Result int

// Results of an attempt.
const (
	NoResult      Result = iota // nothing was sent
	Answered                    // the upstream responded, with any status
	NotSent                     // no connection was established
	NotRun                      // the upstream states that it did not run the request
	Misdirected                 // another process has the address; it did not run the request
	Failed                      // the request may have run: connection reset, response truncated or invalid
	UpstreamError               // the upstream responded with an error of its own
)

// String returns the name used in logs.
func (r Result) String() string {
	return [...]string{"none", "answered", "not_sent", "not_run", "misplaced", "failed", "upstream_error"}[r]
}

// RequestState summarises the attempts of a request so far, as input for the decision on its
// next step.
type RequestState struct {
	Kind        route.Kind
	Resumable   bool
	MaxAttempts int           // upstreams that may run it
	MayHaveRun  int           // upstreams that may have run it
	Refused     int           // upstreams that could not be reached or did not run it
	Reached     int           // upstreams that received the request
	LastResult  Result        // of the last attempt
	TimeLeft    time.Duration // until its deadline
	Begun       bool          // the caller has a part of the answer
}

const (
	// maxRefusals bounds the upstreams that may refuse a request or be unreachable: if
	// that many are full or down, further ones probably are too.
	maxRefusals = 6
	// minAttemptTime is the shortest remaining time in which an upstream can respond.
	minAttemptTime = 10 * time.Millisecond
)

// canRunAgain reports whether a request that may have run may run again.
func (s RequestState) canRunAgain() bool {
	return s.Kind == route.Idempotent || s.Kind == route.Stream && s.Resumable
}

// ShouldRetry reports whether the request may be sent to another upstream.
func (s RequestState) ShouldRetry() bool {
	if s.TimeLeft < minAttemptTime {
		return false
	}
	if s.MayHaveRun == 0 {
		return s.Refused < maxRefusals
	}
	return s.canRunAgain() && s.MayHaveRun < s.MaxAttempts && s.Refused < maxRefusals
}

// retryUse returns what the next retry of the request is for.
func (s RequestState) retryUse() retryUse {
	if s.Kind == route.Stream && s.MayHaveRun > 0 {
		return resumption
	}
	return otherRetry
}

// MayResumeLater reports whether a request that may have run can resume later, although no
// upstream accepts it now.
func (s RequestState) MayResumeLater() bool {
	return s.MayHaveRun > 0 && s.canRunAgain() && s.MayHaveRun < s.MaxAttempts && s.TimeLeft >= minAttemptTime
}

// Retry-After values of an instance that has no configuration yet.
const (
	// retryAfterStartup is about the duration of the first read from the store.
	retryAfterStartup = 400 * time.Millisecond
	// retryAfterStoreUnreachable is for callers with enough time while the store is
	// unreachable: a caller with a deadline of 4.5 s can still be served in time
	// afterwards.
	retryAfterStoreUnreachable = 2 * time.Second
	// retryAfterShare bounds the wait to a fraction of the caller's deadline.
	retryAfterShare = 0.3
)

// NoConfigurationRetryAfter returns the Retry-After for a caller with a deadline at an instance
// that has no configuration.
func NoConfigurationRetryAfter(deadline time.Duration, storeUnreachable bool) time.Duration {
	if !storeUnreachable {
		return retryAfterStartup
	}
	if deadline <= 0 {
		return retryAfterStoreUnreachable
	}
	return min(retryAfterStoreUnreachable, time.Duration(retryAfterShare*float64(deadline)))
}

const (
	// pushbackSpread is the width of the random jitter, as a fraction of the time until
	// upstreams accept requests again: all refused callers would otherwise retry at the
	// same moment.
	pushbackSpread = 0.5
	// pushbackSpreadMin and pushbackSpreadMax bound the jitter.
	pushbackSpreadMin = 200 * time.Millisecond
	pushbackSpreadMax = time.Second
	// pushbackShare bounds the wait to a fraction of the caller's remaining time;
	// callers do not wait any longer.
	pushbackShare = 1.0 / 3
)

// PushbackRetryAfter returns the Retry-After for a caller with some time left when all
// upstreams of its service are in pushback. first is the time until the first of them accepts
// requests again, random is from [0, 1).
func PushbackRetryAfter(first, left time.Duration, random float64) time.Duration {
	spread := min(max(time.Duration(pushbackSpread*float64(first)), pushbackSpreadMin), pushbackSpreadMax)
	latest := min(first+spread, time.Duration(pushbackShare*float64(left)))
	return min(first, latest) + time.Duration(random*float64(max(0, latest-first)))
}

// Timeouts of stream monitoring.
const (
	// probeDelayMin and probeDelayMax bound the time without an event after which the
	// upstream of a stream is probed. With a KV copy the next event follows within
	// about 100 ms, so a stream whose gap target is 700 ms resumes in time.
	probeDelayMin = 220 * time.Millisecond
	probeDelayMax = 320 * time.Millisecond
	// probeTimeout bounds the response time of a live upstream to a probe: two round
	// trips and one batch step with a full prompt chunk.
	probeTimeout = 120 * time.Millisecond
	// prefillProbeInterval is the time between probes while the upstream prefills the
	// prompt.
	prefillProbeInterval = 400 * time.Millisecond
	// stallFactor times the gap target is the pause after which a stream moves although
	// its upstream responds to probes: the connection alone may be dead.
	stallFactor = 1.5
	// defaultGapTarget is the gap target of routes that set none.
	defaultGapTarget = time.Second
	// firstEventTimeout is the time without a first event after which the stream moves
	// although the upstream responds to probes.
	firstEventTimeout = 6 * time.Second
)

// StreamMonitor decides when the upstream of a stream is probed and when the stream moves to
// another upstream. It is a value that reads no clock.
type StreamMonitor struct {
	intervals       generation.IntervalEstimator
	gapTarget       time.Duration
	progressAt      time.Time // time of the last event, or the start of the attempt
	firstEventSeen  bool
	probeAt         time.Time
	stallExtendedAt time.Time // when the stall deadline was last extended
}

// NewStreamMonitor returns the monitor of an attempt.
func NewStreamMonitor(now time.Time, gapTarget time.Duration) StreamMonitor {
	if gapTarget <= 0 {
		gapTarget = defaultGapTarget
	}
	return StreamMonitor{gapTarget: gapTarget, progressAt: now, probeAt: now.Add(prefillProbeInterval)}
}

// ObserveEvent records an event that makes progress for the caller.
func (m *StreamMonitor) ObserveEvent(now time.Time) {
	if m.firstEventSeen {
		m.intervals.Observe(now.Sub(m.progressAt))
	}
	m.firstEventSeen = true
	m.progressAt = now
	m.probeAt = now.Add(min(max(m.intervals.SilenceTimeout(), probeDelayMin), probeDelayMax))
}

// ProbeSucceeded records that the upstream responded to a probe.
func (m *StreamMonitor) ProbeSucceeded(now time.Time) {
	if m.firstEventSeen && !m.stallExtendedAt.After(m.progressAt) {
		m.probeAt = now.Add(probeTimeout)
		return
	}
	m.probeAt = now.Add(prefillProbeInterval)
}

// ProbeUnanswered records that the upstream did not respond to a probe, but the stream stays.
func (m *StreamMonitor) ProbeUnanswered(now time.Time) { m.probeAt = now.Add(prefillProbeInterval) }

// ProbeNow schedules a probe immediately, because another stream lost this upstream.
func (m *StreamMonitor) ProbeNow(now time.Time) { m.probeAt = now }

// NextProbe returns the time of the next probe.
func (m *StreamMonitor) NextProbe() time.Time { return m.probeAt }

// SinceLastEvent returns the time since the last event, or since the start of the attempt.
func (m *StreamMonitor) SinceLastEvent(now time.Time) time.Duration { return now.Sub(m.progressAt) }

// ExtendStall restarts the stall timeout of a stalled stream that stays on its upstream.
func (m *StreamMonitor) ExtendStall(now time.Time) { m.stallExtendedAt = now }

// StallDeadline returns when the stream moves to another upstream although its own is alive.
func (m *StreamMonitor) StallDeadline() time.Time {
	from := m.progressAt
	if m.stallExtendedAt.After(from) {
		from = m.stallExtendedAt
	}
	if !m.firstEventSeen {
		return from.Add(firstEventTimeout)
	}
	return from.Add(time.Duration(stallFactor * float64(m.gapTarget)))
}

// hedgeShare is the fraction of the latency goal after which a call without a response
// is hedged, so that the second upstream can still respond in time.
const hedgeShare = 0.6

// suspectFactor times the latency goal is the time without a response after which an
// upstream is suspected. suspectDelayMin keeps ordinary slow responses from causing
// suspicion.
const (
	suspectFactor   = 2
	suspectDelayMin = 250 * time.Millisecond
)

// SuspectAfter returns the time without a response after which the upstream of a call is
// suspected.
func SuspectAfter(goal time.Duration) time.Duration { return max(suspectFactor*goal, suspectDelayMin) }

// HedgeDelay returns the time without a response after which a call is sent to a second
// upstream.
func HedgeDelay(goal, left time.Duration) time.Duration {
	if goal <= 0 {
		return left / 2
	}
	return min(time.Duration(hedgeShare*float64(goal)), left/2)
}
