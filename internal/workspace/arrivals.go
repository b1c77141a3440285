package workspace

import (
	"maps"
	"math"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

const (
	// arrivalMemory is the time over which a rate of arrivals is averaged. It is
	// a few times the waits that are forecast with it.
	arrivalMemory = 10 * time.Second
	// arrivalStart is the least time over which the first arrivals count.
	arrivalStart = time.Second
	// arrivalForgotten is when a rate without arrivals is forgotten.
	arrivalForgotten = 5 * arrivalMemory
)

// stream names the requests of one workspace and priority at a gate.
type stream struct {
	workspace contract.WorkspaceID
	priority  upstream.Priority
}

// arrivals measures the rate at which the requests of a stream arrive.
type arrivals struct {
	state   *state
	limited bool // the share of the workspace applies
	weight  float64
	since   time.Time
	last    time.Time
	count   float64 // arrivals, of which the older ones count exponentially less
}

func (a *arrivals) add(now time.Time) {
	a.count = a.at(now) + 1
	a.last = now
}

func (a *arrivals) at(now time.Time) float64 {
	return a.count * math.Exp(-now.Sub(a.last).Seconds()/arrivalMemory.Seconds())
}

// rate returns the arrivals per second.
func (a *arrivals) rate(now time.Time) float64 {
	age := max(now.Sub(a.since), arrivalStart).Seconds() / arrivalMemory.Seconds()
	return a.at(now) / (arrivalMemory.Seconds() * (1 - math.Exp(-age)))
}

// arrivalRates measures all streams of a gate. It is not safe for concurrent use.
type arrivalRates map[stream]*arrivals

// add counts a request. A new stream takes the place of those that have ended:
// without arrivals of late, and not held by the queue.
func (r arrivalRates) add(e entry, now time.Time, held func(stream) bool) {
	key := stream{workspace: e.state.id, priority: e.priority}
	known := r[key]
	if known == nil {
		maps.DeleteFunc(r, func(other stream, a *arrivals) bool {
			return now.Sub(a.last) > arrivalForgotten && !held(other)
		})
		known = &arrivals{since: now, last: now}
		r[key] = known
	}
	known.state = e.state
	known.limited = !e.exempt()
	known.weight = e.weight
	known.add(now)
}
