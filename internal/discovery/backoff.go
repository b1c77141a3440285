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

// Backoff is the backoff that all topics of an instance share while the store fails: a
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
func (p *Backoff) Failing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failing
}

// Wait waits until a call is allowed, or until the context ends.
func (p *Backoff) Wait(ctx context.Context) {
	p.mu.Lock()
	if !p.failing {
		p.mu.Unlock()
		return
	}
	turn := p.next
	if now := time.Now(); turn.Before(now) {
		turn = now
	}
	p.next = turn.Add(p.delay)
	recovered := p.recovered
	p.mu.Unlock()
	timer := time.NewTimer(time.Until(turn))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-recovered:
	case <-ctx.Done():
	}
}

// Failed records a failed call. unsynced means that its topic has never been read.
func (p *Backoff) Failed(unsynced bool) {
	if p.recordFailure(unsynced) {
		p.onChange(true)
	}
}

// recordFailure reports whether the previous call succeeded.
func (p *Backoff) recordFailure(unsynced bool) (first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first = !p.failing
	p.failing = true
	maxDelay := backoffMax
	if unsynced {
		maxDelay = backoffUnsynced
	}
	p.delay = min(max(2*p.delay, backoffMin), maxDelay)
	pause := p.delay/2 + rand.N(p.delay/2)
	if next := time.Now().Add(pause); next.After(p.next) {
		p.next = next
	}
	return first
}

// Succeeded records a successful call.
func (p *Backoff) Succeeded() {
	if p.recordSuccess() {
		p.onChange(false)
	}
}

// recordSuccess reports whether the previous call failed.
func (p *Backoff) recordSuccess() (wasFailing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.failing {
		return false
	}
	p.failing, p.delay, p.next = false, 0, time.Time{}
	close(p.recovered)
	p.recovered = make(chan struct{})
	return true
}
