package pool

import (
	"sync/atomic"
	"time"

	"foxtailhub.example/foxtailhub/internal/fleetrate"
)

// noticeDelay is the time that a notice of another instance may take. A response that this
// instance got within that time is taken for the newer information.
const noticeDelay = time.Second

// RequestRate is what a response of an upstream states about the rate of requests that
// the upstream takes from all instances together. The zero value means that the response
// states no rate.
type RequestRate struct {
	Stated    bool
	Invalid   bool    // the response has a rate that cannot be read, and no other
	PerSecond float64 // at least 0; meaningless unless Stated
}

// RateChange is how a response, or a notice of another instance, changed the limit of an
// upstream.
type RateChange int

// Changes of a limit.
const (
	RateUnchanged RateChange = iota
	RateStarted
	RateChanged
	RateEnded
)

// String returns the name used in logs.
func (c RateChange) String() string {
	return [...]string{"unchanged", "started", "changed", "ended"}[c]
}

// rateLimit is the request rate that an upstream states, and the part of it that this
// instance may use. It is immutable.
type rateLimit struct {
	perSecond float64
	statedAt  time.Time        // of the last response or notice that stated it
	noticed   bool             // that was a notice
	fleet     *fleetrate.Fleet // from which the rank was derived
	rank      fleetrate.Rank
	pacer     fleetrate.Pacer
}

// RateLimit describes the request rate of an upstream and this instance's part of it.
type RateLimit struct {
	PerSecond float64
	Age       time.Duration // since it was last stated
	Part      fleetrate.Allotment
}

// rateLimiter holds the rate limit of one upstream.
type rateLimiter struct {
	upstreamID string
	fleet      *atomic.Pointer[fleetrate.Fleet] // of the pool
	limit      atomic.Pointer[rateLimit]        // nil: no rate is stated
}

// current returns the limit with the part by the present fleet, nil if there is none.
func (l *rateLimiter) current(now time.Time) *rateLimit {
	for {
		old := l.limit.Load()
		fleet := l.fleet.Load()
		if old == nil || old.fleet == fleet {
			return old
		}
		next := *old
		next.fleet, next.rank = fleet, fleet.Rank(l.upstreamID)
		next.pacer = old.pacer.With(now, fleetrate.Divide(old.perSecond, next.rank, fleet.SettledAt))
		if l.limit.CompareAndSwap(old, &next) {
			return &next
		}
	}
}

// update replaces the limit by step's result until no concurrent update interferes.
func (l *rateLimiter) update(now time.Time, step func(current *rateLimit) (next *rateLimit)) {
	for {
		old := l.current(now)
		if next := step(old); next == old || l.limit.CompareAndSwap(old, next) {
			return
		}
	}
}

// set records a rate that a response or a notice states.
func (l *rateLimiter) set(now time.Time, perSecond float64, noticed bool) (change RateChange) {
	l.update(now, func(old *rateLimit) *rateLimit {
		next := &rateLimit{perSecond: perSecond, statedAt: now, noticed: noticed}
		if old == nil {
			change = RateStarted
			next.fleet = l.fleet.Load()
			next.rank = next.fleet.Rank(l.upstreamID)
			next.pacer = fleetrate.NewPacer(now, fleetrate.Divide(perSecond, next.rank, next.fleet.SettledAt))
			return next
		}
		change = RateUnchanged
		if old.perSecond != perSecond {
			change = RateChanged
		}
		next.fleet, next.rank = old.fleet, old.rank
		next.pacer = old.pacer.With(now, fleetrate.Divide(perSecond, old.rank, old.fleet.SettledAt))
		return next
	})
	return change
}

// ObserveRate records the rate in a response to a request that was sent at a time. A
// response without a rate ends the limit, unless the rate was stated after the request
// was sent: that response may be the older one. An invalid rate changes nothing.
func (l *rateLimiter) ObserveRate(now, sentAt time.Time, rate RequestRate) (change RateChange) {
	switch {
	case rate.Invalid:
		return RateUnchanged
	case rate.Stated:
		return l.set(now, rate.PerSecond, false)
	}
	l.update(now, func(old *rateLimit) *rateLimit {
		change = RateUnchanged
		if old == nil || old.statedAt.After(sentAt) {
			return old
		}
		change = RateEnded
		return nil
	})
	return change
}

// ApplyRateNotice applies a notice of another instance that the upstream states a rate.
func (l *rateLimiter) ApplyRateNotice(now time.Time, perSecond float64) RateChange {
	if current := l.limit.Load(); current != nil && !current.noticed && now.Sub(current.statedAt) < noticeDelay {
		return RateUnchanged
	}
	return l.set(now, perSecond, true)
}

// ApplyRateEnd applies a notice of another instance that the upstream no longer states a rate.
// A holder that got the rate a moment ago waits for its own next response instead.
func (l *rateLimiter) ApplyRateEnd(now time.Time) (change RateChange) {
	l.update(now, func(old *rateLimit) *rateLimit {
		change = RateUnchanged
		if old == nil || old.pacer.Allotment().Holder && now.Sub(old.statedAt) < noticeDelay {
			return old
		}
		change = RateEnded
		return nil
	})
	return change
}

// RateLimit returns the limit of the upstream. ok is false if it states no rate.
func (l *rateLimiter) RateLimit(now time.Time) (limit RateLimit, ok bool) {
	current := l.current(now)
	if current == nil {
		return RateLimit{}, false
	}
	return RateLimit{PerSecond: current.perSecond, Age: now.Sub(current.statedAt), Part: current.pacer.Allotment()}, true
}

// TakeRequest takes one request from this instance's part of the rate. It returns false
// if none may be sent now, and always true without a limit.
func (l *rateLimiter) TakeRequest(now time.Time) (ok bool) {
	l.update(now, func(old *rateLimit) *rateLimit {
		if ok = old == nil; ok {
			return nil
		}
		pacer, may := old.pacer.Take(now)
		if ok = may; !may {
			return old
		}
		next := *old
		next.pacer = pacer
		return &next
	})
	return ok
}

// ChargeRequest counts a request against this instance's part that is sent in any case; it
// delays the following ones.
func (l *rateLimiter) ChargeRequest(now time.Time) {
	l.update(now, func(old *rateLimit) *rateLimit {
		if old == nil {
			return nil
		}
		next := *old
		next.pacer = old.pacer.Charge(now)
		return &next
	})
}

// untilRequest returns the time until a request may be sent, never if that is unknown.
func (l *rateLimiter) untilRequest(now time.Time) time.Duration {
	current := l.current(now)
	if current == nil {
		return 0
	}
	at, ok := current.pacer.NextAt(now)
	if !ok {
		return never
	}
	return max(0, at.Sub(now))
}
