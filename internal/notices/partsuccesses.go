package notices

import (
	"maps"
	"time"

	"foxtailhub.example/foxtailhub/internal/poison"
)

const (
	// repeatedSuccessInterval is the time in which a success on a part is not shared again,
	// unless a crash has come since.
	repeatedSuccessInterval = 5 * time.Second
	// maxAnswers bounds the parts with successes that wait, and maxSharedParts those whose
	// shared successes are remembered.
	maxAnswers     = 4096
	maxSharedParts = 20_000
)

// ShareSuccess shares that answers on parts with evidence against them went on.
func (e *partExchange) ShareSuccess(parts []poison.Part) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.notify()
	for _, part := range parts {
		if now.Sub(e.evidence.shared[part]) >= repeatedSuccessInterval || !e.evidence.isShared(part, now) {
			e.evidence.addAnswer(now, part, now)
		}
	}
}

// answer shares what this instance knows to be good of the parts in crashes at others.
func (e *partExchange) answer(now time.Time, crashes []poison.Crash) {
	var parts []poison.Part
	for _, crash := range crashes {
		parts = append(parts, promptParts(crash)...)
	}
	good := e.ledger.KnownGood(now, parts)
	e.mu.Lock()
	defer e.mu.Unlock()
	for part, at := range good {
		if !e.evidence.isShared(part, at) {
			e.evidence.addAnswer(now, part, at)
		}
	}
}

// shareAgain shares what this instance knows to be good of the parts of a verdict that its
// ledger does not adopt: the instance that has reached it may have restarted since they were
// shared. The caller holds mu.
func (e *partExchange) shareAgain(now time.Time, parts []poison.Part) {
	for part, at := range e.ledger.KnownGood(now, parts) {
		delete(e.evidence.shared, part)
		e.evidence.addAnswer(now, part, at)
	}
}

// addAnswer adds a success that this instance shares after a delay if no other one does.
func (q *evidenceQueue) addAnswer(now time.Time, part poison.Part, at time.Time) {
	if _, known := q.answers[part]; !known && len(q.answers) >= maxAnswers {
		return
	}
	q.answers[part] = latest(q.answers[part], at)
	if q.answersAt.IsZero() {
		q.answersAt = now.Add(writeDelay(answerSpread))
	}
}

// isShared reports whether a success adds nothing to the latest one that was shared: no crash
// has come between them.
func (q *evidenceQueue) isShared(part poison.Part, at time.Time) bool {
	last, ok := q.shared[part]
	if !ok {
		return false
	}
	for _, crashedAt := range q.known {
		if crashedAt.After(last) && crashedAt.Before(at) {
			return false
		}
	}
	return true
}

func (q *evidenceQueue) recordShared(now time.Time, successes map[poison.Part]time.Time) {
	if len(q.shared)+len(successes) > maxSharedParts {
		maps.DeleteFunc(q.shared, func(_ poison.Part, at time.Time) bool { return now.Sub(at) >= crashLifetime })
	}
	for part, at := range successes {
		if _, known := q.shared[part]; known || len(q.shared) < maxSharedParts {
			q.shared[part] = latest(q.shared[part], at)
		}
	}
}

// scheduleAnswers schedules the answers that are due and that no other instance has shared, or
// returns when some are due. The caller holds mu.
func (e *partExchange) scheduleAnswers(now time.Time) (next time.Time) {
	q := &e.evidence
	if q.answersAt.IsZero() || now.Before(q.answersAt) {
		return q.answersAt
	}
	q.answersAt = time.Time{}
	for part, at := range q.answers {
		if len(q.successes) >= maxAnswers {
			break
		}
		if !q.isShared(part, at) || at.Sub(q.shared[part]) >= repeatedSuccessInterval {
			q.successes[part] = latest(q.successes[part], at)
			q.unlinked = true
			q.schedule(now)
		}
	}
	clear(q.answers)
	return time.Time{}
}
