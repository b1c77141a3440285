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
func (e *IntervalEstimator) Observe(interval time.Duration) {
	if !e.hasSample {
		e.hasSample = true
		e.mean = interval
		e.deviation = interval / 2
		return
	}
	difference := (interval - e.mean).Abs()
	e.deviation += time.Duration(deviationWeight * float64(difference-e.deviation))
	e.mean += time.Duration(meanWeight * float64(interval-e.mean))
}

// SilenceTimeout returns the time without a token after which a stream is suspected.
func (e *IntervalEstimator) SilenceTimeout() time.Duration {
	return e.bound(minSilenceTimeout, maxSilenceTimeout, maxSilenceTimeout)
}

// FirstTokenTimeout returns the time without a first token after which an attempt is
// suspected; the samples of e are times to the first token.
func (e *IntervalEstimator) FirstTokenTimeout() time.Duration {
	return e.bound(minFirstTokenTimeout, maxFirstTokenTimeout, initialFirstTokenTimeout)
}

func (e *IntervalEstimator) bound(floor, ceiling, initial time.Duration) time.Duration {
	if !e.hasSample {
		return initial
	}
	return min(max(meanFactor*e.mean+deviationFactor*e.deviation, floor), ceiling)
}
