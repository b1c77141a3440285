package forward

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foxtailhub.example/foxtailhub/internal/route"
)

// DrainState reports whether the instance is leaving, and whether a new request can still
// end before the process does.
type DrainState struct {
	endsAt atomic.Pointer[time.Time] // when the process ends at the latest; nil: not leaving
	// graceEnd is cancelled endMargin before the end of the process.
	graceEnd    context.Context
	endGraceNow context.CancelFunc

	mu          sync.Mutex // guards the fields below
	durations   [recentStreams]time.Duration
	streamCount int
}

const (
	// minStreamTime is the least time assumed for a new stream: about one second to
	// prefill 8,000 tokens and five to decode 1,300. Its deadline is much longer.
	minStreamTime = 6500 * time.Millisecond
	// recentStreams is how many of the latest streams are used to estimate the
	// duration: engines are slower where many streams decode at once.
	recentStreams = 32
	// minKnownStreams is the number of streams below which their durations are no estimate,
	// and a stream may last until its deadline. The same holds for streams that must not be
	// repeated, since nothing can continue one that is cut off.
	minKnownStreams = 8
	// endMargin allows for an early end of the process by its clock.
	endMargin = 200 * time.Millisecond
	// catchUpTime is the time in which a process that was paused forwards the answers that arrived
	// meanwhile. SIGTERM may have been sent at any time of the pause, so the end of the grace time
	// may be over when it is handled, while the process may have most of it left.
	catchUpTime = 100 * time.Millisecond
)

// NewDrainState returns the state of an instance that is not leaving.
func NewDrainState() *DrainState {
	d := &DrainState{}
	d.graceEnd, d.endGraceNow = context.WithCancel(context.Background())
	return d
}

// Start records that the process ends at the given time, which may be over.
func (d *DrainState) Start(end time.Time) {
	d.endsAt.Store(&end)
	time.AfterFunc(max(time.Until(end)-endMargin, catchUpTime), d.endGraceNow)
}

// GraceLeft returns the time until the process ends, false if the instance is not leaving.
func (d *DrainState) GraceLeft() (time.Duration, bool) {
	end := d.endsAt.Load()
	if end == nil {
		return 0, false
	}
	return time.Until(*end), true
}

// Draining reports whether the instance is leaving.
func (d *DrainState) Draining() bool { return d.endsAt.Load() != nil }

// ObserveStream records the duration of a stream from its request to its end.
func (d *DrainState) ObserveStream(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.durations[d.streamCount%recentStreams] = duration
	d.streamCount++
}

// StreamDuration returns the duration that a new stream may need, false if too few streams are
// known. A refused stream starts at another instance immediately; one that is cut off must be
// prefilled and decoded again.
func (d *DrainState) StreamDuration() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(minStreamTime, slices.Max(d.durations[:])), d.streamCount >= minKnownStreams
}

// HasTimeFor reports whether a request may be sent to an upstream, so that it can end before
// the process does.
func (d *DrainState) HasTimeFor(s RequestState) bool {
	left, leaving := d.GraceLeft()
	if !leaving {
		return true
	}
	needed := s.TimeLeft
	if duration, known := d.StreamDuration(); known && s.Kind == route.Stream && s.Resumable {
		needed = min(needed, duration)
	}
	return fitsGrace(s, left-endMargin, needed)
}

// fitsGrace reports whether an attempt that may need some time may start at an instance that
// answers until graceLeft has passed. A request that has not run is refused instead, and
// starts elsewhere at once.
func fitsGrace(s RequestState, graceLeft, needed time.Duration) bool {
	if s.Begun || s.Kind != route.Stream && s.MayHaveRun > 0 {
		return true // it would lose what it has, or can't be refused any more
	}
	return graceLeft >= needed
}
