package notices

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/poison"
)

const (
	// evidenceDelay is the time in which evidence is collected for one row.
	evidenceDelay = 50 * time.Millisecond
	// maxPendingCrashes bounds the suspect prompts that wait for a write.
	maxPendingCrashes = 256
	// maxEvidenceRows is how many rows with evidence an instance has at a time. Another one
	// replaces the oldest.
	maxEvidenceRows = 64
	// maxKnownCrashes bounds the crashes whose times are known.
	maxKnownCrashes = 1000
	// foreignRowLifetime is the time after which an unchanged row of another instance, which
	// has probably ended, is removed. foreignRowSpread is the time over which the instances
	// remove the same one.
	foreignRowLifetime = 10 * time.Minute
	foreignRowSpread   = time.Minute
)

// evidenceQueue holds the evidence that waits for a write, and what is known of the rows with
// evidence in the store.
type evidenceQueue struct {
	crashes   []poison.Crash             // with one prompt each
	successes map[poison.Part]time.Time  // to be written with the next row
	dueAt     time.Time                  // of the next row; zero: nothing is to be written
	answers   map[poison.Part]time.Time  // successes that are dropped if another instance shares them
	answersAt time.Time                  // when answers become successes; zero: there are none
	shared    map[poison.Part]time.Time  // latest success that an instance has shared
	known     map[string]time.Time       // crash times by upstream
	unlinked  bool                       // there is evidence that did not go over links yet
	linkedAt  time.Time                  // when evidence last went over links
	slot      int                        // of the next row
	expiry    [maxEvidenceRows]time.Time // of the row in each slot; zero: none
	written   [maxEvidenceRows]writtenEvidence
	foreign   map[string]time.Time // rows of other processes, and when they are to be removed
}

func newEvidenceQueue() evidenceQueue {
	return evidenceQueue{
		successes: map[poison.Part]time.Time{}, answers: map[poison.Part]time.Time{}, shared: map[poison.Part]time.Time{},
		known: map[string]time.Time{}, foreign: map[string]time.Time{},
	}
}

// ShareCrash shares a crash that this instance has seen, with what is known good of its parts.
func (e *partExchange) ShareCrash(crash poison.Crash) {
	now := time.Now()
	good := e.ledger.KnownGood(now, promptParts(crash))
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.notify()
	q := &e.evidence
	q.recordCrash(now, crash.UpstreamID, crash.At)
	for _, prompt := range crash.Prompts {
		single := crash
		single.Prompts = []poison.Prompt{prompt[:min(len(prompt), maxPromptParts)]}
		q.crashes = append(q.crashes, single)
	}
	for part, at := range good {
		q.successes[part] = latest(q.successes[part], at)
	}
	q.unlinked = true
	q.schedule(now.Add(evidenceDelay))
	if excess := len(q.crashes) - maxPendingCrashes; excess > 0 {
		q.crashes = slices.Delete(q.crashes, 0, excess)
		e.log.WithField("crashes", excess).Warn("too many crashes wait to be shared with other instances; dropped the oldest")
	}
}

// schedule makes the next row due at a time or earlier.
func (q *evidenceQueue) schedule(at time.Time) {
	if q.dueAt.IsZero() || at.Before(q.dueAt) {
		q.dueAt = at
	}
}

