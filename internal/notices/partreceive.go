package notices

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/poison"
)

// minRowAge is the age from which the successes in a row are put back in time. Instances that
// see the same crash differ by less.
const minRowAge = time.Second

// readEvidence decodes a row of another instance.
func (e *partExchange) readEvidence(now time.Time, row discovery.Row, returned bool) (evidence, bool) {
	slot, own := e.ownSlot(row.Key)
	e.mu.Lock()
	if own && returned {
		e.reviewOwnRow(now, slot, row)
	}
	if row.Deleted {
		delete(e.evidence.foreign, row.Key)
	} else if !own {
		e.evidence.foreign[row.Key] = now.Add(foreignRowLifetime + writeDelay(foreignRowSpread))
	}
	e.mu.Unlock()
	if row.Deleted || own {
		return evidence{}, false
	}
	return e.decodeRow(now, row)
}

// decodeRow decodes a row with evidence, or logs that it is invalid.
func (e *partExchange) decodeRow(now time.Time, row discovery.Row) (evidence, bool) {
	ev, err := decodeEvidence(now, row.Value)
	if err != nil {
		e.log.WithError(err).WithField("key", row.Key).Warn("invalid row with evidence on parts of prompts ignored")
		return evidence{}, false
	}
	return ev, true
}

// applyEvidence adds the evidence of other instances to the ledger.
func (e *partExchange) applyEvidence(now time.Time, batch []evidence) {
	crashes := e.recordEvidence(now, batch)
	e.answer(now, crashes)
	reviewedAt := e.reviewedAt(now)
	for _, ev := range batch {
		for part, at := range ev.successes {
			if at.After(reviewedAt[part]) {
				e.ledger.AddSuccess(now, at, []poison.Part{part})
			}
		}
	}
	for _, crash := range crashes {
		verdicts := e.ledger.AddCrash(now, crash)
		e.log.WithFields(logrus.Fields{"upstream": crash.UpstreamID, "prompts": len(crash.Prompts), "verdicts": len(verdicts)}).Info("crash with suspect prompts received from another instance")
		e.ShareVerdicts(verdicts)
	}
}

// rowAge returns the least time since a row was written, by the crashes in it of which the
// time is known from other rows.
func (q *evidenceQueue) rowAge(ev evidence) (age time.Duration) {
	for upstreamID, at := range ev.known {
		if earlier, known := q.known[upstreamID]; known {
			age = max(age, at.Sub(earlier))
		}
	}
	return age
}

// recordEvidence records what other instances have shared, and returns the crashes in order.
func (e *partExchange) recordEvidence(now time.Time, batch []evidence) []poison.Crash {
	e.mu.Lock()
	defer e.mu.Unlock()
	q := &e.evidence
	var crashes []poison.Crash
	for _, ev := range batch {
		for upstreamID, at := range ev.known {
			q.recordCrash(now, upstreamID, at)
		}
		for _, crash := range ev.crashes {
			q.recordCrash(now, crash.UpstreamID, crash.At)
			crashes = append(crashes, crash)
		}
	}
	for _, ev := range batch {
		if age := q.rowAge(ev); age > minRowAge {
			for part, at := range ev.successes {
				ev.successes[part] = at.Add(-age)
			}
		}
		q.recordShared(now, ev.successes)
	}
	for i, crash := range crashes {
		if at, known := q.known[crash.UpstreamID]; known {
			crashes[i].At = at
		}
	}
	slices.SortStableFunc(crashes, func(a, b poison.Crash) int { return a.At.Compare(b.At) })
	return crashes
}
