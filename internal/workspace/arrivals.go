package workspace

import (
	"maps"
	"math"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

const (
	// arrivalWindow is the time constant of the moving average of arrival rates.
	// It is a few times the waits that are forecast with these rates.
	arrivalWindow = 10 * time.Second
	// minArrivalWindow is the shortest time over which the first arrivals are
	// averaged.
	minArrivalWindow = time.Second
	// arrivalExpiry is the time without arrivals after which a rate is dropped.
	arrivalExpiry = 5 * arrivalWindow
)

// flowID identifies the requests of one workspace and priority at a gate.
type flowID struct {
	workspace contract.WorkspaceID
	priority  upstream.Priority
}

// arrivalRate measures the arrival rate of a flow.
type arrivalRate struct {
	state        *state
	limited      bool // the workspace's share of slots applies
	weight       float64
	firstArrival time.Time
	lastArrival  time.Time
	count        float64 // exponentially decayed number of arrivals
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

// arrivalRates holds the rates of all flows of a gate. It is not safe for
// concurrent use.
type arrivalRates map[flowID]*arrivalRate

// add counts a request. When a flow is added, flows without recent arrivals and
// without waiting requests are removed.
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
