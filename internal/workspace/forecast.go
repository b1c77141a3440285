package workspace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// competitor is what another workspace, or another priority of the same one,
// puts before a waiting request.
type competitor struct {
	waiting    int     // requests that wait and have an earlier turn
	rate       float64 // requests expected per second
	maxEarlier float64 // how many of those can have an earlier turn; +Inf for a higher priority
	maxRate    float64 // requests per second that its own limit lets through; +Inf without one
}

// admittedWithin returns how many requests of the competitor are expected to be
// admitted in the first seconds of a wait of that length, and the variance of
// this number: arrivals vary like a Poisson process until the turns run out.
func (c competitor) admittedWithin(seconds float64) (expected, variance float64) {
	expected = float64(c.waiting)
	if arriving := c.rate * seconds; arriving < c.maxEarlier {
		expected += arriving
		variance = arriving
	} else {
		expected += c.maxEarlier
	}
	if admissible := c.maxRate * seconds; admissible < expected {
		return admissible, 0
	}
	return expected, variance
}

// forecast predicts when a request gets its turn: after its workspace's
// earlier requests and what the competitors put before it.
type forecast struct {
	workspaceLimit bool          // the place is one of the workspace's own limit
	overCapacity   int           // places that come free before one is given to a request
	ownAhead       int           // earlier requests of the workspace that wait
	slotInterval   time.Duration // mean time between two places that come free
	dispersion     float64       // variance by mean of the number of places that come free in a time
	competitors    []competitor
}

const (
	// waitPrecision ends the search for an expected wait.
	waitPrecision = time.Millisecond
	// maxWait bounds the search. Competitors of a higher priority that take all
	// places would make the wait infinite, but their rate is known only from the
	// last seconds.
	maxWait = time.Minute
)

// fullExcess is by how much of its fair share a stream's rate exceeds the share
// when the full margin applies to it.
const fullExcess = 0.25

// flowRate is the rate at which the requests of a stream arrive, by its weight.
type flowRate struct{ rate, weight float64 }

func (d flowRate) level() float64 { return d.rate / d.weight }

// shareExcess returns how far a stream is above its fair share of the places that
// come free per second: 0 up to the share, 1 from fullExcess above it. Streams
// below the fair level get what they ask for, the others share the rest by weight.
func shareExcess(own flowRate, others []flowRate, perSecond float64) float64 {
	all := append([]flowRate{own}, others...)
	slices.SortFunc(all, func(a, b flowRate) int { return cmp.Compare(a.level(), b.level()) })
	weights := 0.0
	for _, d := range all {
		weights += d.weight
	}
	for _, d := range all {
		fair := max(0, perSecond) / weights
		if d.level() <= fair {
			perSecond -= d.rate
			weights -= d.weight
			continue
		}
		return min(max(0, own.level()/max(fair, math.SmallestNonzeroFloat64)-1)/fullExcess, 1)
	}
	return 0
}

// margin is a safety margin in standard deviations: of the requests that arrive
// and of the places that come free in a time.
type margin struct{ arrivals, slots float64 }

// interpolate returns the margin at the given part of the way to the other.
func (m margin) interpolate(other margin, part float64) margin {
	return margin{
		arrivals: m.arrivals + part*(other.arrivals-m.arrivals),
		slots:    m.slots + part*(other.slots-m.slots),
	}
}

// within reports whether the turn is expected within the time, with a margin.
//
// The expected number of requests with an earlier turn is concave in the time
// and that of freed places is linear, so places that are expected to suffice
// suffice for all longer times.
func (f forecast) within(d time.Duration, m margin) bool {
	if f.slotInterval <= 0 {
		return true
	}
	seconds := d.Seconds()
	freed := seconds / f.slotInterval.Seconds()
	ahead := float64(f.overCapacity + f.ownAhead + 1)
	variance := 0.0
	for _, c := range f.competitors {
		expected, varies := c.admittedWithin(seconds)
		ahead += expected
		variance += varies
	}
	safety := m.arrivals*math.Sqrt(variance) + m.slots*math.Sqrt(f.dispersion*freed)
	return ahead+safety <= freed
}

// wait returns the expected wait.
func (f forecast) wait() time.Duration {
	if f.slotInterval <= 0 {
		return 0
	}
	low, high := time.Duration(0), f.slotInterval
	for !f.within(high, margin{}) {
		if high >= maxWait {
			return maxWait
		}
		low, high = high, min(2*high, maxWait)
	}
	for high-low > waitPrecision {
		middle := (low + high) / 2
		if f.within(middle, margin{}) {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}
