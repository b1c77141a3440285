package forward

import (
	"time"

	"foxtailhub.example/foxtailhub/internal/generation"
	"foxtailhub.example/foxtailhub/internal/route"
)

// Result is how one sending ended.
type Result int

// Results of a sending.
const (
	NoResult      Result = iota // nothing was sent
	Answered                    // the upstream answered, with any status
	NotSent                     // no connection was made
	NotRun                      // the upstream states that it did not run the request
	Misplaced                   // another upstream has the address, and did not run the request
	Failed                      // it may have run: reset, cut, or an answer of something else
	UpstreamError               // the upstream answered with a failure of its own
)

// String returns the name used in logs.
func (r Result) String() string {
	return [...]string{"none", "answered", "not_sent", "not_run", "misplaced", "failed", "upstream_error"}[r]
}

// State is what a request has been through, for the decision on its next step.
type State struct {
	Kind        route.Kind
	Resumable   bool
	MaxAttempts int           // upstreams that may run it
	MayHaveRun  int           // upstreams that may have run it
	Refused     int           // upstreams that could not be reached or did not run it
	Arrivals    int           // upstreams that it has reached
	Last        Result        // of the last sending
	Left        time.Duration // until its deadline
}

const (
	// maxRefusals bounds how many upstreams a request is offered to that do not run
	// it: when that many are full or gone, others are too.
	maxRefusals = 6
	// minTimeToSend is the shortest time left in which an upstream can answer.
	minAttemptTime = 10 * time.Millisecond
)

// repeatable reports whether a request that may have run may run again.
func (s State) canRunAgain() bool {
	return s.Kind == route.Idempotent || s.Kind == route.Stream && s.Resumable
}

// Again reports whether the request is sent to another upstream.
func (s State) Again() bool {
	if s.Left < minAttemptTime {
		return false
	}
	if s.MayHaveRun == 0 {
		return s.Refused < maxRefusals
	}
	return s.canRunAgain() && s.MayHaveRun < s.MaxAttempts && s.Refused < maxRefusals
}

// MayWait reports whether a request that may have run can go on later at a
// upstream that cannot take it now.
func (s State) MayWait() bool {
	return s.MayHaveRun > 0 && s.canRunAgain() && s.MayHaveRun < s.MaxAttempts && s.Left >= minAttemptTime
}

// Times to come back to an instance that knows no configuration.
const (
	// comeBackSoon is about the time of a first read from the store.
	retryAfterStartup = 400 * time.Millisecond
	// comeBackLater is for callers with enough time while the store is away: one
	// whose answer is due in 4.5 s is still served in time afterwards.
	retryAfterStoreUnreachable = 2 * time.Second
	// comeBackShare is the part of its time that a caller may wait before it comes back.
	retryAfterShare = 0.3
)

// ComeBackAfter returns when a caller with a deadline may come back to an
// instance that knows no configuration.
func ComeBackAfter(deadline time.Duration, storeAway bool) time.Duration {
	if !storeAway {
		return retryAfterStartup
	}
	if deadline <= 0 {
		return retryAfterStoreUnreachable
	}
	return min(retryAfterStoreUnreachable, time.Duration(retryAfterShare*float64(deadline)))
}

const (
	// returnSpread is the part of the time until upstreams take requests again over
	// which refused callers come back, at random: they were all told the same moment.
	pushbackSpread = 0.5
	// returnSpreadMin and returnSpreadMax bound it.
	pushbackSpreadMin = 200 * time.Millisecond
	pushbackSpreadMax = time.Second
	// returnShare is the part of its time that a caller waits at most before it
	// comes back; a longer time is not honoured.
	pushbackShare = 1.0 / 3
)

// ReturnAfter returns when a caller with some time left may come back to a service
// whose upstreams all push back. first is the time until the first of them takes
// requests again, draw is from [0, 1).
func ReturnAfter(first, left time.Duration, random float64) time.Duration {
	spread := min(max(time.Duration(pushbackSpread*float64(first)), pushbackSpreadMin), pushbackSpreadMax)
	return min(first+time.Duration(random*float64(spread)), time.Duration(pushbackShare*float64(left)))
}

