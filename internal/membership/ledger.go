package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/platform"
)

const (
	// drainingMargin is the error that ages may have accumulated on different
	// paths. Draining wins over another state that is at most this much more
	// recent, because a leaving instance may send its last heartbeat at any time.
	drainingMargin = 5 * time.Second
	// departTimeout is the silence after which a draining instance has left.
	departTimeout = 5 * time.Second
	// departedRetention is how long a departed instance is remembered, so that late
	// news of it does not add it again.
	departedRetention = time.Minute
	// silenceTimeout is the silence after which an instance is no candidate for a
	// peer; it is then only probed.
	silenceTimeout = 5 * time.Second
	// newMemberGrace is how long a new instance is a candidate without a contact.
	newMemberGrace = 10 * time.Second
	// compactAbove is the number of removed table entries that are tolerated.
	compactAbove = 64
)

// instant is a time on the monotonic clock, as the distance from the start.
type instant int64

const never instant = math.MinInt64

func (i instant) after(d time.Duration) instant { return i + instant(d) }

// since returns the time from earlier to i. It saturates for never.
func (i instant) since(earlier instant) time.Duration {
	if earlier == never {
		return math.MaxInt64
	}
	return time.Duration(i - earlier)
}

// record is what is known of another instance.
type record struct {
	member        Member
	slot          int     // index in the table, -1 when removed
	lastContact   instant // last contact at which it was current, direct or through others
	lastRoundTrip instant // last round trip of this instance itself
	state         State
	stateAt       instant // contact that reported the state
	notDrainingAt instant // last answer of the instance itself that it is not draining
	firstSeen     instant
	lastSeen      instant
	departedAt    instant // never: has not departed
	listed        bool
	// listState and entryAt are those of the entry in the list.
	listState     platform.ListedState
	listUpdatedAt time.Time
	seed          bool
	headVersion   int64 // of peers only
	activeVersion int64 // configuration version that it is known to hold
	sequence      int64 // of the roster that it held at the last contact
}

// memberTable holds the records of all other instances and decides who is known,
// who has departed and who may be a peer. It does no I/O and reads no clock.
type memberTable struct {
	self      contract.InstanceID
	retention time.Duration
	byID      map[contract.InstanceID]*record
	slots     []*record // by slot, nil where a record was removed
	epoch     uint64    // changes when slots are assigned anew
	sorted    []*record // by identifier, nil after a change
}

func newMemberTable(self contract.InstanceID, retention time.Duration, epoch uint64) *memberTable {
	return &memberTable{self: self, retention: retention, byID: map[contract.InstanceID]*record{}, epoch: epoch}
}

// add returns the record of a member, a new one if it was unknown. It returns
// nil for this instance itself, without an identifier, and when the ledger is full.
func (l *memberTable) add(m Member, now instant) *record {
	if r := l.byID[m.ID]; r != nil {
		return r
	}
	if m.ID == "" || m.ID == l.self || len(l.slots) >= maxMembers {
		return nil
	}
	r := &record{
		member: m, slot: len(l.slots), lastContact: never, lastRoundTrip: never, state: Unready,
		stateAt: never, notDrainingAt: never, firstSeen: now, lastSeen: now, departedAt: never,
	}
	l.byID[m.ID] = r
	l.slots = append(l.slots, r)
	l.sorted = nil
	return r
}

// sortedRecords returns all records by identifier. It is computed once per change,
// because views are built several times a second. The slice must not be changed.
func (l *memberTable) sortedRecords() []*record {
	if l.sorted == nil {
		l.sorted = slices.SortedFunc(maps.Values(l.byID), func(a, b *record) int { return cmp.Compare(a.member.ID, b.member.ID) })
	}
	return l.sorted
}

// applyList takes over the platform's list. An instance that is missing from
// it is not forgotten: only its own announcement that it leaves counts.
func (l *memberTable) applyList(entries []platform.ListEntry, accept func(region string) bool, now instant) {
	for _, r := range l.byID {
		r.listed = false
	}
	for _, e := range entries {
		m := Member{
			ID: contract.InstanceID(e.ID), Address: e.Address,
			Domain: contract.FailureDomainID(e.FailureDomain), Region: e.Region,
		}
		if !accept(m.Region) || m.entry().check() != nil {
			continue
		}
		if e.State == platform.ListedLeaving && l.byID[m.ID] == nil {
			continue // it has left before this instance knew it
		}
		r := l.add(m, now)
		if r == nil {
			continue
		}
		r.member, r.listed, r.lastSeen = m, true, now
		// An entry counts once: that of an earlier process stays in the list while
		// its successor cannot reach the list.
		updated := e.State != r.listState || !e.UpdatedAt.Equal(r.listUpdatedAt)
		r.listState, r.listUpdatedAt = e.State, e.UpdatedAt
		if updated && e.State == platform.ListedLeaving {
			r.applyState(Draining, now)
		}
	}
}

