package generation

import (
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// suspect marks an attempt as suspected until it yields the next token.
func (m *Machine) suspect(now time.Time, a *attempt, cause upstream.ObservationKind) {
	m.mayHaveRun = true
	if len(m.attempts) == maxLiveAttempts && m.attemptLeft() {
		m.endAttempt(now, a, cause, true)
		return
	}
	a.suspected = true
	a.cause = cause
	m.recover(now, a)
}

// recover probes the engine of an attempt and starts a hedge if one is allowed.
func (m *Machine) recover(now time.Time, a *attempt) {
	m.probe(now, a)
	if m.hedgeAllowed() {
		m.avoidUpstream(a)
		m.startAttempt(now)
	}
}

// probe resumes the stream of an attempt over a new connection.
func (m *Machine) probe(now time.Time, a *attempt) {
	a.probeAt = time.Time{}
	c := a.addConnection(m.newConnectionID(), true, now.Add(probeTimeout))
	m.emit(Action{Kind: ActionProbe, Attempt: a.number, Connection: c.id, Observation: a.cause})
}

// probeLater schedules a probe of an engine that did not answer the last one.
func (m *Machine) probeLater(now time.Time, a *attempt) {
	a.probeAt = now.Add(min(probeInterval<<min(a.unanswered, maxDoublings), maxProbeInterval))
	a.unanswered++
}

// showsLife records an answer of the engine of an attempt.
func (a *attempt) showsLife() {
	a.leaving, a.unanswered, a.probeAt = false, 0, time.Time{}
}

// attemptLeft reports whether a further attempt may continue the text.
func (m *Machine) attemptLeft() bool {
	return m.restartable() && m.countedAttempts < m.settings.MaxAttempts && !m.contentStatus.Quarantined
}

// firstTokenBound returns the time-out for the first token of a new attempt. A
// started text has to continue within the resume bound. The time-out doubles
// with each attempt that times out, because a long prefill may be the cause.
func (m *Machine) firstTokenBound() time.Duration {
	if m.next == 0 {
		return m.firstToken
	}
	return min(m.firstToken, resumedFirstTokenTimeout<<min(m.silentAttempts, maxDoublings))
}

// queuedTooLong reports whether an attempt that continues a text timed out before
// its first token. Its live engine has probably queued it behind long
// generations, possibly for longer than the resume bound.
func (m *Machine) queuedTooLong(a *attempt) bool {
	return m.next > 0 && !a.produced && !a.adopted && a.cause == upstream.ObservedNoResponse
}

// hedgeAllowed reports whether a second attempt may run beside a suspected one:
// with policy fast, or with any policy if the suspected one is queued too long.
// A suspected poison prompt never runs on two engines at a time.
func (m *Machine) hedgeAllowed() bool {
	needed := m.settings.Policy == configuration.ResumeFast || slices.ContainsFunc(m.attempts, m.queuedTooLong)
	return needed &&
		m.contentStatus.Crashes == 0 &&
		m.restartable() &&
		m.countedAttempts < m.settings.MaxAttempts
}

// handleLost handles a connection that ended early.
func (m *Machine) handleLost(now time.Time, a *attempt, c *attemptConnection) {
	m.mayHaveRun = true
	a.removeConnection(c)
	a.cause = upstream.ObservedConnectionLost
	if c.probe || a.suspected {
		m.endIfUnrecoverable(now, a)
		return
	}
	m.suspect(now, a, upstream.ObservedConnectionLost)
}

// handleRefused handles an engine that did not accept a start or a probe.
func (m *Machine) handleRefused(now time.Time, a *attempt, c *attemptConnection, kind upstream.ObservationKind) {
	a.removeConnection(c)
	if c.probe && len(a.connections) > 0 {
		m.endIfUnrecoverable(now, a)
		return
	}
	if c.probe {
		m.endAttempt(now, a, a.observation(kind), kind != upstream.ObservedUnreachable)
		return
	}
	m.countedAttempts--
	m.endAttempt(now, a, kind, false)
}

// endIfUnrecoverable replaces or ends an attempt that has no probe left to wait for.
func (m *Machine) endIfUnrecoverable(now time.Time, a *attempt) {
	probing := slices.ContainsFunc(a.connections, func(c *attemptConnection) bool { return c.probe })
	if probing {
		return
	}
	hedged := len(m.attempts) > 1
	silent := len(a.connections) > 0 || a.cause == upstream.ObservedNoResponse
	switch {
	case silent && !m.attemptLeft():
		m.probeLater(now, a)
	case hedged && len(a.connections) > 0:
		// The old connection may still yield the next token before the hedge.
	case silent && !hedged && m.contentStatus.Crashes == 0:
		m.replace(now, a)
	default:
		m.endAttempt(now, a, a.observation(upstream.ObservedNoResponse), true)
	}
}

// replace starts an attempt in place of one whose engine is silent. A silent engine may go on,
// so its attempt ends only when the next one has an upstream.
func (m *Machine) replace(now time.Time, a *attempt) {
	a.leaving = true
	m.probeLater(now, a)
	m.startAttempt(now)
}

// replacing reports whether an attempt is to be replaced. A suspected poison prompt never runs
// on two engines at a time.
func (m *Machine) replacing() bool {
	return m.contentStatus.Crashes == 0 && m.attemptLeft() &&
		slices.ContainsFunc(m.attempts, func(a *attempt) bool { return a.leaving })
}

// endReplaced ends the attempts that a placed one replaces.
func (m *Machine) endReplaced() {
	for _, a := range slices.Clone(m.attempts) {
		if a.leaving {
			m.dropAttempt(a, a.observation(upstream.ObservedNoResponse), true)
		}
	}
}

// endAttempt ends an attempt and starts the next if needed. If the content may
// have crashed the engine, the start waits for the cancellation.
func (m *Machine) endAttempt(now time.Time, a *attempt, kind upstream.ObservationKind, cancel bool) {
	m.dropAttempt(a, kind, cancel)
	m.avoidUpstream(a)
	if len(m.attempts) > 0 && !m.attempts[0].suspected {
		return
	}
	if len(m.attempts) > 0 && !m.hedgeAllowed() {
		m.endIfUnrecoverable(now, m.attempts[0])
		return
	}
	suspectedCrash := m.contentStatus.Crashes > 0 || kind == upstream.ObservedConnectionLost
	if suspectedCrash && cancel && len(m.attempts) == 0 {
		m.cancelling = a.number
		m.retryAt = now.Add(cancelTimeout) // earlier if the cancellation is confirmed
		return
	}
	m.startAttempt(now)
}

// refund reverses the count of an attempt that lost the race without failing.
func (m *Machine) refund(a *attempt) {
	if !a.produced && a.cause == "" {
		m.countedAttempts--
	}
}

// dropAttempt ends an attempt without starting another.
func (m *Machine) dropAttempt(a *attempt, kind upstream.ObservationKind, cancel bool) {
	m.removeAttempt(a)
	// A locator may be forged: only a token proves that its stream belongs to the request.
	cancel = cancel && (a.produced || !a.adopted)
	m.emit(Action{
		Kind: ActionEndAttempt, Attempt: a.number, Observation: kind, Cancel: cancel, Connections: a.connectionIDs(),
	})
}

func (m *Machine) removeAttempt(a *attempt) {
	m.attempts = slices.DeleteFunc(m.attempts, func(o *attempt) bool { return o == a })
}

func (m *Machine) avoidUpstream(a *attempt) {
	if a.upstream != "" && !slices.Contains(m.avoid, a.upstream) {
		m.avoid = append(m.avoid, a.upstream)
	}
}

// upstreamsToAvoid returns the upstreams that have failed and those of the attempts in progress.
func (m *Machine) upstreamsToAvoid() []contract.UpstreamID {
	avoid := slices.Clone(m.avoid)
	for _, a := range m.attempts {
		if a.upstream != "" && !slices.Contains(avoid, a.upstream) {
			avoid = append(avoid, a.upstream)
		}
	}
	return avoid
}

// handleTimeouts acts on all deadlines that have passed.
func (m *Machine) handleTimeouts(now time.Time) {
	if m.finished {
		return
	}
	if !now.Before(m.settings.Deadline) {
		m.finishDeadline()
		return
	}
	for _, a := range slices.Clone(m.attempts) {
		for _, c := range slices.Clone(a.connections) {
			expired := !c.deadline.IsZero() && !now.Before(c.deadline)
			if expired && m.attempt(a.number) == a && a.connection(c.id) == c {
				m.handleSilence(now, a, c)
			}
		}
	}
	if !m.finished && !m.retryAt.IsZero() && !now.Before(m.retryAt) {
		m.startAttempt(now)
	}
	for _, a := range m.attempts {
		if !a.probeAt.IsZero() && !now.Before(a.probeAt) {
			m.probe(now, a)
		}
	}
}

// handleSilence handles a connection that yielded nothing before its deadline.
func (m *Machine) handleSilence(now time.Time, a *attempt, c *attemptConnection) {
	if c.probe {
		a.removeConnection(c)
		m.emit(Action{Kind: ActionCloseConnection, Attempt: a.number, Connection: c.id})
		m.endIfUnrecoverable(now, a)
		return
	}
	c.deadline = time.Time{}
	if !a.produced {
		m.firstToken = min(2*m.firstToken, maxFirstTokenTimeout)
		m.silentAttempts++
	}
	m.suspect(now, a, upstream.ObservedNoResponse)
}

// nextTick returns the earliest deadline.
func (m *Machine) nextTick() time.Time {
	if m.finished {
		return time.Time{}
	}
	next := m.settings.Deadline
	if !m.retryAt.IsZero() && m.retryAt.Before(next) {
		next = m.retryAt
	}
	for _, a := range m.attempts {
		if !a.probeAt.IsZero() && a.probeAt.Before(next) {
			next = a.probeAt
		}
		for _, c := range a.connections {
			if !c.deadline.IsZero() && c.deadline.Before(next) {
				next = c.deadline
			}
		}
	}
	return next
}

func (m *Machine) finishCompleted(a *attempt) {
	m.removeAttempt(a)
	m.emit(Action{
		Kind: ActionEndAttempt, Attempt: a.number, Observation: upstream.ObservedOK, Connections: a.connectionIDs(),
	})
	m.finish(contract.Completed, "", 0)
}

func (m *Machine) finishDeadline() {
	if m.mayRun() {
		m.finish(contract.Interrupted, contract.ReasonDeadlineExceeded, 0)
		return
	}
	m.finish(contract.NotRun, contract.ReasonDeadlineExceeded, 0)
}

func (m *Machine) finishQuarantined(now time.Time) {
	wait := max(m.contentStatus.Until.Sub(now), 0)
	m.finish(contract.Quarantined, contract.ReasonQuarantined, wait)
}

func (m *Machine) finishIfNoAttempts(reason contract.Reason) {
	if len(m.attempts) == 0 {
		m.finish(contract.Interrupted, reason, 0)
	}
}

// finish ends the generation and all attempts.
func (m *Machine) finish(outcome contract.Outcome, reason contract.Reason, retryAfter time.Duration) {
	contract.Invariant(!m.finished, "generation finished twice", "request", m.settings.Request, "outcome", outcome)
	for _, a := range slices.Clone(m.attempts) {
		m.dropAttempt(a, a.observation(upstream.ObservedCancelled), true)
	}
	m.finished = true
	verdict := contract.Verdict{Outcome: outcome, Reason: reason, RetryAfter: retryAfter}
	m.emit(Action{Kind: ActionFinish, Verdict: verdict})
}

// observation returns the cause of the suspicion, or kind if there is none.
func (a *attempt) observation(kind upstream.ObservationKind) upstream.ObservationKind {
	if a.cause != "" {
		return a.cause
	}
	return kind
}

func (a *attempt) addConnection(id ConnectionID, probe bool, deadline time.Time) *attemptConnection {
	c := &attemptConnection{id: id, probe: probe, deadline: deadline}
	a.connections = append(a.connections, c)
	return c
}

func (a *attempt) connection(id ConnectionID) *attemptConnection {
	for _, c := range a.connections {
		if c.id == id {
			return c
		}
	}
	return nil
}

func (a *attempt) removeConnection(c *attemptConnection) {
	a.connections = slices.DeleteFunc(a.connections, func(o *attemptConnection) bool { return o == c })
}

func (a *attempt) connectionIDs() []ConnectionID {
	var ids []ConnectionID
	for _, c := range a.connections {
		ids = append(ids, c.id)
	}
	return ids
}
