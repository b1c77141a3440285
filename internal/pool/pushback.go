package pool

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxPushback bounds the Retry-After of a response, so that a wrong number does not
	// keep an upstream out of use for good.
	maxPushback = 10 * time.Minute
	// pushbackJitter is the largest random share of the Retry-After that is added to it,
	// so that the instances do not retry at the same moment.
	pushbackJitter = 0.25
	// maxPushbackJitter bounds the jitter.
	maxPushbackJitter = time.Second
	// trialSuccesses is how many requests an upstream has to accept after its
	// Retry-After has passed before it gets as many as other upstreams.
	trialSuccesses = 3
	// trialPause is the time after which another trial request is sent although the
	// previous one has not ended: streams last for seconds.
	trialPause = time.Second
	// minRetryAfter is the retry-after time for callers while upstreams get trial
	// requests.
	minRetryAfter = 100 * time.Millisecond
)

// pushback limits the requests to an upstream that refused one with a Retry-After.
// Until then the upstream gets no request, except one stream that resumes from a KV copy
// there. Afterwards it gets one trial request, and two more for each accepted one, until
// it has accepted trialSuccesses (half-open).
//
// Under overload, most upstreams of a service refuse requests for seconds; without
// trial requests, all instances would retry at once and be refused again.
// A pushback is immutable.
type pushback struct {
	until          time.Time
	resumed        bool // a stream was resumed there before then
	trialsStarted  int  // trial requests sent after that
	trialsAccepted int  // of these, accepted
	lastStart      time.Time
}

// newPushback returns the pushback after a refusal. draw is a random number from [0, 1)
// for the jitter.
func newPushback(now time.Time, retryAfter time.Duration, draw float64) pushback {
	retryAfter = min(retryAfter, maxPushback)
	jitter := min(time.Duration(pushbackJitter*float64(retryAfter)), maxPushbackJitter)
	return pushback{until: now.Add(retryAfter + time.Duration(draw*float64(jitter)))}
}

// remaining returns the time until the upstream may get a trial request.
func (p pushback) remaining(now time.Time) time.Duration { return max(0, p.until.Sub(now)) }

// blocks reports whether the upstream gets no further request now.
func (p pushback) blocks(now time.Time) bool {
	return p.remaining(now) > 0 || p.trialsStarted > 2*p.trialsAccepted && now.Sub(p.lastStart) < trialPause
}

// start returns the pushback after a request is sent.
func (p pushback) start(now time.Time) pushback {
	if p.remaining(now) > 0 {
		p.resumed = true
		return p
	}
	p.trialsStarted++
	p.lastStart = now
	return p
}

// accept returns the pushback after a request was accepted; finished means that the
// upstream gets as many requests as others again.
func (p pushback) accept(now time.Time) (next pushback, finished bool) {
	if p.trialsStarted == 0 {
		return p, false // it was sent before the refusal
	}
	p.trialsAccepted++
	return p, p.trialsAccepted >= trialSuccesses
}

// StartPushback records that the upstream refused a request with a Retry-After. The
// end of a pushback only moves later.
func (o *observations) StartPushback(now time.Time, retryAfter time.Duration) {
	next := newPushback(now, retryAfter, rand.Float64())
	for {
		old := o.pushback.Load()
		if old != nil && old.until.After(next.until) || o.pushback.CompareAndSwap(old, &next) {
			return
		}
	}
}

// Started records a request that is sent to the upstream.
func (o *observations) Started(now time.Time) {
	o.updatePushback(func(p pushback) (pushback, bool) { return p.start(now), false })
}

// Accepted records a request that the upstream accepted: it got a response, or produced
// its first event.
func (o *observations) Accepted(now time.Time) {
	o.Heard(now)
	o.updatePushback(func(p pushback) (pushback, bool) { return p.accept(now) })
}

func (o *observations) updatePushback(step func(pushback) (next pushback, finished bool)) {
	for {
		old := o.pushback.Load()
		if old == nil {
			return
		}
		next, finished := step(*old)
		replacement := &next
		if finished {
			replacement = nil
		}
		if o.pushback.CompareAndSwap(old, replacement) {
			return
		}
	}
}

// InPushback reports whether the Retry-After of the upstream has not passed yet.
func (o *observations) InPushback(now time.Time) bool {
	p := o.pushback.Load()
	return p != nil && p.remaining(now) > 0
}

// RetryAfter returns the time until the first of the upstreams accepts a request again,
// by its Retry-After and its request rate. ok is false if an upstream accepts requests now,
// or if the time of none is known.
func RetryAfter(members []*Member, now time.Time) (retryAfter time.Duration, ok bool) {
	retryAfter = never
	for _, c := range candidatesAt(members, now) {
		if c.Leaving || c.Replaced {
			continue
		}
		if !c.InPushback && c.UntilRequest == 0 {
			return 0, false
		}
		retryAfter = min(retryAfter, max(c.PushbackRemaining, c.UntilRequest, minRetryAfter))
	}
	return retryAfter, retryAfter != never
}

// HoldsBack reports whether the request rate of one of the upstreams allows no request now.
func HoldsBack(members []*Member, now time.Time) bool {
	return slices.ContainsFunc(members, func(m *Member) bool { return m.untilRequest(now) > 0 })
}