// Times of the watch over a stream.
const (
	// suspectFloor and suspectCeiling bound the silence after which the upstream of
	// a stream is probed. With a copy the next event follows within about 100 ms,
	// so a stream whose pauses may take 700 ms goes on in time.
	probeDelayMin = 220 * time.Millisecond
	probeDelayMax = 320 * time.Millisecond
	// probeTimeout is how long a live upstream may take to answer a probe: two
	// round trips and the time of one batch step with a full prompt chunk.
	probeTimeout = 120 * time.Millisecond
	// prefillProbe is the time between probes while the upstream reads the prompt.
	prefillProbeInterval = 400 * time.Millisecond
	// stallFactor is the pause, in pauses of the goal, after which a stream moves
	// although its upstream answers probes: only its connection may be dead.
	stallFactor = 1.5
	// stallDefault replaces the goal where a route has none.
	defaultPauseGoal = time.Second
	// firstEventLimit is the time without a first event after which the stream
	// moves although the upstream answers probes.
	firstEventTimeout = 6 * time.Second
)

// Watch tells when a stream's upstream has to be probed and when the stream has
// to move. It is a value that reads no clock.
type Watch struct {
	pacing          generation.Rhythm
	pauseGoal       time.Duration
	progressAt      time.Time // last event, or the sending
	firstEventSeen  bool      // an event has arrived
	probeAt         time.Time
	stallExtendedAt time.Time // when the stream was last kept although it had stalled
}

// NewWatch returns the watch of a sending.
func NewWatch(now time.Time, pauseGoal time.Duration) Watch {
	if pauseGoal <= 0 {
		pauseGoal = defaultPauseGoal
	}
	return Watch{pauseGoal: pauseGoal, progressAt: now, probeAt: now.Add(prefillProbeInterval)}
}

// Event notes an event that brings the caller further.
func (w *Watch) Event(now time.Time) {
	if w.firstEventSeen {
		w.pacing.Observe(now.Sub(w.progressAt))
	}
	w.firstEventSeen = true
	w.progressAt = now
	w.probeAt = now.Add(min(max(w.pacing.Silence(), probeDelayMin), probeDelayMax))
}

// Alive notes that the upstream has answered a probe.
func (w *Watch) Alive(now time.Time) {
	if w.firstEventSeen && !w.stallExtendedAt.After(w.progressAt) {
		w.probeAt = now.Add(probeTimeout)
		return
	}
	w.probeAt = now.Add(prefillProbeInterval)
}

// Suspect asks for a probe now, because another stream lost this upstream.
func (w *Watch) Suspect(now time.Time) { w.probeAt = now }

// ProbeAt returns when the upstream has to be probed next.
func (w *Watch) ProbeAt() time.Time { return w.probeAt }

// Silent returns the time since the last event, or since the sending.
func (w *Watch) Silent(now time.Time) time.Duration { return now.Sub(w.progressAt) }

// Keep notes that the stream has stalled and is kept.
func (w *Watch) Keep(now time.Time) { w.stallExtendedAt = now }

// StallAt returns when the stream has to move although its upstream is alive.
func (w *Watch) StallAt() time.Time {
	from := w.progressAt
	if w.stallExtendedAt.After(from) {
		from = w.stallExtendedAt
	}
	if !w.firstEventSeen {
		return from.Add(firstEventTimeout)
	}
	return from.Add(time.Duration(stallFactor * float64(w.pauseGoal)))
}

// hedgeShare is the part of the latency goal after which an unanswered call is
// sent to a second upstream, so that this one can still answer in time.
const hedgeShare = 0.6

// stuckShare is the time without an answer, in latency goals, after which a
// upstream is doubted. stuckMin keeps upstreams from being doubted for the longest of
// ordinary answers.
const (
	suspectFactor   = 2
	suspectDelayMin = 250 * time.Millisecond
)

// StuckAfter returns how long a call may be without an answer before its upstream
// is doubted.
func StuckAfter(goal time.Duration) time.Duration { return max(suspectFactor*goal, suspectDelayMin) }

// HedgeAfter returns how long to wait for an answer before the call is sent to
// a second upstream.
func HedgeAfter(goal, left time.Duration) time.Duration {
	if goal <= 0 {
		return left / 2
	}
	return min(time.Duration(hedgeShare*float64(goal)), left/2)
}
