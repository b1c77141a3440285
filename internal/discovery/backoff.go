package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// backoffMin and backoffMax bound the delay after a failed call. The store charges
	// for calls during an outage too.
	backoffMin = 50 * time.Millisecond
	backoffMax = 600 * time.Millisecond
	// backoffUnsynced replaces backoffMax while a topic has never been read: until then
	// the instance cannot serve requests.
	backoffUnsynced = 300 * time.Millisecond
)

// Backoff delays the calls of all topics of an instance while the store fails: a
// failed call of any topic shows that the store is down. One call is sent at a time,
// the topics take turns, and the first successful call ends the backoff of all.
type Backoff struct {
	onChange func(failing bool) // called at the first failed call, and at the first successful one after it

	mu        sync.Mutex // guards the fields below
	failing   bool
	delay     time.Duration
	next      time.Time     // earliest time of the next call
	recovered chan struct{} // closed at the next successful call
}

// NewBackoff returns a backoff for a store that does not fail. onChange is called at the
// first failed call, and at the first successful one after it.
func NewBackoff(onChange func(failing bool)) *Backoff {
	return &Backoff{onChange: onChange, recovered: make(chan struct{})}
}

// Failing reports whether the last call failed.
func (b *Backoff) Failing() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failing
}

// Wait waits until a call is allowed, or until the context ends.
func (b *Backoff) Wait(ctx context.Context) {
	b.mu.Lock()
	if !b.failing {
		b.mu.Unlock()
		return
	}
	callAt := b.next
	if now := time.Now(); callAt.Before(now) {
		callAt = now
	}
	b.next = callAt.Add(b.delay)
	recovered := b.recovered
	b.mu.Unlock()
	timer := time.NewTimer(time.Until(callAt))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-recovered:
	case <-ctx.Done():
	}
}

// Failed records a failed call. unsynced means that its topic has never been read.
func (b *Backoff) Failed(unsynced bool) {
	if b.recordFailure(unsynced) {
		b.onChange(true)
	}
}

// recordFailure reports whether the previous call succeeded.
func (b *Backoff) recordFailure(unsynced bool) (first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first = !b.failing
	b.failing = true
	maxDelay := backoffMax
	if unsynced {
		maxDelay = backoffUnsynced
	}
	b.delay = min(max(2*b.delay, backoffMin), maxDelay)
	pause := b.delay/2 + rand.N(b.delay/2)
	if next := time.Now().Add(pause); next.After(b.next) {
		b.next = next
	}
	return first
}

// Succeeded records a successful call.
func (b *Backoff) Succeeded() {
	if b.recordSuccess() {
		b.onChange(false)
	}
}

// recordSuccess reports whether the previous call failed.
func (b *Backoff) recordSuccess() (wasFailing bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.failing {
		return false
	}
	b.failing, b.delay, b.next = false, 0, time.Time{}
	close(b.recovered)
	b.recovered = make(chan struct{})
	return true
}
