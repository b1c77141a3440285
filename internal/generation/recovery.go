package generation

import (
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// suspect marks an attempt as failed until a lane yields the next token.
func (m *Machine) suspect(now time.Time, a *attempt, cause upstream.ObservationKind) {
	m.mayHaveRun = true
	if len(m.attempts) == maxAttemptsAlive {
		m.endAttempt(now, a, cause, true)
		return
	}
	a.suspected = true
	a.cause = cause
	m.recover(now, a)
}

// recover probes the engine of an attempt and, with policy fast, starts a rival.
func (m *Machine) recover(now time.Time, a *attempt) {
	probe := a.addLane(m.newLane(), true, now.Add(probeTimeout))
	m.emit(Action{Kind: ActionProbe, Attempt: a.number, Connection: probe.connection, Observed: a.cause})
	if m.rivalAllowed() {
		m.avoidUpstream(a)
		m.startAttempt(now)
	}
}

// firstTokenBound returns how long a new attempt may take to its first token. A
// text that has begun has to go on within the resume bound; the bound grows with
// each attempt in vain, because a long prefill may be the reason.
func (m *Machine) firstTokenBound() time.Duration {
	if m.next == 0 {
		return m.firstToken
	}
	return min(m.firstToken, resumedFirstToken<<min(m.silentAttempts, maxDoublings))
}

// queuedTooLong reports whether an attempt that continues a text has not begun
// within the time to a first token. Its engine is alive and has probably queued
// it behind long generations; the queue may outlast the resume bound.
func (m *Machine) queuedTooLong(a *attempt) bool {
	return m.next > 0 && !a.produced && !a.adopted && a.cause == upstream.ObservedSilent
}

// rivalAllowed reports whether a second attempt may run beside a suspected one:
// with policy fast, or if the suspected one waits in a queue with any policy.
// A content that is suspected of crashing engines never runs on two at a time.
func (m *Machine) rivalAllowed() bool {
	wanted := m.settings.Policy == configuration.ResumeFast || slices.ContainsFunc(m.attempts, m.queuedTooLong)
	return wanted &&
		m.standing.Deaths == 0 &&
		m.restartable() &&
		m.ran < m.settings.MaxAttempts
}

// lost handles a connection that ended early.
func (m *Machine) lost(now time.Time, a *attempt, l *lane) {
	m.mayHaveRun = true
	a.removeLane(l)
	a.cause = upstream.ObservedLost
	if l.probe || a.suspected {
		m.laneFailed(now, a)
		return
	}
	m.suspect(now, a, upstream.ObservedLost)
}

// refused handles an engine that did not take a start or a probe.
func (m *Machine) refused(now time.Time, a *attempt, l *lane, kind upstream.ObservationKind) {
	a.removeLane(l)
	if l.probe {
		m.endAttempt(now, a, a.observation(kind), kind != upstream.ObservedUnreachable)
		return
	}
	m.ran--
	m.endAttempt(now, a, kind, false)
}

// laneFailed ends an attempt that has no hope left.
func (m *Machine) laneFailed(now time.Time, a *attempt) {
	probing := slices.ContainsFunc(a.lanes, func(l *lane) bool { return l.probe })
	if probing {
		return
	}
	rivals := len(m.attempts) > 1
	if len(a.lanes) > 0 && rivals {
		return // the old connection may still yield the next token first
	}
	m.endAttempt(now, a, a.observation(upstream.ObservedSilent), true)
}

// endAttempt ends an attempt and starts the next if one is needed.
func (m *Machine) endAttempt(now time.Time, a *attempt, kind upstream.ObservationKind, cancel bool) {
	m.drop(a, kind, cancel)
	m.avoidUpstream(a)
	if len(m.attempts) > 0 && !m.attempts[0].suspected {
		return
	}
	if len(m.attempts) > 0 && !m.rivalAllowed() {
		m.laneFailed(now, m.attempts[0])
		return
	}
	suspect := m.standing.Deaths > 0 || kind == upstream.ObservedLost
	if suspect && cancel && len(m.attempts) == 0 {
		m.cancelling = a.number
		m.retryAt = now.Add(cancelTimeout) // earlier when the cancellation is answered
		return
	}
	m.startAttempt(now)
}

// refund takes back the count of an attempt that lost a race and has not failed.
func (m *Machine) refund(a *attempt) {
	if !a.produced && a.cause == "" {
		m.ran--
	}
}

// drop ends an attempt without a successor.
func (m *Machine) drop(a *attempt, kind upstream.ObservationKind, cancel bool) {
	m.remove(a)
	// A locator may be forged: only a token proves that its stream belongs to the request.
	cancel = cancel && (a.produced || !a.adopted)
	m.emit(Action{
		Kind: ActionEnd, Attempt: a.number, Observed: kind, Cancel: cancel, Connections: a.connections(),
	})
}

func (m *Machine) remove(a *attempt) {
	m.attempts = slices.DeleteFunc(m.attempts, func(o *attempt) bool { return o == a })
}

func (m *Machine) avoidUpstream(a *attempt) {
	if a.upstream != "" && !slices.Contains(m.avoid, a.upstream) {
		m.avoid = append(m.avoid, a.upstream)
	}
}

// expire acts on all times that have passed.
func (m *Machine) expire(now time.Time) {
	if m.finished {
		return
	}
	if !now.Before(m.settings.Deadline) {
		m.finishDeadline()
		return
	}
	for _, a := range slices.Clone(m.attempts) {
		for _, l := range slices.Clone(a.lanes) {
			due := !l.deadline.IsZero() && !now.Before(l.deadline)
			if due && m.attempt(a.number) == a && a.lane(l.connection) == l {
				m.silent(now, a, l)
			}
		}
	}
	if !m.finished && !m.retryAt.IsZero() && !now.Before(m.retryAt) {
		m.startAttempt(now)
	}
}

// silent handles a lane that yielded nothing in time.
func (m *Machine) silent(now time.Time, a *attempt, l *lane) {
	if l.probe {
		a.removeLane(l)
		m.emit(Action{Kind: ActionClose, Attempt: a.number, Connection: l.connection})
		m.laneFailed(now, a)
		return
	}
	l.deadline = time.Time{}
	if !a.produced {
		m.firstToken = min(2*m.firstToken, firstTokenCeiling)
		m.silentAttempts++
	}
	m.suspect(now, a, upstream.ObservedSilent)
}

// wake returns when the next tick is due.
func (m *Machine) wake() time.Time {
	if m.finished {
		return time.Time{}
	}
	wake := m.settings.Deadline
	if !m.retryAt.IsZero() && m.retryAt.Before(wake) {
		wake = m.retryAt
	}
	for _, a := range m.attempts {
		for _, l := range a.lanes {
			if !l.deadline.IsZero() && l.deadline.Before(wake) {
				wake = l.deadline
			}
		}
	}
	return wake
}

func (m *Machine) finishCompleted(a *attempt) {
	m.remove(a)
	m.emit(Action{
		Kind: ActionEnd, Attempt: a.number, Observed: upstream.ObservedOK, Connections: a.connections(),
	})
	m.finish(contract.Completed, "", 0)
}

func (m *Machine) finishDeadline() {
	if m.mayRun() {
		m.finish(contract.Interrupted, contract.ReasonDeadline, 0)
		return
	}
	m.finish(contract.NotRun, contract.ReasonDeadline, 0)
}

func (m *Machine) finishQuarantined(now time.Time) {
	wait := max(m.standing.Until.Sub(now), 0)
	m.finish(contract.Quarantined, contract.ReasonQuarantined, wait)
}

func (m *Machine) finishIfIdle(reason contract.Reason) {
	if len(m.attempts) == 0 {
		m.finish(contract.Interrupted, reason, 0)
	}
}

// finish ends the generation and all attempts.
func (m *Machine) finish(outcome contract.Outcome, reason contract.Reason, retryAfter time.Duration) {
	contract.Invariant(!m.finished, "generation finished twice", "request", m.settings.Request, "outcome", outcome)
	for _, a := range slices.Clone(m.attempts) {
		m.drop(a, a.observation(upstream.ObservedCancelled), true)
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

func (a *attempt) addLane(id ConnectionID, probe bool, deadline time.Time) *lane {
	l := &lane{connection: id, probe: probe, deadline: deadline}
	a.lanes = append(a.lanes, l)
	return l
}

func (a *attempt) lane(id ConnectionID) *lane {
	for _, l := range a.lanes {
		if l.connection == id {
			return l
		}
	}
	return nil
}

func (a *attempt) removeLane(l *lane) {
	a.lanes = slices.DeleteFunc(a.lanes, func(o *lane) bool { return o == l })
}

func (a *attempt) connections() []ConnectionID {
	var ids []ConnectionID
	for _, l := range a.lanes {
		ids = append(ids, l.connection)
	}
	return ids
}
