package instance

import (
	"sync/atomic"
	"time"
)

// State is the state of an instance in its life cycle.
type State string

// The states: starting -> ready <-> unready, and from each of them -> draining.
const (
	StateStarting State = "starting" // no configuration known yet
	StateReady    State = "ready"    // admits new work
	StateUnready  State = "unready"  // cannot confirm its configuration; work in progress goes on
	StateDraining State = "draining" // graceful shutdown; what still arrives is served
)

// lifecycleState returns the state for what is known.
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

// activity counts the requests in progress.
type activity struct {
	generations atomic.Int64
	calls       atomic.Int64
	lastRequest atomic.Int64 // Unix nanoseconds of the last begin or end of a request
}

// track counts a request until the returned function is called.
func (a *activity) track(counter *atomic.Int64) (end func()) {
	counter.Add(1)
	a.lastRequest.Store(time.Now().UnixNano())
	return func() {
		a.lastRequest.Store(time.Now().UnixNano())
		counter.Add(-1)
	}
}

// drainProgress is what the decision to exit is based on.
type drainProgress struct {
	startedAt         time.Time
	lastRequest       time.Time
	activeRequests    int64 // connections and calls in progress
	activeGenerations int64 // generations that run, with or without a caller
	linger            time.Duration
}

// mayExit decides whether a draining instance may exit: nothing is in progress
// and nothing has arrived for the linger time. The balancer keeps sending work
// until it has noticed that the instance is unready.
func mayExit(now time.Time, v drainProgress) bool {
	if v.activeRequests > 0 || v.activeGenerations > 0 {
		return false
	}
	idleSince := v.startedAt
	if v.lastRequest.After(idleSince) {
		idleSince = v.lastRequest
	}
	return now.Sub(idleSince) >= v.linger
}
