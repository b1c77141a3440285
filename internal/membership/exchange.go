package membership

import (
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// reportedContact is the last contact with an instance that a peer told of.
type reportedContact struct {
	at            instant
	state         State
	activeVersion int64 // configuration version that it held
	// sequence is that of the roster that it held.
	sequence int64
}

// peerTable is this instance's copy of the table of a peer, with what the peer
// last claimed about each record.
type peerTable struct {
	epoch        uint64
	records      []*record         // by the peer's index, nil where the entry is of no use
	reports      []reportedContact // by slot of the own ledger
	reportsEpoch uint64            // epoch of the own ledger
}

func (t *peerTable) reset(epoch uint64) {
	t.epoch = epoch
	t.records = t.records[:0]
	t.reports = t.reports[:0]
}

// setReport stores what the peer claimed about the record in a slot.
func (t *peerTable) setReport(tableEpoch uint64, slot int, c reportedContact) {
	if t.reportsEpoch != tableEpoch {
		t.reports, t.reportsEpoch = t.reports[:0], tableEpoch
	}
	for len(t.reports) <= slot {
		t.reports = append(t.reports, reportedContact{at: never})
	}
	t.reports[slot] = c
}

// relayMargin is how much more recent than the peer's last claim a contact must
// be to be sent. A claim is up to one heartbeat interval old, so the peer has
// mostly caught up by then: without the margin the answers to 8 peers at 480
// instances come close to the budget of 25 KB per second.
const relayMargin = 400 * time.Millisecond

// hasRecent reports whether the peer claimed a contact with r that is about as
// recent as the one of this instance, in the same state.
func (t *peerTable) hasRecent(tableEpoch uint64, r *record) bool {
	if t.reportsEpoch != tableEpoch || r.slot >= len(t.reports) {
		return false
	}
	c := t.reports[r.slot]
	return c.at != never && c.at.after(relayMargin) >= r.relayTime() && c.state == r.state && c.activeVersion >= r.activeVersion && c.sequence >= r.sequence
}

// writeResponse fills in the part of the table that the peer lacks and the
// contacts that are news to it. An instance that is not current passes on no
// contacts: it may have forgotten a version that it acknowledged before a restart.
func (l *memberTable) writeResponse(a *response, h heartbeat, peer contract.InstanceID, t *peerTable, now instant) {
	a.Epoch = l.epoch
	if h.Epoch == l.epoch {
		a.First = min(h.HaveEntries, len(l.slots))
	}
	end := min(len(l.slots), a.First+maxEntries)
	for _, r := range l.slots[a.First:end] {
		if r == nil {
			a.Entries = append(a.Entries, entry{})
			continue
		}
		e := r.member.entry()
		e.SilentSeconds = r.silentSeconds(now)
		a.Entries = append(a.Entries, e)
	}
	if !a.Status.Current {
		return
	}
	w := newLivenessVector()
	for i, r := range l.slots[:end] {
		if r == nil || r.lastContact == never || r.member.ID == peer || t.hasRecent(l.epoch, r) {
			continue
		}
		if age, ok := encodeAge(now.since(r.relayTime())); ok {
			w.add(i, r.state, age)
			if r.activeVersion != a.Status.ActiveVersion {
				w.versions = append(w.versions, indexedVersion{Index: i, Version: r.activeVersion})
			}
			if r.sequence != a.Status.Sequence {
				w.sequences = append(w.sequences, indexedVersion{Index: i, Version: r.sequence})
			}
		}
	}
	w.copyTo(a)
}

// mergeResponse merges the answer of a peer to a request that was sent at the
// given time. An age counts back from that time, because the peer determined it
// later than that. Contacts count only if the peer is current and this instance
// lacks no version that it knows of.
//
// The roster's sequence is that of this instance. An answer under a newer roster
// proves neither a contact nor a held version: a majority of an outdated roster
// need not share an instance with one of the newer roster.
func (l *memberTable) mergeResponse(a response, from *record, t *peerTable, accept func(region string) bool, current bool, sequence int64, sent, now instant) {
	if a.Status.Sequence > sequence {
		a = a.withoutContacts()
	}
	from.lastRoundTrip = max(from.lastRoundTrip, sent)
	from.headVersion, from.activeVersion = a.Status.HeadVersion, max(from.activeVersion, a.Status.ActiveVersion)
	from.lastSeen = max(from.lastSeen, sent)
	if current && a.Status.Current && sent >= from.lastContact {
		from.lastContact, from.sequence = sent, a.Status.Sequence
	}
	from.applyOwnState(a.Status.State, sent)
	if t.epoch != a.Epoch || a.First > len(t.records) {
		t.reset(a.Epoch)
		if a.First != 0 {
			t.epoch = 0 // the entries before First are missing: ask for all of them
			return
		}
	}
	known := min(len(t.records)-a.First, len(a.Entries)) // by the answer to another heartbeat
	for _, e := range a.Entries[known:] {
		t.records = append(t.records, l.resolve(e, accept, now))
	}
	readVector(a, func(index int, c vectorEntry) {
		if index >= len(t.records) || t.records[index] == nil {
			return
		}
		r := t.records[index]
		if r.slot < 0 {
			if r = l.add(r.member, now); r == nil {
				return
			}
			t.records[index] = r
		}
		at := sent.after(-c.age)
		r.activeVersion = max(r.activeVersion, c.activeVersion)
		t.setReport(l.epoch, r.slot, reportedContact{at: at, state: c.state, activeVersion: c.activeVersion, sequence: c.sequence})
		if current {
			if at > r.lastContact {
				r.sequence = c.sequence
			}
			r.applyContact(c.state, at)
		}
	})
}

// withoutContacts returns the answer without what it proves about contacts and
// held versions.
func (a response) withoutContacts() response {
	a.Status.Current, a.Status.ActiveVersion = false, 0
	a.Marks, a.Ages, a.States, a.Versions, a.Sequences = nil, nil, nil, nil, nil
	return a
}

// silentSeconds returns the Silent of an entry for r.
func (r *record) silentSeconds(now instant) uint32 {
	if r.departedAt != never {
		return silentDeparted
	}
	return uint32(max(now.since(r.lastSeen), 0) / time.Second)
}

// resolve returns the record for an entry of a peer's table. An instance that
// the peer knows becomes known here for the rest of its hold: else an instance
// that starts in the minority of a partition, while the list is down, would take
// this minority for the whole deployment. One that has departed is not added.
func (l *memberTable) resolve(e entry, accept func(region string) bool, now instant) *record {
	if e.ID == "" || e.ID == l.self || !accept(e.Region) {
		return nil
	}
	if r := l.byID[e.ID]; r != nil {
		return r
	}
	silent := time.Duration(e.SilentSeconds) * time.Second
	if e.SilentSeconds != silentDeparted && silent < l.retention {
		if r := l.add(e.member(), now); r != nil {
			r.lastSeen, r.firstSeen = now.after(-silent), now.after(-silent)
			return r
		}
	}
	return &record{member: e.member(), slot: -1}
}
