package generation

import (
	"fmt"
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// Times of the state machine.
const (
	// An engine that is alive answers a probe within a few milliseconds.
	probeTimeout = 500 * time.Millisecond
	// An engine that answers neither tokens nor a probe nor a cancellation in
	// this time is taken as not running.
	cancelTimeout = 500 * time.Millisecond
	// The upstream view of an instance that has just started may be incomplete.
	versionGoneGrace = 2 * time.Second
	// Bounds of the wait for a placement.
	placementWaitMin = 50 * time.Millisecond
	placementWaitMax = time.Second
	// resumeWaitMax replaces placementWaitMax once an engine may have run the
	// request: the caller's output must go on within 3 s of a loss, and an upstream
	// may have become free just after the last look.
	resumeWaitMax = 200 * time.Millisecond
	// maxAttemptsAlive is the old attempt and its rival.
	maxAttemptsAlive = 2
)

// AdoptedStream is a stream that another instance started.
type AdoptedStream struct {
	Attempt  contract.AttemptNumber
	Stream   upstream.StreamID
	Upstream contract.UpstreamID
}

// MachineSettings are the fixed inputs of a Machine.
type MachineSettings struct {
	Request     contract.RequestID
	StreamName  string // unique; the stream of attempt n is named <StreamName>-<n>
	Policy      configuration.ResumePolicy
	MaxAttempts int
	QueueUntil  time.Time // a request that never ran waits for an upstream until then
	Deadline    time.Time
	FirstToken  time.Duration  // time to the first token after which an attempt is suspected
	Next        int64          // offset of the first token
	TextHeld    bool           // the whole text before Next is held, so that a new attempt can continue it
	RestartFrom int64          // no new attempt before this offset: the caller holds a text up to it
	Adopt       *AdoptedStream // stream to resume first; nil for a new attempt
}

// Machine decides how one generation goes on. It does no I/O, reads no clock
// and takes no lock.
//
// Several lanes (connections of up to two attempts) may be open at a time; the
// first that yields the next token wins and all others are ended.
type Machine struct {
	settings       MachineSettings
	next           int64
	attempts       []*attempt // alive; at most maxAttemptsAlive
	current        contract.AttemptNumber
	lastAttempt    contract.AttemptNumber
	lastLane       ConnectionID
	ran            int  // attempts that count against MaxAttempts
	mayHaveRun     bool // an engine may have run the request
	firstToken     time.Duration
	silentAttempts int // attempts that have yielded no token in time since the last token
	avoid          []contract.UpstreamID
	retryAt        time.Time              // when to place the next attempt; zero if none is wanted
	cancelling     contract.AttemptNumber // its cancellation delays the next attempt; 0: none
	backoff        time.Duration          // last wait for a placement since an engine answered
	goneSince      time.Time
	standing       upstream.Standing
	finished       bool
	out            []Action
}

// attempt is one run on one engine.
type attempt struct {
	number    contract.AttemptNumber
	stream    upstream.StreamID
	upstream  contract.UpstreamID
	lanes     []*lane
	rhythm    Rhythm
	adopted   bool // another instance started it
	produced  bool // it yielded an accepted token
	suspected bool
	cause     upstream.ObservationKind // why it is suspected
}

// lane is one connection of an attempt.
type lane struct {
	connection ConnectionID
	probe      bool
	deadline   time.Time // when it is silent for too long; zero: not watched
	lastToken  time.Time
}

// NewMachine returns a machine that has not begun.
func NewMachine(settings MachineSettings) *Machine {
	m := &Machine{settings: settings, next: settings.Next, firstToken: settings.FirstToken}
	m.mayHaveRun = settings.Next > 0 || settings.RestartFrom > 0
	if settings.Adopt != nil {
		m.lastAttempt = settings.Adopt.Attempt
	}
	return m
}

// Current returns the current attempt, 0 before the first.
func (m *Machine) Current() contract.AttemptNumber { return m.current }

// Finished reports whether the generation has ended.
func (m *Machine) Finished() bool { return m.finished }

// Step takes an input and returns what to do, and when the next tick is due.
func (m *Machine) Step(now time.Time, in Input) ([]Action, time.Time) {
	if m.finished {
		return nil, time.Time{}
	}
	m.out = nil
	if in.Kind != InputEvent {
		m.standing = in.Standing
	}
	m.take(now, in)
	m.expire(now)
	return m.out, m.wake()
}

func (m *Machine) take(now time.Time, in Input) {
	switch in.Kind {
	case InputBegin:
		m.begin(now)
	case InputPlaced:
		m.placed(in)
	case InputNoPlacement:
		m.notPlaced(now, in)
	case InputAbandoned:
		m.finish(contract.Interrupted, contract.ReasonAbandoned, 0)
	case InputDiverged:
		m.finish(contract.Interrupted, contract.ReasonPrefixMismatch, 0)
	case InputCancelled:
		if in.Attempt == m.cancelling {
			m.startAttempt(now)
		}
	case InputTick:
	default:
		m.takeFromLane(now, in)
	}
}

func (m *Machine) takeFromLane(now time.Time, in Input) {
	a := m.attempt(in.Attempt)
	if a == nil {
		return // late news of an attempt that is over
	}
	l := a.lane(in.Connection)
	if l == nil {
		return
	}
	switch in.Kind {
	case InputOpened:
		m.opened(now, a, l)
	case InputEvent:
		m.event(now, a, l, in.Event)
	case InputLost:
		m.lost(now, a, l)
	case InputRefused:
		m.refused(now, a, l, upstream.ObservedRefused)
	case InputLeaving:
		m.refused(now, a, l, upstream.ObservedLeaving)
	case InputUnreachable:
		m.refused(now, a, l, upstream.ObservedUnreachable)
	case InputStreamNotFound, InputPrefixMismatch:
		m.mayHaveRun = true
		m.endAttempt(now, a, a.observation(upstream.ObservedCancelled), in.Kind == InputPrefixMismatch)
	default:
		contract.Invariant(false, "input kind unknown", "kind", in.Kind)
	}
}

func (m *Machine) begin(now time.Time) {
	adopted := m.settings.Adopt
	if adopted == nil {
		m.startAttempt(now)
		return
	}
	a := &attempt{
		number: adopted.Attempt, stream: adopted.Stream, upstream: adopted.Upstream,
		adopted: true, suspected: true, cause: upstream.ObservedSilent,
	}
	m.attempts = append(m.attempts, a)
	m.current = a.number
	m.ran++
	m.mayHaveRun = true
	m.recover(now, a)
}

// startAttempt starts the next attempt, or ends the generation if there is none.
func (m *Machine) startAttempt(now time.Time) {
	m.retryAt = time.Time{}
	m.cancelling = 0
	switch {
	case m.finished:
		return
	case len(m.attempts) > 0 && !m.rivalAllowed():
		return
	case m.standing.Quarantined:
		m.finishQuarantined(now)
		return
	case !m.restartable():
		m.finishIfIdle(contract.ReasonNotHeld)
		return
	case m.ran >= m.settings.MaxAttempts:
		m.finishIfIdle(contract.ReasonAttempts)
		return
	}
	contract.Invariant(len(m.attempts) < maxAttemptsAlive, "too many attempts at a time", "alive", len(m.attempts))
	m.lastAttempt++
	m.ran++
	a := &attempt{
		number: m.lastAttempt,
		stream: upstream.StreamID(fmt.Sprintf("%s-%d", m.settings.StreamName, m.lastAttempt)),
	}
	resumed := m.lastAttempt > 1 || m.next > 0
	l := a.addLane(m.newLane(), false, now.Add(m.firstTokenBound()))
	m.attempts = append(m.attempts, a)
	m.emit(Action{
		Kind: ActionStart, Attempt: a.number, Connection: l.connection,
		Stream: a.stream, Avoid: slices.Clone(m.avoid), Resumed: resumed,
	})
}

func (m *Machine) placed(in Input) {
	a := m.attempt(in.Attempt)
	if a == nil {
		return
	}
	m.goneSince = time.Time{}
	a.upstream = in.Upstream
}

// notPlaced handles that no upstream can take an attempt now.
func (m *Machine) notPlaced(now time.Time, in Input) {
	a := m.attempt(in.Attempt)
	if a == nil || a.upstream != "" {
		return
	}
	contract.Invariant(a.number == m.lastAttempt, "placement answered after the next start",
		"request", m.settings.Request, "attempt", a.number, "last", m.lastAttempt)
	m.remove(a)
	m.ran--
	m.lastAttempt-- // nothing was sent under this number
	if m.standing.Quarantined {
		m.finishQuarantined(now)
		return
	}
	longest := placementWaitMax
	if m.mayRun() {
		longest = resumeWaitMax
	}
	m.backoff = min(max(2*m.backoff, placementWaitMin), longest)
	wait := min(max(in.Wait, m.backoff), longest)
	if !m.mayRun() && (in.Gone || now.Add(wait).After(m.settings.QueueUntil)) {
		m.finish(contract.NotRun, noPlacementReason(in), max(in.Wait, placementWaitMin))
		return
	}
	if !in.Gone {
		m.goneSince = time.Time{}
	} else if m.goneSince.IsZero() {
		m.goneSince = now
	} else if now.Sub(m.goneSince) >= versionGoneGrace && len(m.attempts) == 0 {
		m.finish(contract.Interrupted, contract.ReasonVersionGone, 0)
		return
	}
	m.avoid = nil // an upstream that failed earlier may work again
	m.retryAt = now.Add(wait)
}

func noPlacementReason(in Input) contract.Reason {
	if in.Gone {
		return contract.ReasonVersionGone
	}
	return contract.ReasonNoUpstream
}

func (m *Machine) opened(now time.Time, a *attempt, l *lane) {
	m.mayHaveRun = true
	m.backoff = 0
	if m.attempt(m.current) == nil {
		m.current = a.number
		m.emit(Action{Kind: ActionSwitch, Attempt: a.number})
	}
	if l.probe && !a.produced {
		// The engine is alive and knows the stream: it may still be in prefill.
		l.deadline = now.Add(m.firstToken)
	}
	if l.probe && a.produced {
		l.deadline = now.Add(probeTimeout)
	}
}

func (m *Machine) event(now time.Time, a *attempt, l *lane, e upstream.StreamEvent) {
	if e.Request != m.settings.Request || e.Stream != a.stream {
		return // an event of another stream; if one of ours is missing, the gap shows it
	}
	m.mayHaveRun = true
	offset := e.Token.Offset
	if e.End {
		offset = e.Count
	}
	switch {
	case offset == m.next && e.End:
		m.win(now, a, l)
		m.finishCompleted(a)
	case offset == m.next:
		m.accept(now, a, l, e.Token)
	case offset < m.next && !e.End:
		// A repeated token: the connection is alive.
	default:
		// A gap, or an end before the text that was already accepted.
		m.endAttempt(now, a, upstream.ObservedCancelled, true)
	}
}

func (m *Machine) accept(now time.Time, a *attempt, l *lane, token contract.Token) {
	m.win(now, a, l)
	if !l.lastToken.IsZero() {
		a.rhythm.Observe(now.Sub(l.lastToken))
	}
	l.lastToken = now
	l.deadline = now.Add(a.rhythm.Silence())
	a.produced = true
	m.emit(Action{Kind: ActionDeliver, Attempt: a.number, Token: token})
	m.next++
}

// win makes the lane the only one.
func (m *Machine) win(now time.Time, a *attempt, l *lane) {
	for _, other := range slices.Clone(m.attempts) {
		if other != a {
			m.refund(other)
			m.drop(other, other.observation(upstream.ObservedCancelled), true)
		}
	}
	for _, other := range slices.Clone(a.lanes) {
		if other != l {
			a.removeLane(other)
			m.emit(Action{Kind: ActionClose, Attempt: a.number, Connection: other.connection})
		}
	}
	if a.suspected {
		l.lastToken = time.Time{} // the pause is not part of the rhythm
	}
	a.suspected = false
	a.cause = ""
	l.probe = false
	m.retryAt = time.Time{}
	m.firstToken = m.settings.FirstToken
	m.silentAttempts = 0
	if m.current != a.number {
		m.current = a.number
		m.emit(Action{Kind: ActionSwitch, Attempt: a.number})
	}
}

func (m *Machine) emit(action Action) { m.out = append(m.out, action) }

func (m *Machine) newLane() ConnectionID {
	m.lastLane++
	return m.lastLane
}

func (m *Machine) attempt(number contract.AttemptNumber) *attempt {
	for _, a := range m.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}

// restartable reports whether a new attempt can continue the text.
func (m *Machine) restartable() bool {
	return m.settings.TextHeld && m.next >= m.settings.RestartFrom
}

// mayRun reports whether an engine may have run the request or may still do so.
func (m *Machine) mayRun() bool { return m.mayHaveRun || len(m.attempts) > 0 }
