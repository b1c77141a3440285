package workspace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// competitor is another flow whose requests may be admitted before a waiting
// request.
type competitor struct {
	waiting    int     // queued requests that are ordered earlier
	rate       float64 // requests expected per second
	maxEarlier float64 // how many of the expected requests can be ordered earlier; +Inf for a higher priority
	maxRate    float64 // requests per second that its own limit admits; +Inf without a limit
}

// admittedWithin returns the expected number of the competitor's requests that
// are admitted in the given first seconds of the wait, and the variance of this
// number: arrivals are modeled as a Poisson process, up to maxEarlier.
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

// forecast predicts when a request is admitted: after the earlier requests of
// its own workspace and those of the competitors.
type forecast struct {
	workspaceLimit bool          // the request waits for a slot of its workspace's limit
	overCapacity   int           // slots that must be released before one is given to a request
	ownAhead       int           // earlier waiting requests of the workspace
	slotInterval   time.Duration // mean time between two released slots
	dispersion     float64       // ratio of variance to mean of the number of slots released in a period
	competitors    []competitor
}

const (
	// waitPrecision is the precision of an expected wait.
	waitPrecision = time.Millisecond
	// maxWait bounds the search. Competitors of a higher priority that take all
	// slots would make the wait infinite, but their rate is estimated only from
	// the last seconds.
	maxWait = time.Minute
)

// fullExcess is the relative excess of a flow's arrival rate over its fair
// share at which the full margin applies.
const fullExcess = 0.25

// flowRate is the arrival rate of a flow and the weight of its workspace.
type flowRate struct{ rate, weight float64 }

func (f flowRate) level() float64 { return f.rate / f.weight }

// shareExcess returns how far a flow exceeds its fair share of the slots
// released per second: 0 up to the share, 1 from fullExcess above it. Shares
// are max-min fair: flows below the fair level get their full rate, the others
// divide the remainder by weight.
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

// margin is a safety margin in standard deviations of the number of arrivals
// and of the number of slots released in a period.
type margin struct{ arrivals, slots float64 }

// interpolate returns the margin between m (part 0) and other (part 1).
func (m margin) interpolate(other margin, part float64) margin {
	return margin{
		arrivals: m.arrivals + part*(other.arrivals-m.arrivals),
		slots:    m.slots + part*(other.slots-m.slots),
	}
}

// within reports whether the request is expected to be admitted within d, with
// a margin.
//
// The expected number of earlier requests is concave in time and that of
// released slots is linear. If the slots are expected to suffice at d, they
// therefore suffice for all longer times.
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
