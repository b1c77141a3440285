package placement

import "time"

const (
	// minPolledToRefuse is how many engines have to be without room before a prompt is refused: a few
	// full ones say little about the others.
	minPolledToRefuse = 8
	// returnShare is the share of its time that a caller has left at least when it is told to return:
	// one that has returned before is not refused again.
	returnShare = 0.9
	// returnMin and returnSpread are the time after which refused callers return. A run takes some
	// seconds, so a good part of the present ones have ended then; the spread keeps callers
	// that were refused in a burst from returning as one.
	returnMin    = 2 * time.Second
	returnSpread = 3 * time.Second
)

// Arrival is a new prompt that was to be placed.
type Arrival struct {
	Fits       bool // a polled engine has room for it
	Polled     int  // engines that have reported
	MostUrgent bool // no requests of the service are more urgent, by the configuration
	Begun      bool // it was sent before, or its caller has a part of the answer
	TimeLeft   time.Duration
	Timeout    time.Duration // of the route
}

// Refused reports whether the prompt is refused so that more urgent ones find room. The load it
// answers: a burst that fills the KV memory of all engines. Prompts that are placed nevertheless
// preempt runs, and those in the queues keep out the urgent ones. Where the configuration
// tells no priorities apart, none is refused.
func (a Arrival) Refused() bool {
	if a.Fits || a.MostUrgent || a.Begun || a.Polled < minPolledToRefuse {
		return false
	}
	return float64(a.TimeLeft) >= returnShare*float64(a.Timeout)
}

// ReturnAfter returns when the caller of a refused prompt may return. draw is from [0, 1).
func ReturnAfter(draw float64) time.Duration {
	return returnMin + time.Duration(draw*float64(returnSpread))
}
