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
	// stateMargin is the error that ages may have accumulated on different
	// paths. Draining wins over another state that is at most this much more
	// recent, because a leaving instance may send its last heartbeat at any time.
	stateMargin = 5 * time.Second
	// departAfter is the silence after which a draining instance has left.
	departAfter = 5 * time.Second
	// forgetAfter is how long a departed instance is remembered, so that late
	// news of it does not add it again.
	forgetAfter = time.Minute
	// silentAfter is the silence after which an instance is no candidate for a
	// peer; it is then only probed.
	silentAfter = 5 * time.Second
	// introduction is how long a new instance is a candidate without a contact.
	introduction = 10 * time.Second
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
	member    Member
	slot      int     // index in the table, -1 when removed
	contact   instant // last contact at which it was current, direct or through others
	direct    instant // last round trip of this instance itself
	state     State
	stateAt   instant // contact that reported the state
	stayed    instant // last answer of the instance itself that it is not draining
	firstSeen instant
	lastSeen  instant
	departed  instant // never: has not departed
	listed    bool
	// entryState and entryAt are those of the entry in the list.
	entryState platform.ListedState
	entryAt    time.Time
	seed       bool
	head       int64 // of peers only
	held       int64 // configuration version that it is known to hold
	sequence   int64 // of the roster that it held at the last contact
}

// ledger holds the records of all other instances and decides who is known,
// who has departed and who may be a peer. It does no I/O and reads no clock.
type ledger struct {
	self  contract.InstanceID
	hold  time.Duration
	byID  map[contract.InstanceID]*record
	table []*record // by slot, nil where a record was removed
	epoch uint64    // changes when slots are assigned anew
	order []*record // by identifier, nil after a change
}

func newLedger(self contract.InstanceID, hold time.Duration, epoch uint64) *ledger {
	return &ledger{self: self, hold: hold, byID: map[contract.InstanceID]*record{}, epoch: epoch}
}

// add returns the record of a member, a new one if it was unknown. It returns
// nil for this instance itself, without an identifier, and when the ledger is full.
func (l *ledger) add(m Member, now instant) *record {
	if r := l.byID[m.ID]; r != nil {
		return r
	}
	if m.ID == "" || m.ID == l.self || len(l.table) >= maxMembers {
		return nil
	}
	r := &record{
		member: m, slot: len(l.table), contact: never, direct: never, state: Unready,
		stateAt: never, stayed: never, firstSeen: now, lastSeen: now, departed: never,
	}
	l.byID[m.ID] = r
	l.table = append(l.table, r)
	l.order = nil
	return r
}

// ordered returns all records by identifier. It is computed once per change,
// because views are built several times a second. The slice must not be changed.
func (l *ledger) ordered() []*record {
	if l.order == nil {
		l.order = slices.SortedFunc(maps.Values(l.byID), func(a, b *record) int { return cmp.Compare(a.member.ID, b.member.ID) })
	}
	return l.order
}

// applyList takes over the platform's list. An instance that is missing from
// it is not forgotten: only its own announcement that it leaves counts.
func (l *ledger) applyList(entries []platform.ListEntry, accept func(region string) bool, now instant) {
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
		news := e.State != r.entryState || !e.UpdatedAt.Equal(r.entryAt)
		r.entryState, r.entryAt = e.State, e.UpdatedAt
		if news && e.State == platform.ListedLeaving {
			r.report(Draining, now)
		}
	}
}

// report applies a state that was reported by a contact at the given time.
func (r *record) report(state State, at instant) {
	if state == Draining && at <= r.stayed {
		return
	}
	limit := r.stateAt
	if r.stateAt != never && state != r.state {
		if state == Draining {
			limit = r.stateAt.after(-stateMargin)
		}
		if r.state == Draining {
			limit = r.stateAt.after(stateMargin)
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
		r.departed = never
	}
}

// answered applies the state that r itself answered to a request sent at the
// given time. It needs no margin: an instance that drained before is another
// process now.
func (r *record) answered(state State, at instant) {
	if state != Draining && at >= r.stateAt {
		r.state, r.stateAt, r.stayed, r.departed = state, at, at, never
		return
	}
	r.report(state, at)
}

// hear applies a contact with r at the given time, direct or through others.
func (r *record) hear(state State, at instant) {
	if at > r.contact {
		r.contact = at
		r.lastSeen = max(r.lastSeen, at)
	}
	r.report(state, at)
}

// reported returns the time of the contact that is passed on with the state. A
// draining state that a later contact did not end keeps the time at which it was
// reported: with the time of the later contact, instances would renew it for
// each other for as long as the restarted instance lives.
func (r *record) reported() instant {
	if r.state == Draining {
		return min(r.contact, r.stateAt)
	}
	return r.contact
}

// sweep marks and removes the instances that have left by the time now.
func (l *ledger) sweep(now instant) {
	for id, r := range l.byID {
		quiet := now.since(max(r.alive(), r.stateAt))
		if r.departed == never && r.state == Draining && quiet > departAfter {
			r.departed = now
		}
		gone := r.departed != never && now.since(r.departed) > forgetAfter
		if gone && !r.listed || !l.known(r, now) && r.departed == never {
			delete(l.byID, id)
			l.table[r.slot] = nil
			r.slot = -1
			l.order = nil
		}
	}
	if removed := len(l.table) - len(l.byID); removed > max(compactAbove, len(l.byID)/2) {
		l.compact()
	}
}

// compact assigns slots anew. Peers then fetch the table again.
func (l *ledger) compact() {
	kept := l.table[:0]
	for _, r := range l.table {
		if r != nil {
			r.slot = len(kept)
			kept = append(kept, r)
		}
	}
	clear(l.table[len(kept):])
	l.table = kept
	l.epoch++
}

// known reports whether r is remembered, so that it is probed while it is silent.
func (l *ledger) known(r *record, now instant) bool {
	if r.departed != never {
		return false
	}
	return r.listed || r.seed || now.since(r.lastSeen) < l.hold
}

// knownUntil returns when r is forgotten without further news.
func (l *ledger) knownUntil(r *record, now instant) instant {
	switch {
	case r.departed != never:
		return never
	case r.listed || r.seed:
		return now.after(l.hold)
	}
	return r.lastSeen.after(l.hold)
}

// candidate reports whether r may be a peer.
func (r *record) candidate(now instant) bool {
	if r.departed != never {
		return false
	}
	return now.since(r.alive()) < silentAfter || r.alive() == never && now.since(r.firstSeen) < introduction
}

// alive returns the last contact, whether r was current or not.
func (r *record) alive() instant { return max(r.contact, r.direct) }
