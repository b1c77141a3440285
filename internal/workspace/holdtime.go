package workspace

import "time"

const (
	// holdWeight is the weight of the newest observation in the mean hold time of
	// slots. If the standard deviation of hold times equals their mean, the
	// estimate is accurate to about 10%.
	holdWeight = 0.02
	// holdSamples is the number of observations up to which all have the same
	// weight.
	holdSamples = 1 / holdWeight
	// minDispersion accounts for slots that are released in bursts even if hold
	// times are equal: requests that were admitted together also end together.
	minDispersion = 0.4
	// minHold keeps rates finite before the first request has ended.
	minHold = time.Millisecond
	// maxDispersion bounds the effect of a few very long hold times.
	maxDispersion = 4
)

// holdTimeStats estimates how long requests hold their slots.
type holdTimeStats struct {
	firstBegin  time.Time // when the first request was admitted
	samples     float64
	meanSeconds float64
	variance    float64
}

func (h *holdTimeStats) begin(now time.Time) {
	if h.firstBegin.IsZero() {
		h.firstBegin = now
	}
}

func (h *holdTimeStats) end(held time.Duration) {
	h.samples = min(h.samples+1, holdSamples)
	weight := 1 / h.samples
	difference := held.Seconds() - h.meanSeconds
	h.meanSeconds += weight * difference
	h.variance = (1 - weight) * (h.variance + weight*difference*difference)
}

// mean returns the mean hold time. Before any request has ended, it returns the
// time since the first one was admitted, which is a lower bound.
func (h *holdTimeStats) mean(now time.Time) time.Duration {
	if h.samples > 0 {
		return time.Duration(h.meanSeconds * float64(time.Second))
	}
	if h.firstBegin.IsZero() {
		return 0
	}
	return now.Sub(h.firstBegin)
}

// dispersion returns the variance of the hold time relative to the square of
// its mean. This is also the variance of the number of slots released in a
// period, relative to its mean.
func (h *holdTimeStats) dispersion() float64 {
	if h.meanSeconds <= 0 {
		return 0
	}
	return min(max(h.variance/(h.meanSeconds*h.meanSeconds), minDispersion), maxDispersion)
}
