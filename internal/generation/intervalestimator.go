package generation

import "time"

// Time-outs of the silence detector and parameters of their estimate.
const (
	// A stream is not suspected before this time, whatever its token rate: shorter
	// pauses occur when an engine forms a new batch.
	minSilenceTimeout = 150 * time.Millisecond
	// Leaves time for a probe and a new attempt within the resume bound of 3 s.
	maxSilenceTimeout = time.Second

	// Bounds and initial value of the time-out for the first token.
	minFirstTokenTimeout     = time.Second
	maxFirstTokenTimeout     = 30 * time.Second
	initialFirstTokenTimeout = 3 * time.Second

	// Waiting longer for the first token of a resumed attempt leaves too little of
	// the resume bound of 3 s for another attempt.
	resumedFirstTokenTimeout = time.Second
	maxDoublings             = 5 // of resumedFirstTokenTimeout

	// Weights and factor of the moving mean and deviation, as in RFC 6298.
	meanWeight      = 0.125
	deviationWeight = 0.25
	deviationFactor = 4
	// A pause of twice the mean interval is regular.
	meanFactor = 2
)

// IntervalEstimator estimates the longest interval between the events of a sequence. The
// zero value has no samples. It is not safe for concurrent use.
type IntervalEstimator struct {
	mean      time.Duration
	deviation time.Duration
	hasSample bool
}

// Observe adds an interval to the estimate.
func (r *IntervalEstimator) Observe(interval time.Duration) {
	if !r.hasSample {
		r.hasSample = true
		r.mean = interval
		r.deviation = interval / 2
		return
	}
	difference := (interval - r.mean).Abs()
	r.deviation += time.Duration(deviationWeight * float64(difference-r.deviation))
	r.mean += time.Duration(meanWeight * float64(interval-r.mean))
}

// SilenceTimeout returns the time without a token after which a stream is suspected.
func (r *IntervalEstimator) SilenceTimeout() time.Duration {
	return r.bound(minSilenceTimeout, maxSilenceTimeout, maxSilenceTimeout)
}

// FirstTokenTimeout returns the time without a first token after which an attempt is
// suspected; the samples of r are times to the first token.
func (r *IntervalEstimator) FirstTokenTimeout() time.Duration {
	return r.bound(minFirstTokenTimeout, maxFirstTokenTimeout, initialFirstTokenTimeout)
}

func (r *IntervalEstimator) bound(floor, ceiling, initial time.Duration) time.Duration {
	if !r.hasSample {
		return initial
	}
	return min(max(meanFactor*r.mean+deviationFactor*r.deviation, floor), ceiling)
}