// recordCrash records the earliest known time of a crash.
func (q *evidenceQueue) recordCrash(now time.Time, upstreamID string, at time.Time) {
	if earlier, known := q.known[upstreamID]; known && !at.Before(earlier) {
		return
	}
	if len(q.known) >= maxKnownCrashes {
		maps.DeleteFunc(q.known, func(_ string, at time.Time) bool { return now.Sub(at) >= crashLifetime })
	}
	if len(q.known) < maxKnownCrashes {
		q.known[strings.Clone(upstreamID)] = at
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// nextEvidence returns the write of the evidence that is due. The caller holds mu.
func (e *partExchange) nextEvidence(now time.Time) (*partWrite, time.Time) {
	q := &e.evidence
	if q.dueAt.IsZero() || now.Before(q.dueAt) {
		return nil, q.dueAt
	}
	q.dueAt = time.Time{}
	row := q.take(now)
	if len(row.crashes) == 0 && len(row.successes) == 0 {
		return nil, time.Time{}
	}
	if len(q.crashes) > 0 || len(q.successes) > 0 {
		q.schedule(now)
	}
	slot := q.slot
	key := e.evidenceKey(slot)
	log := e.log.WithFields(logrus.Fields{"key": key, "crashes": len(row.crashes), "successes": len(row.successes)})
	value, err := encodeEvidence(now, e.instance, row)
	if err != nil {
		log.WithError(err).Error("evidence on parts of prompts could not be encoded")
		return nil, q.dueAt
	}
	var message *partMessage
	if q.unlinked || now.Sub(q.linkedAt) >= partLinkInterval {
		message = &partMessage{Key: key, Value: value}
		q.unlinked, q.linkedAt = len(q.crashes) > 0 || len(q.successes) > 0, now
	}
	return &partWrite{
		key: key, message: message,
		call: func(ctx context.Context, store discovery.Store) error {
			return store.Put(ctx, discovery.Notices, key, value)
		},
		ended: func(err error) {
			if err != nil {
				q.restore(row)
				q.schedule(time.Now())
				return
			}
			q.slot = (slot + 1) % maxEvidenceRows
			q.expiry[slot] = time.Now().Add(crashLifetime)
			q.written[slot] = writtenEvidence{row, value}
			q.recordShared(time.Now(), row.successes)
			log.Info("evidence on parts of prompts shared with other instances")
		},
	}, time.Time{}
}

func (e *partExchange) evidenceKey(slot int) string {
	return fmt.Sprintf("%s%s-%d", evidenceKeyPrefix, e.writer, slot)
}

// take removes the evidence for one row from the queue. Evidence that has expired is dropped.
func (q *evidenceQueue) take(now time.Time) evidence {
	row := evidence{successes: map[poison.Part]time.Time{}, known: map[string]time.Time{}}
	q.crashes = slices.DeleteFunc(q.crashes, func(c poison.Crash) bool { return now.Sub(c.At) >= crashLifetime })
	parts, taken := 0, 0
	for _, crash := range q.crashes {
		parts += len(crash.Prompts[0])
		i := slices.IndexFunc(row.crashes, func(c poison.Crash) bool { return c.UpstreamID == crash.UpstreamID })
		if taken > 0 && parts > maxRowParts || i < 0 && len(row.crashes) == maxRowCrashes {
			break
		}
		taken++
		if i < 0 {
			row.crashes = append(row.crashes, crash)
			continue
		}
		row.crashes[i].Prompts = append(slices.Clip(row.crashes[i].Prompts), crash.Prompts[0])
	}
	q.crashes = slices.Delete(q.crashes, 0, taken)
	for part, at := range q.successes {
		if len(row.successes) == maxRowSuccesses {
			break
		}
		delete(q.successes, part)
		if now.Sub(at) < successLifetime {
			row.successes[part] = at
		}
	}
	upstreamIDs := slices.SortedFunc(maps.Keys(q.known), func(a, b string) int { return q.known[b].Compare(q.known[a]) })
	for _, upstreamID := range upstreamIDs[:min(len(upstreamIDs), maxRowKnown)] {
		row.known[upstreamID] = q.known[upstreamID]
	}
	return row
}

// restore puts the evidence of a row that was not written at the end of the queue, so that all
// evidence goes over links in turn while the store fails.
func (q *evidenceQueue) restore(row evidence) {
	for _, crash := range row.crashes {
		for _, prompt := range crash.Prompts {
			single := crash
			single.Prompts = []poison.Prompt{prompt}
			q.crashes = append(q.crashes, single)
		}
	}
	q.crashes = slices.Delete(q.crashes, 0, max(0, len(q.crashes)-maxPendingCrashes))
	for part, at := range row.successes {
		q.successes[part] = latest(q.successes[part], at)
	}
}

// nextRemoval returns the removal of a row that has expired. The caller holds mu.
func (e *partExchange) nextRemoval(now time.Time) (*partWrite, time.Time) {
	q := &e.evidence
	var next time.Time
	for slot, at := range q.expiry {
		if at.IsZero() {
			continue
		}
		if !now.Before(at) {
			return e.removal(e.evidenceKey(slot), func() { q.expiry[slot], q.written[slot] = time.Time{}, writtenEvidence{} }), time.Time{}
		}
		next = earliest(next, at)
	}
	for key, at := range q.foreign {
		if !now.Before(at) {
			return e.removal(key, func() { delete(q.foreign, key) }), time.Time{}
		}
	}
	return nil, next
}

// removal returns the removal of a row.
func (e *partExchange) removal(key string, removed func()) *partWrite {
	return &partWrite{
		key: key,
		call: func(ctx context.Context, store discovery.Store) error {
			return store.Remove(ctx, discovery.Notices, key)
		},
		ended: func(err error) {
			if err == nil {
				removed()
			}
		},
	}
}
