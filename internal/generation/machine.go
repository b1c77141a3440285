package generation

import (
	"fmt"
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// Time-outs and limits of the state machine.
const (
	// A live engine responds to a probe within a few milliseconds.
	probeTimeout = 500 * time.Millisecond
	// Interval between the probes of a silent engine whose attempt stays; it doubles with
	// each unanswered one.
	probeInterval    = 500 * time.Millisecond
	maxProbeInterval = 2 * time.Second
	// An engine that has sent no tokens and responds neither to a probe nor,
	// within this time, to a cancellation is considered down.
	cancelTimeout = 500 * time.Millisecond
	// An instance that has just started may not have the complete list of upstreams.
	versionGoneGrace = 2 * time.Second
	// Bounds of the wait for a placement.
	placementWaitMin = 50 * time.Millisecond
	placementWaitMax = time.Second
	// resumeWaitMax replaces placementWaitMax once an engine may have run the
	// request: the caller's output must continue within 3 s of a loss, and an
	// upstream may become free just after a try.
	resumeWaitMax = 200 * time.Millisecond
	// A suspected attempt and its hedge.
	maxLiveAttempts = 2
)

// AdoptedStream is a stream that another instance started.
type AdoptedStream struct {
	Attempt  contract.AttemptNumber
	Stream   upstream.StreamID
	Upstream contract.UpstreamID
}

// MachineSettings are the fixed inputs of a Machine.
type MachineSettings struct {
	Request           contract.RequestID
	StreamName        string // unique; the stream of attempt n is named <StreamName>-<n>
	Policy            configuration.ResumePolicy
	MaxAttempts       int
	QueueUntil        time.Time // latest time to wait for an upstream for a request that never ran
	Deadline          time.Time
	FirstTokenTimeout time.Duration  // an attempt without a first token after this time is suspected
	NextOffset        int64          // offset of the first token
	TextHeld          bool           // the whole text before NextOffset is held, so that a new attempt can continue it
	MinRestartOffset  int64          // the caller has a text up to this offset; no new attempt starts before it
	Adopt             *AdoptedStream // stream to resume first; nil for a new attempt
}

// Machine is the state machine of one generation. It does no I/O, reads no clock
// and takes no lock.
//
// Several connections of up to two attempts may be open at a time. The first
// that yields the next token is kept and all others are closed.
type Machine struct {
	settings         MachineSettings
	next             int64
	attempts         []*attempt // alive; at most maxLiveAttempts
	current          contract.AttemptNumber
	lastAttempt      contract.AttemptNumber
	lastConnection   ConnectionID
	countedAttempts  int  // number of attempts that count against MaxAttempts
	mayHaveRun       bool // an engine may have run the request
	firstToken       time.Duration
	silentAttempts   int // attempts since the last token that timed out without a token
	avoid            []contract.UpstreamID
	retryAt          time.Time              // when to place the next attempt; zero: none is due
	cancelling       contract.AttemptNumber // the next attempt waits for the cancellation of this one; 0: none
	backoff          time.Duration          // last wait for a placement; reset when an engine accepts
	versionGoneSince time.Time
	contentStatus    upstream.ContentStatus
	startsEnded      bool // a request that no engine has must not start
	finished         bool
	actions          []Action
}

// attempt is one run of the request on one engine.
type attempt struct {
	number         contract.AttemptNumber
	stream         upstream.StreamID
	upstream       contract.UpstreamID
	connections    []*attemptConnection
	tokenIntervals IntervalEstimator
	adopted        bool // another instance started it
	produced       bool // one of its tokens was accepted
	suspected      bool
	cause          upstream.ObservationKind // why it is suspected
	leaving        bool                     // it ends when the next attempt has an upstream
	probeAt        time.Time                // when to probe its engine again; zero: not scheduled
	unanswered     int                      // probes without an answer since the last sign of life
}

// attemptConnection is one connection of an attempt.
type attemptConnection struct {
	id        ConnectionID
	probe     bool
	deadline  time.Time // when the connection counts as silent; zero: no time-out
	lastToken time.Time
}

// NewMachine returns a machine that waits for InputBegin.
func NewMachine(settings MachineSettings) *Machine {
	m := &Machine{settings: settings, next: settings.NextOffset, firstToken: settings.FirstTokenTimeout}
	m.mayHaveRun = settings.NextOffset > 0 || settings.MinRestartOffset > 0
	if settings.Adopt != nil {
		m.lastAttempt = settings.Adopt.Attempt
	}
	return m
}

// CurrentAttempt returns the current attempt, 0 before the first.
func (m *Machine) CurrentAttempt() contract.AttemptNumber { return m.current }

// Finished reports whether the generation has ended.
func (m *Machine) Finished() bool { return m.finished }

// Step handles an input and returns the actions and the time of the next tick.
func (m *Machine) Step(now time.Time, in Input) ([]Action, time.Time) {
	if m.finished {
		return nil, time.Time{}
	}
	m.actions = nil
	if in.Kind != InputEvent {
		m.contentStatus = in.ContentStatus
	}
	m.handleInput(now, in)
	m.handleTimeouts(now)
	return m.actions, m.nextTick()
}

func (m *Machine) handleInput(now time.Time, in Input) {
	switch in.Kind {
	case InputBegin:
		m.begin(now)
	case InputPlaced:
		m.handlePlaced(in)
	case InputNoPlacement:
		m.handleNoPlacement(now, in)
	case InputStartsEnded:
		m.startsEnded = true
		if !m.mayRun() {
			m.finish(contract.NotRun, contract.ReasonLeaving, leavingRetryAfter)
		}
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
		m.handleConnectionInput(now, in)
	}
}

func (m *Machine) handleConnectionInput(now time.Time, in Input) {
	a := m.attempt(in.Attempt)
	if a == nil {
		return // late input of an ended attempt
	}
	c := a.connection(in.Connection)
	if c == nil {
		return
	}
	switch in.Kind {
	case InputOpened:
		m.handleOpened(now, a, c)
	case InputEvent:
		m.handleEvent(now, a, c, in.Event)
	case InputLost:
		m.handleLost(now, a, c)
	case InputRefused:
		m.handleRefused(now, a, c, upstream.ObservedRefused)
	case InputLeaving:
		m.handleRefused(now, a, c, upstream.ObservedLeaving)
	case InputUnreachable:
		m.handleRefused(now, a, c, upstream.ObservedUnreachable)
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
		adopted: true, suspected: true, cause: upstream.ObservedNoResponse,
	}
	m.attempts = append(m.attempts, a)
	m.current = a.number
	m.countedAttempts++
	m.mayHaveRun = true
	m.recover(now, a)
}

// startAttempt starts the next attempt, or ends the generation if none is left.
func (m *Machine) startAttempt(now time.Time) {
	m.retryAt = time.Time{}
	m.cancelling = 0
	switch {
	case m.finished:
		return
	case m.startsEnded && !m.mayRun():
		m.finish(contract.NotRun, contract.ReasonLeaving, leavingRetryAfter)
		return
	case len(m.attempts) > 0 && !m.hedgeAllowed() && !m.replacing():
		return
	case m.contentStatus.Quarantined:
		m.finishQuarantined(now)
		return
	case !m.restartable():
		m.finishIfNoAttempts(contract.ReasonNotHeld)
		return
	case m.countedAttempts >= m.settings.MaxAttempts:
		m.finishIfNoAttempts(contract.ReasonAttemptsExhausted)
		return
	}
	contract.Invariant(len(m.attempts) < maxLiveAttempts, "too many attempts at a time", "alive", len(m.attempts))
	m.lastAttempt++
	m.countedAttempts++
	a := &attempt{
		number: m.lastAttempt,
		stream: upstream.StreamID(fmt.Sprintf("%s-%d", m.settings.StreamName, m.lastAttempt)),
	}
	resumed := m.lastAttempt > 1 || m.next > 0
	c := a.addConnection(m.newConnectionID(), false, now.Add(m.firstTokenBound()))
	m.attempts = append(m.attempts, a)
	m.emit(Action{
		Kind: ActionStart, Attempt: a.number, Connection: c.id,
		Stream: a.stream, Avoid: m.upstreamsToAvoid(), Resumed: resumed,
	})
}

func (m *Machine) handlePlaced(in Input) {
	a := m.attempt(in.Attempt)
	if a == nil {
		return
	}
	m.versionGoneSince = time.Time{}
	a.upstream = in.Upstream
	m.endReplaced()
}

// handleNoPlacement retries the placement after a backoff, or ends the generation.
func (m *Machine) handleNoPlacement(now time.Time, in Input) {
	a := m.attempt(in.Attempt)
	if a == nil || a.upstream != "" {
		return
	}
	contract.Invariant(a.number == m.lastAttempt, "placement result arrived after the next start",
		"request", m.settings.Request, "attempt", a.number, "last", m.lastAttempt)
	m.removeAttempt(a)
	m.countedAttempts--
	m.lastAttempt-- // the number was not used
	if m.contentStatus.Quarantined && len(m.attempts) == 0 {
		m.finishQuarantined(now)
		return
	}
	longest := placementWaitMax
	if m.mayRun() {
		longest = resumeWaitMax
	}
	m.backoff = min(max(2*m.backoff, placementWaitMin), longest)
	wait := min(max(in.RetryAfter, m.backoff), longest)
	if m.startsEnded && !m.mayRun() {
		m.finish(contract.NotRun, contract.ReasonLeaving, leavingRetryAfter)
		return
	}
	if !m.mayRun() && (in.VersionGone || now.Add(wait).After(m.settings.QueueUntil)) {
		m.finish(contract.NotRun, noPlacementReason(in), max(in.RetryAfter, placementWaitMin))
		return
	}
	if !in.VersionGone {
		m.versionGoneSince = time.Time{}
	} else if m.versionGoneSince.IsZero() {
		m.versionGoneSince = now
	} else if now.Sub(m.versionGoneSince) >= versionGoneGrace && len(m.attempts) == 0 {
		m.finish(contract.Interrupted, contract.ReasonVersionGone, 0)
		return
	}
	m.avoid = nil // upstreams that failed earlier may have recovered
	m.retryAt = now.Add(wait)
}

func noPlacementReason(in Input) contract.Reason {
	if in.VersionGone {
		return contract.ReasonVersionGone
	}
	return contract.ReasonNoUpstream
}

func (m *Machine) handleOpened(now time.Time, a *attempt, c *attemptConnection) {
	m.mayHaveRun = true
	m.backoff = 0
	a.showsLife()
	if m.attempt(m.current) == nil {
		m.current = a.number
		m.emit(Action{Kind: ActionSwitchAttempt, Attempt: a.number})
	}
	if c.probe && !a.produced {
		// The engine is alive and has the stream: it may still be in prefill.
		c.deadline = now.Add(m.firstToken)
	}
	if c.probe && a.produced {
		c.deadline = now.Add(probeTimeout)
	}
}

func (m *Machine) handleEvent(now time.Time, a *attempt, c *attemptConnection, e upstream.StreamEvent) {
	if e.Request != m.settings.Request || e.Stream != a.stream {
		return // an event of another stream; a missing event of this one shows as a gap
	}
	m.mayHaveRun = true
	offset := e.Token.Offset
	if e.End {
		offset = e.TokenCount
	}
	switch {
	case offset == m.next && e.End:
		m.keepOnly(now, a, c)
		m.finishCompleted(a)
	case offset == m.next:
		m.acceptToken(now, a, c, e.Token)
	case offset < m.next && !e.End:
		// A repeated token: the connection is alive.
	default:
		// A gap, or an end before the last accepted token.
		m.endAttempt(now, a, upstream.ObservedCancelled, true)
	}
}

func (m *Machine) acceptToken(now time.Time, a *attempt, c *attemptConnection, token contract.Token) {
	m.keepOnly(now, a, c)
	if !c.lastToken.IsZero() {
		a.tokenIntervals.Observe(now.Sub(c.lastToken))
	}
	c.lastToken = now
	c.deadline = now.Add(a.tokenIntervals.SilenceTimeout())
	a.produced = true
	m.emit(Action{Kind: ActionDeliver, Attempt: a.number, Token: token})
	m.next++
}

// keepOnly closes all other connections and makes the attempt the current one.
func (m *Machine) keepOnly(now time.Time, a *attempt, c *attemptConnection) {
	for _, other := range slices.Clone(m.attempts) {
		if other != a {
			m.refund(other)
			m.dropAttempt(other, other.observation(upstream.ObservedCancelled), true)
		}
	}
	for _, other := range slices.Clone(a.connections) {
		if other != c {
			a.removeConnection(other)
			m.emit(Action{Kind: ActionCloseConnection, Attempt: a.number, Connection: other.id})
		}
	}
	if a.suspected {
		c.lastToken = time.Time{} // do not count the pause as an interval between tokens
	}
	a.suspected = false
	a.cause = ""
	a.showsLife()
	c.probe = false
	m.retryAt = time.Time{}
	m.firstToken = m.settings.FirstTokenTimeout
	m.silentAttempts = 0
	if m.current != a.number {
		m.current = a.number
		m.emit(Action{Kind: ActionSwitchAttempt, Attempt: a.number})
	}
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

func (m *Machine) newConnectionID() ConnectionID {
	m.lastConnection++
	return m.lastConnection
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
	return m.settings.TextHeld && m.next >= m.settings.MinRestartOffset
}

// mayRun reports whether an engine may have run the request or may run it now.
func (m *Machine) mayRun() bool { return m.mayHaveRun || len(m.attempts) > 0 }
