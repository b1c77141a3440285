package dispatch

import (
	"sync"
	"time"
)

// breakerPause is the time between two attempts to use a failing table
// service. It bounds how many calls wait for the timeout of a service that
// hangs, and how long calls are refused after it has recovered.
const breakerPause = 500 * time.Millisecond

// breaker lets one call at a time try the table service while it fails, so
// that all others are refused immediately instead of after a timeout.
type breaker struct {
	mu      sync.Mutex // guards the fields below
	failing bool
	next    time.Time
}

// allow reports whether a call may use the table service, else when to retry.
func (b *breaker) allow(now time.Time) (retryAfter time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.failing {
		return 0, true
	}
	if now.Before(b.next) {
		return b.next.Sub(now), false
	}
	b.next = now.Add(breakerPause)
	return 0, true
}

// report tells how a use of the table service ended.
func (b *breaker) report(ok bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failing = !ok
	if !ok {
		b.next = now.Add(breakerPause)
	}
}
