package discovery

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/pool"
)

const (
	// outageGap is the time without a response of the store after which missing entries
	// may have lapsed only because their upstreams could not reach the store either.
	outageGap = 2500 * time.Millisecond
	// lapseGrace is how long missing entries are kept after the first response of the
	// store after an outage. A live upstream registers again within 2 s of the recovery,
	// and the first response usually arrives 0.3 s after the recovery. In the worst case
	// (a failed call and a backoff before the first response) the grace ends 3 s after
	// the recovery, when requests sent to upstreams that have left count as faults again.
	lapseGrace = 1700 * time.Millisecond
	// returnGrace replaces lapseGrace after the store has come back from a copy, which can be seen
	// at once. Live upstreams that the copy lacks register again within 2 s.
	returnGrace = 2300 * time.Millisecond
	// lastReadMargin is how long before the end of the grace period the list is read once more.
	lastReadMargin = 200 * time.Millisecond
	// evidenceMargin is how long before the end of the grace period the list may have been read last
	// for its missing upstreams to count as gone then.
	evidenceMargin = 700 * time.Millisecond
	// maxLapseTime is how long short failures of calls may prolong the grace period of a missing upstream:
	// the calls of one topic may fail for long while the others succeed.
	maxLapseTime = 12 * time.Second
)

// lapse is the grace period of a missing upstream.
type lapse struct {
	until   time.Time     // when the upstream is removed
	settled time.Duration // time since its last outage or return in which the store was read
}

// UpstreamList keeps the pool in sync with the upstream entries of the store.
type UpstreamList struct {
	pool    *pool.Pool
	decoder Decoder
	log     logrus.FieldLogger

	mu         sync.Mutex               // guards the fields below
	upstreams  map[string]pool.Upstream // by key
	lapsed     map[string]lapse         // missing entries after an outage, by key
	graceUntil time.Time                // end of the period in which missing entries may have lapsed
	asOf       time.Time                // when the store was read for the newest update
	// failingSince is when calls of this instance to the store began to fail; zero if they succeed, or
	// if an update shows that the store has been read since.
	failingSince time.Time
	removed      removedUpstreams
	withheld     map[string]withheldUpstream
}

// NewUpstreamList returns an empty list.
func NewUpstreamList(p *pool.Pool, decoder Decoder, log logrus.FieldLogger) *UpstreamList {
	return &UpstreamList{
		pool: p, decoder: decoder, log: log,
		upstreams: map[string]pool.Upstream{}, lapsed: map[string]lapse{}, removed: removedUpstreams{}, withheld: map[string]withheldUpstream{},
	}
}

// Apply applies changed entries. gap is the time since the previous update.
func (l *UpstreamList) Apply(batch Batch, gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var sinceRead time.Duration
	if asOf := now.Add(-batch.Age); asOf.After(l.asOf) {
		sinceRead, l.asOf = asOf.Sub(l.asOf), asOf
	}
	switch {
	case batch.Returned:
		l.graceUntil = now.Add(returnGrace)
		l.restartGrace(now)
		l.log.WithFields(logrus.Fields{"era": batch.Era, "version": batch.Version, "upstreams": len(l.upstreams)}).Info("list of upstreams is from a copy; missing upstreams kept for the grace period")
	case gap > outageGap && len(l.upstreams) > 0:
		l.graceUntil = now.Add(lapseGrace)
		l.restartGrace(now)
	default:
		l.settleLapsed(sinceRead)
	}
	// A follower makes no call while it gets updates, so its calls may count as failing for long.
	if l.asOf.After(l.failingSince) {
		l.recordRecovery(now)
	}
	first := len(l.upstreams) == 0
	changed := false
	for _, row := range batch.Rows {
		if row.Deleted {
			changed = l.applyDeletion(row.Key, now) || changed
			continue
		}
		changed = l.applyEntry(row, !first, batch.Returned, now) || changed
	}
	changed = l.settleWithheld(sinceRead, batch.Returned) || changed
	changed = l.expire(now) || changed
	if first && changed {
		l.log.WithFields(logrus.Fields{"upstreams": len(l.upstreams), "version": batch.Version}).Info("first list of upstreams received")
	}
	if changed {
		l.publish()
	}
	l.pool.Confirm(now, int64(batch.Era))
}

// StoreStateChanged is called when calls of this instance to the store begin to fail or succeed
// again. Upstreams that are missing already could not write their entries in between either.
func (l *UpstreamList) StoreStateChanged(failing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if failing {
		l.failingSince = time.Now()
		return
	}
	l.recordRecovery(time.Now())
}

// recordRecovery begins the grace period of missing upstreams again after failed calls. The caller
// holds mu.
func (l *UpstreamList) recordRecovery(now time.Time) {
	if l.failingSince.IsZero() {
		return
	}
	l.failingSince = time.Time{}
	if until := now.Add(lapseGrace); len(l.lapsed) > 0 && until.After(l.graceUntil) {
		l.graceUntil = until
		for key, missing := range l.lapsed {
			if missing.settled < maxLapseTime {
				missing.until = until
				l.lapsed[key] = missing
			}
		}
		l.expireAfterGrace(now)
	}
}

