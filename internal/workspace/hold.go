package workspace

import "time"

const (
	// holdWeight is the weight of the newest observation in the mean time that a
	// request holds its place. With times that vary by their mean, this mean is
	// known to about 10%.
	holdWeight = 0.02
	// holdSamples is the number of observations up to which all weigh the same.
	holdSamples = 1 / holdWeight
	// minDispersion covers places that come free in bursts although the times are
	// equal: requests that were admitted together also end together.
	minDispersion = 0.4
	// minHold keeps rates finite before any request has held a place.
	minHold = time.Millisecond
	// maxDispersion bounds the effect of a few very long times.
	maxDispersion = 4
)

// holdTimeStats measures how long requests hold their places.
type holdTimeStats struct {
	firstBegin  time.Time // when the first request began
	samples     float64
	meanSeconds float64 // mean
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

// mean returns the mean time. Before any request has ended, it is at least the
// time since the first began.
func (h *holdTimeStats) mean(now time.Time) time.Duration {
	if h.samples > 0 {
		return time.Duration(h.meanSeconds * float64(time.Second))
	}
	if h.firstBegin.IsZero() {
		return 0
	}
	return now.Sub(h.firstBegin)
}

// dispersion returns the variance of the time relative to the square of the
// mean, which is the variance of the number of places that come free in a time
// relative to its mean.
func (h *holdTimeStats) dispersion() float64 {
	if h.meanSeconds <= 0 {
		return 0
	}
	return min(max(h.variance/(h.meanSeconds*h.meanSeconds), minDispersion), maxDispersion)
}
