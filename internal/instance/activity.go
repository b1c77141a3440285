package instance

import (
	"sync/atomic"
	"time"
)

// State is the state of an instance in its life cycle.
type State string

// Transitions: starting -> ready <-> unready, and any of them -> draining.
const (
	StateStarting State = "starting" // no configuration loaded yet
	StateReady    State = "ready"    // admits new work
	StateUnready  State = "unready"  // cannot confirm its configuration; requests in progress continue
	StateDraining State = "draining" // graceful shutdown; new requests are still served
)

// lifecycleState derives the state from the drain, the configuration and its confirmation.
func lifecycleState(draining, versionKnown, confirmed bool) State {
	switch {
	case draining:
		return StateDraining
	case !versionKnown:
		return StateStarting
	case confirmed:
		return StateReady
	default:
		return StateUnready
	}
}

// activity tracks the requests in progress.
type activity struct {
	generations atomic.Int64
	calls       atomic.Int64
	lastRequest atomic.Int64 // Unix nanoseconds of the last start or end of a request
}

// track counts a request as in progress until the returned function is called.
func (a *activity) track(counter *atomic.Int64) (end func()) {
	counter.Add(1)
	a.lastRequest.Store(time.Now().UnixNano())
	return func() {
		a.lastRequest.Store(time.Now().UnixNano())
		counter.Add(-1)
	}
}

// drainProgress is the input of mayExit.
type drainProgress struct {
	startedAt      time.Time
	lastRequest    time.Time
	activeRequests int64 // requests of connected callers
	running        runningWork
	linger         time.Duration
}

// runningWork is what runs with or without a connected caller.
type runningWork struct {
	generations int
	calls       int
}

// mayExit reports whether a draining instance may exit: no request is in
// progress and none has arrived for the linger time. The load balancer keeps
// sending requests until its health check has seen that the instance is unready.
func mayExit(now time.Time, progress drainProgress) bool {
	if progress.activeRequests > 0 || progress.running != (runningWork{}) {
		return false
	}
	idleSince := progress.startedAt
	if progress.lastRequest.After(idleSince) {
		idleSince = progress.lastRequest
	}
	return now.Sub(idleSince) >= progress.linger
}
