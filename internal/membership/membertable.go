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
	// drainingMargin is the error that ages may accumulate on different relay
	// paths. Draining wins over another state that is at most this much more
	// recent, because a leaving instance may send its last heartbeat at any time.
	drainingMargin = 5 * time.Second
	// departTimeout is the silence after which a draining instance counts as
	// departed.
	departTimeout = 5 * time.Second
	// departedRetention is how long the record of a departed instance is kept, so
	// that delayed reports do not add the instance again.
	departedRetention = time.Minute
	// silenceTimeout is the silence after which an instance is no longer a
	// candidate for a peer and is only probed.
	silenceTimeout = 5 * time.Second
	// newMemberGrace is how long a new instance is a candidate without a contact.
	newMemberGrace = 10 * time.Second
	// compactAbove is the number of removed slots that is tolerated.
	compactAbove = 64
)

// instant is a time on the monotonic clock, relative to the creation of the
// Membership.
type instant int64

const never instant = math.MinInt64

func (i instant) after(d time.Duration) instant { return i + instant(d) }

// since returns the time from earlier to i. It saturates if earlier is never.
func (i instant) since(earlier instant) time.Duration {
	if earlier == never {
		return math.MaxInt64
	}
	return time.Duration(i - earlier)
}

// record is the state of another instance.
type record struct {
	member        Member
	slot          int     // index in memberTable.slots, -1 if removed
	lastContact   instant // last contact at which it was current, direct or relayed
	lastRoundTrip instant // last round trip from this instance
	state         State
	stateAt       instant // time of the contact that reported the state
	notDrainingAt instant // last response of the instance itself with a state other than draining
	firstSeen     instant
	lastSeen      instant
	departedAt    instant // never: has not departed
	listed        bool
	// listState and listUpdatedAt come from its entry in the instance list.
	listState     platform.EntryState
	listUpdatedAt time.Time
	seed          bool
	headVersion   int64 // known for peers only
	heldVersion   int64 // highest configuration version that it was reported to hold
	sequence      int64 // of the roster that it held at the last contact
}

// memberTable holds the records of all other instances and determines which are
// known, departed or candidates for peers. It does no I/O and reads no clock.
type memberTable struct {
	self      contract.InstanceID
	retention time.Duration
	byID      map[contract.InstanceID]*record
	slots     []*record // nil where a record was removed
	epoch     uint64    // changes when slots are reassigned
	sorted    []*record // by identifier, nil after a change
}

func newMemberTable(self contract.InstanceID, retention time.Duration, epoch uint64) *memberTable {
	return &memberTable{self: self, retention: retention, byID: map[contract.InstanceID]*record{}, epoch: epoch}
}

// add returns the record of a member, a new one if there was none. It returns
// nil for this instance itself, for an empty identifier, and if the table is
// full.
func (mt *memberTable) add(m Member, now instant) *record {
	if r := mt.byID[m.ID]; r != nil {
		return r
	}
	if m.ID == "" || m.ID == mt.self || len(mt.slots) >= maxMembers {
		return nil
	}
	r := &record{
		member: m, slot: len(mt.slots), lastContact: never, lastRoundTrip: never, state: Unready,
		stateAt: never, notDrainingAt: never, firstSeen: now, lastSeen: now, departedAt: never,
	}
	mt.byID[m.ID] = r
	mt.slots = append(mt.slots, r)
	mt.sorted = nil
	return r
}

// sortedRecords returns all records by identifier. The result is cached until a
// change, because views are built several times a second. The slice must not be
// changed.
func (mt *memberTable) sortedRecords() []*record {
	if mt.sorted == nil {
		mt.sorted = slices.SortedFunc(maps.Values(mt.byID), func(a, b *record) int { return cmp.Compare(a.member.ID, b.member.ID) })
	}
	return mt.sorted
}

