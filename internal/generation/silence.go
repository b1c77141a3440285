package generation

import "time"

// Bounds of the silence detector.
const (
	// A stream is not suspected before this time, whatever its rhythm: shorter
	// pauses occur when an engine forms a new batch.
	silenceFloor = 150 * time.Millisecond
	// Leaves time for a probe and a new attempt within the resume bound of 3 s.
	silenceCeiling = time.Second

	// Bounds and initial value of the time to the first token.
	firstTokenFloor   = time.Second
	firstTokenCeiling = 30 * time.Second
	firstTokenInitial = 3 * time.Second

	// A first token of a new attempt that is later leaves too little of the
	// resume bound of 3 s for another attempt.
	resumedFirstToken = time.Second
	maxDoublings      = 5 // of resumedFirstToken

	// Weights and factors of the estimate of mean and deviation, as in RFC 6298.
	meanWeight      = 0.125
	deviationWeight = 0.25
	deviationFactor = 4
	// A pause of twice the usual interval is part of a regular rhythm.
	meanFactor = 2
)

// Rhythm estimates how long the next event of a sequence may take. The zero
// value has seen nothing. It is a value without a lock.
type Rhythm struct {
	mean      time.Duration
	deviation time.Duration
	seen      bool
}

// Observe adds an interval.
func (r *Rhythm) Observe(interval time.Duration) {
	if !r.seen {
		r.seen = true
		r.mean = interval
		r.deviation = interval / 2
		return
	}
	difference := (interval - r.mean).Abs()
	r.deviation += time.Duration(deviationWeight * float64(difference-r.deviation))
	r.mean += time.Duration(meanWeight * float64(interval-r.mean))
}

// Silence returns the time without a token after which a stream is suspected.
func (r *Rhythm) Silence() time.Duration {
	return r.bound(silenceFloor, silenceCeiling, silenceCeiling)
}

// FirstToken returns the time without a first token after which an attempt is
// suspected; r has observed times to the first token.
func (r *Rhythm) FirstToken() time.Duration {
	return r.bound(firstTokenFloor, firstTokenCeiling, firstTokenInitial)
}

func (r *Rhythm) bound(floor, ceiling, initial time.Duration) time.Duration {
	if !r.seen {
		return initial
	}
	return min(max(meanFactor*r.mean+deviationFactor*r.deviation, floor), ceiling)
}