// Schedule returns a schedule on which the list is read once more before missing upstreams are
// removed: they may have written their entries again since the last read.
func (l *UpstreamList) Schedule(schedule PollSchedule) PollSchedule {
	l.mu.Lock()
	defer l.mu.Unlock()
	if left := time.Until(l.graceUntil) - lastReadMargin; len(l.lapsed) > 0 && left > 0 {
		schedule.Pause = min(schedule.Pause, left)
	}
	return schedule
}

// SameEntry reports whether two rows of an upstream are equivalent. Upstreams rewrite their
// entry regularly, mostly without a change.
func (l *UpstreamList) SameEntry(a, b Row) bool {
	first, firstErr := l.decoder.Upstream(a)
	second, secondErr := l.decoder.Upstream(b)
	if firstErr != nil || secondErr != nil {
		return bytes.Equal(a.Value, b.Value)
	}
	return first == second
}

// applyEntry applies the entry of an upstream. An entry that cannot be decoded removes
// its upstream. The entries of the first list are not logged one by one.
func (l *UpstreamList) applyEntry(row Row, logged, returned bool, now time.Time) bool {
	u, err := l.decoder.Upstream(row)
	old, known := l.upstreams[row.Key]
	delete(l.withheld, row.Key)
	if err != nil {
		l.log.WithError(err).WithField("upstream", row.Key).Debug("entry does not describe an upstream")
		if known {
			delete(l.upstreams, row.Key)
		}
		return known
	}
	if returned && l.removed.has(now, u) {
		l.withhold(row.Key, u)
		return false
	}
	delete(l.lapsed, row.Key)
	delete(l.removed, processOf(u))
	if known && !sameProcess(old, u) {
		l.removed.add(now, old)
	}
	if known && sameProcess(old, u) && (returned || u.StartedAt != 0) {
		u.Draining = u.Draining || old.Draining // a copy of the store shows it as it was before
	}
	if known && old == u {
		return false
	}
	l.upstreams[row.Key] = u
	if !logged {
		return true
	}
	l.log.WithFields(logrus.Fields{
		"upstream": u.ID, "service": u.Service, "address": u.Address, "domain": u.FailureDomain, "leaving": u.Draining,
		"born": u.StartedAt, "new": !known, "row_version": row.Version,
	}).Info("upstream listed")
	return true
}

// applyDeletion handles a deleted entry. After an outage of the store the entry may have
// lapsed although its upstream is alive.
func (l *UpstreamList) applyDeletion(key string, now time.Time) bool {
	delete(l.withheld, key)
	u, known := l.upstreams[key]
	if !known {
		return false
	}
	if _, waiting := l.lapsed[key]; waiting {
		return false
	}
	if now.Before(l.graceUntil) && !u.Draining {
		l.lapsed[key] = lapse{until: l.graceUntil}
		l.expireAfterGrace(now)
		l.log.WithFields(logrus.Fields{"upstream": u.ID, "grace_ms": l.graceUntil.Sub(now).Milliseconds()}).Info("upstream entry lapsed during a store outage; upstream kept for the grace period")
		return false
	}
	l.remove(key, u)
	return true
}

// restartGrace keeps the upstreams that are missing already for the whole grace period.
func (l *UpstreamList) restartGrace(now time.Time) {
	if len(l.lapsed) == 0 {
		return
	}
	for key := range l.lapsed {
		l.lapsed[key] = lapse{until: l.graceUntil}
	}
	l.expireAfterGrace(now)
}

// settleLapsed counts the time since the update before for the missing upstreams.
func (l *UpstreamList) settleLapsed(sinceRead time.Duration) {
	for key, missing := range l.lapsed {
		missing.settled += sinceRead
		l.lapsed[key] = missing
	}
}

// expireAfterGrace calls expireLapsed at the end of the grace period. The next response of the store
// may arrive much later, and an upstream that the last one has shown to be gone must get no more
// requests then.
func (l *UpstreamList) expireAfterGrace(now time.Time) {
	time.AfterFunc(l.graceUntil.Sub(now), l.expireLapsed)
}

// expireLapsed removes the upstreams whose grace period is over, and publishes the list.
func (l *UpstreamList) expireLapsed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expire(time.Now()) {
		l.publish()
	}
}

// expire removes the upstreams whose entries have not reappeared within the grace period. They
// stay as long as the store has not been read again.
func (l *UpstreamList) expire(now time.Time) bool {
	changed := false
	for key, missing := range l.lapsed {
		if !now.Before(missing.until) && l.failingSince.IsZero() && !l.asOf.Before(missing.until.Add(-evidenceMargin)) {
			delete(l.lapsed, key)
			l.remove(key, l.upstreams[key])
			changed = true
		}
	}
	return changed
}

func (l *UpstreamList) remove(key string, u pool.Upstream) {
	delete(l.upstreams, key)
	l.removed.add(time.Now(), u)
	l.log.WithFields(logrus.Fields{"upstream": u.ID, "service": u.Service, "address": u.Address}).Info("upstream gone")
}

func (l *UpstreamList) publish() {
	upstreams := make([]pool.Upstream, 0, len(l.upstreams))
	for _, u := range l.upstreams {
		upstreams = append(upstreams, u)
	}
	slices.SortFunc(upstreams, func(a, b pool.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	l.pool.Replace(upstreams)
}