// applyList merges the platform's instance list. An instance that is missing
// from the list is kept: only its own announcement that it is leaving counts.
func (mt *memberTable) applyList(entries []platform.ListEntry, accept func(region string) bool, now instant) {
	for _, r := range mt.byID {
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
		if e.State == platform.StateLeaving && mt.byID[m.ID] == nil {
			continue // it left before this instance added it
		}
		r := mt.add(m, now)
		if r == nil {
			continue
		}
		r.member, r.listed, r.lastSeen = m, true, now
		// Each update of an entry is applied once: the entry of an earlier process
		// stays in the list while its successor cannot reach the list.
		updated := e.State != r.listState || !e.UpdatedAt.Equal(r.listUpdatedAt)
		r.listState, r.listUpdatedAt = e.State, e.UpdatedAt
		if updated && e.State == platform.StateLeaving {
			r.applyState(Draining, now)
		}
	}
}

// applyState applies a state reported by a contact at the given time.
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
	// A changed state is dated by its own report: a draining state that took the
	// time of the state it replaces would never expire.
	r.state, r.stateAt = state, at
	if state != Draining {
		r.departedAt = never
	}
}

// applyOwnState applies the state that the instance itself returned to a
// request sent at the given time. No margin is needed: if the instance was
// draining before, it has been restarted.
func (r *record) applyOwnState(state State, at instant) {
	if state != Draining && at >= r.stateAt {
		r.state, r.stateAt, r.notDrainingAt, r.departedAt = state, at, at, never
		return
	}
	r.applyState(state, at)
}

// applyContact applies a contact with r at the given time, direct or relayed.
func (r *record) applyContact(state State, at instant) {
	if at > r.lastContact {
		r.lastContact = at
		r.lastSeen = max(r.lastSeen, at)
	}
	r.applyState(state, at)
}

// reportedTime returns the time sent to peers with the state. A draining state
// that no later contact has ended keeps the time of its report: otherwise
// instances would renew it for each other for as long as the restarted instance
// runs.
func (r *record) reportedTime() instant {
	if r.state == Draining {
		return min(r.lastContact, r.stateAt)
	}
	return r.lastContact
}

// sweep marks and removes the instances that have departed by now.
func (mt *memberTable) sweep(now instant) {
	for id, r := range mt.byID {
		silence := now.since(max(r.lastReached(), r.stateAt))
		if r.departedAt == never && r.state == Draining && silence > departTimeout {
			r.departedAt = now
		}
		expired := r.departedAt != never && now.since(r.departedAt) > departedRetention
		if expired && !r.listed || !mt.known(r, now) && r.departedAt == never {
			delete(mt.byID, id)
			mt.slots[r.slot] = nil
			r.slot = -1
			mt.sorted = nil
		}
	}
	if removed := len(mt.slots) - len(mt.byID); removed > max(compactAbove, len(mt.byID)/2) {
		mt.compact()
	}
}

// compact reassigns the slots. Peers then fetch the whole table again.
func (mt *memberTable) compact() {
	kept := mt.slots[:0]
	for _, r := range mt.slots {
		if r != nil {
			r.slot = len(kept)
			kept = append(kept, r)
		}
	}
	clear(mt.slots[len(kept):])
	mt.slots = kept
	mt.epoch++
}

// known reports whether r is remembered, and probed while it is silent.
func (mt *memberTable) known(r *record, now instant) bool {
	if r.departedAt != never {
		return false
	}
	return r.listed || r.seed || now.since(r.lastSeen) < mt.retention
}

// knownUntil returns when r is forgotten unless it is contacted or listed
// again.
func (mt *memberTable) knownUntil(r *record, now instant) instant {
	switch {
	case r.departedAt != never:
		return never
	case r.listed || r.seed:
		return now.after(mt.retention)
	}
	return r.lastSeen.after(mt.retention)
}

// peerCandidate reports whether r may be selected as a peer.
func (r *record) peerCandidate(now instant) bool {
	if r.departedAt != never {
		return false
	}
	return now.since(r.lastReached()) < silenceTimeout || r.lastReached() == never && now.since(r.firstSeen) < newMemberGrace
}

// lastReached returns the time of the last contact, whether r was current or
// not.
func (r *record) lastReached() instant { return max(r.lastContact, r.lastRoundTrip) }