// applyState applies a state that was reported by a contact at the given time.
func (r *record) applyState(state State, at instant) {
	if state == Draining && at <= r.notDrainingAt {
		return
	}
	limit := r.stateAt
	if r.stateAt != never && state != r.state {
		if state == Draining {
			limit = r.stateAt.after(-drainingMargin)
		}
		if r.state == Draining {
			limit = r.stateAt.after(drainingMargin)
		}
	}
	if at < limit {
		return
	}
	if state == r.state {
		at = max(at, r.stateAt)
	}
	// Another state counts from its own time: a draining report that takes the
	// time of what it replaces would never grow old.
	r.state, r.stateAt = state, at
	if state != Draining {
		r.departedAt = never
	}
}

// applyOwnState applies the state that r itself applyOwnState to a request sent at the
// given time. It needs no margin: an instance that drained before is another
// process now.
func (r *record) applyOwnState(state State, at instant) {
	if state != Draining && at >= r.stateAt {
		r.state, r.stateAt, r.notDrainingAt, r.departedAt = state, at, at, never
		return
	}
	r.applyState(state, at)
}

// applyContact applies a contact with r at the given time, direct or through others.
func (r *record) applyContact(state State, at instant) {
	if at > r.lastContact {
		r.lastContact = at
		r.lastSeen = max(r.lastSeen, at)
	}
	r.applyState(state, at)
}

// relayTime returns the time of the contact that is passed on with the state. A
// draining state that a later contact did not end keeps the time at which it was
// relayTime: with the time of the later contact, instances would renew it for
// each other for as long as the restarted instance lives.
func (r *record) relayTime() instant {
	if r.state == Draining {
		return min(r.lastContact, r.stateAt)
	}
	return r.lastContact
}

// sweep marks and removes the instances that have left by the time now.
func (l *memberTable) sweep(now instant) {
	for id, r := range l.byID {
		silence := now.since(max(r.lastReached(), r.stateAt))
		if r.departedAt == never && r.state == Draining && silence > departTimeout {
			r.departedAt = now
		}
		expired := r.departedAt != never && now.since(r.departedAt) > departedRetention
		if expired && !r.listed || !l.known(r, now) && r.departedAt == never {
			delete(l.byID, id)
			l.slots[r.slot] = nil
			r.slot = -1
			l.sorted = nil
		}
	}
	if removed := len(l.slots) - len(l.byID); removed > max(compactAbove, len(l.byID)/2) {
		l.compact()
	}
}

// compact assigns slots anew. Peers then fetch the table again.
func (l *memberTable) compact() {
	kept := l.slots[:0]
	for _, r := range l.slots {
		if r != nil {
			r.slot = len(kept)
			kept = append(kept, r)
		}
	}
	clear(l.slots[len(kept):])
	l.slots = kept
	l.epoch++
}

// known reports whether r is remembered, so that it is probed while it is silent.
func (l *memberTable) known(r *record, now instant) bool {
	if r.departedAt != never {
		return false
	}
	return r.listed || r.seed || now.since(r.lastSeen) < l.retention
}

// knownUntil returns when r is forgotten without further news.
func (l *memberTable) knownUntil(r *record, now instant) instant {
	switch {
	case r.departedAt != never:
		return never
	case r.listed || r.seed:
		return now.after(l.retention)
	}
	return r.lastSeen.after(l.retention)
}

// peerCandidate reports whether r may be a peer.
func (r *record) peerCandidate(now instant) bool {
	if r.departedAt != never {
		return false
	}
	return now.since(r.lastReached()) < silenceTimeout || r.lastReached() == never && now.since(r.firstSeen) < newMemberGrace
}

// lastReached returns the last contact, whether r was current or not.
func (r *record) lastReached() instant { return max(r.lastContact, r.lastRoundTrip) }
