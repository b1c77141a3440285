package workspace

import (
	"maps"
	"math"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

const (
	// arrivalWindow is the time over which a rate of arrivals is averaged. It is
	// a few times the waits that are forecast with it.
	arrivalWindow = 10 * time.Second
	// minArrivalWindow is the least time over which the first arrivals count.
	minArrivalWindow = time.Second
	// arrivalExpiry is when a rate without arrivals is forgotten.
	arrivalExpiry = 5 * arrivalWindow
)

// flowID names the requests of one workspace and priority at a gate.
type flowID struct {
	workspace contract.WorkspaceID
	priority  upstream.Priority
}

// arrivalRate measures the rate at which the requests of a stream arrive.
type arrivalRate struct {
	state        *state
	limited      bool // the share of the workspace applies
	weight       float64
	firstArrival time.Time
	lastArrival  time.Time
	count        float64 // arrivals, of which the older ones count exponentially less
}

func (a *arrivalRate) add(now time.Time) {
	a.count = a.countAt(now) + 1
	a.lastArrival = now
}

func (a *arrivalRate) countAt(now time.Time) float64 {
	return a.count * math.Exp(-now.Sub(a.lastArrival).Seconds()/arrivalWindow.Seconds())
}

// rate returns the arrivals per second.
func (a *arrivalRate) rate(now time.Time) float64 {
	age := max(now.Sub(a.firstArrival), minArrivalWindow).Seconds() / arrivalWindow.Seconds()
	return a.countAt(now) / (arrivalWindow.Seconds() * (1 - math.Exp(-age)))
}

// arrivalRates measures all streams of a gate. It is not safe for concurrent use.
type arrivalRates map[flowID]*arrivalRate

// add counts a request. A new stream takes the place of those that have ended:
// without arrivals of late, and not held by the queue.
func (r arrivalRates) add(e entry, now time.Time, hasWaiting func(flowID) bool) {
	key := flowID{workspace: e.state.id, priority: e.priority}
	arrival := r[key]
	if arrival == nil {
		maps.DeleteFunc(r, func(other flowID, a *arrivalRate) bool {
			return now.Sub(a.lastArrival) > arrivalExpiry && !hasWaiting(other)
		})
		arrival = &arrivalRate{firstArrival: now, lastArrival: now}
		r[key] = arrival
	}
	arrival.state = e.state
	arrival.limited = !e.exemptFromShare()
	arrival.weight = e.weight
	arrival.add(now)
}
