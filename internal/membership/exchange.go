package membership

import (
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// claim is the last contact with an instance that a peer told of.
type claim struct {
	at    instant
	state State
	held  int64 // configuration version that it held
	// sequence is that of the roster that it held.
	sequence int64
}

// peerTable is this instance's copy of the table of a peer, with what the peer
// last claimed about each record.
type peerTable struct {
	epoch       uint64
	names       []*record // by the peer's index, nil where the entry is of no use
	claims      []claim   // by slot of the own ledger
	claimsEpoch uint64    // epoch of the own ledger
}

func (t *peerTable) reset(epoch uint64) {
	t.epoch = epoch
	t.names = t.names[:0]
	t.claims = t.claims[:0]
}

// setClaim stores what the peer claimed about the record in a slot.
func (t *peerTable) setClaim(ledgerEpoch uint64, slot int, c claim) {
	if t.claimsEpoch != ledgerEpoch {
		t.claims, t.claimsEpoch = t.claims[:0], ledgerEpoch
	}
	for len(t.claims) <= slot {
		t.claims = append(t.claims, claim{at: never})
	}
	t.claims[slot] = c
}

// newsMargin is how much more recent than the peer's last claim a contact must
// be to be sent. A claim is up to one heartbeat interval old, so the peer has
// mostly caught up by then: without the margin the answers to 8 peers at 480
// instances come close to the budget of 25 KB per second.
const newsMargin = 400 * time.Millisecond

// holds reports whether the peer claimed a contact with r that is about as
// recent as the one of this instance, in the same state.
func (t *peerTable) holds(ledgerEpoch uint64, r *record) bool {
	if t.claimsEpoch != ledgerEpoch || r.slot >= len(t.claims) {
		return false
	}
	c := t.claims[r.slot]
	return c.at != never && c.at.after(newsMargin) >= r.reported() && c.state == r.state && c.held >= r.held && c.sequence >= r.sequence
}

// writeAnswer fills in the part of the table that the peer lacks and the
// contacts that are news to it. An instance that is not current passes on no
// contacts: it may have forgotten a version that it acknowledged before a restart.
func (l *ledger) writeAnswer(a *answer, h heartbeat, peer contract.InstanceID, t *peerTable, now instant) {
	a.Epoch = l.epoch
	if h.Epoch == l.epoch {
		a.First = min(h.Have, len(l.table))
	}
	end := min(len(l.table), a.First+maxNames)
	for _, r := range l.table[a.First:end] {
		if r == nil {
			a.Names = append(a.Names, entry{})
			continue
		}
		e := r.member.entry()
		e.Silent = r.silentSeconds(now)
		a.Names = append(a.Names, e)
	}
	if !a.Status.Current {
		return
	}
	w := newVectorWriter()
	for i, r := range l.table[:end] {
		if r == nil || r.contact == never || r.member.ID == peer || t.holds(l.epoch, r) {
			continue
		}
		if age, ok := encodeAge(now.since(r.reported())); ok {
			w.add(i, r.state, age)
			if r.held != a.Status.Held {
				w.held = append(w.held, held{Index: i, Version: r.held})
			}
			if r.sequence != a.Status.Sequence {
				w.sequence = append(w.sequence, held{Index: i, Version: r.sequence})
			}
		}
	}
	w.store(a)
}

// readAnswer merges the answer of a peer to a request that was sent at the
// given time. An age counts back from that time, because the peer determined it
// later than that. Contacts count only if the peer is current and this instance
// lacks no version that it knows of.
//
// The roster's sequence is that of this instance. An answer under a newer roster
// proves neither a contact nor a held version: a majority of an outdated roster
// need not share an instance with one of the newer roster.
func (l *ledger) readAnswer(a answer, from *record, t *peerTable, accept func(region string) bool, current bool, sequence int64, sent, now instant) {
	if a.Status.Sequence > sequence {
		a = a.withoutContacts()
	}
	from.direct = max(from.direct, sent)
	from.head, from.held = a.Status.Head, max(from.held, a.Status.Held)
	from.lastSeen = max(from.lastSeen, sent)
	if current && a.Status.Current && sent >= from.contact {
		from.contact, from.sequence = sent, a.Status.Sequence
	}
	from.answered(a.Status.State, sent)
	if t.epoch != a.Epoch || a.First > len(t.names) {
		t.reset(a.Epoch)
		if a.First != 0 {
			t.epoch = 0 // the entries before First are missing: ask for all of them
			return
		}
	}
	held := min(len(t.names)-a.First, len(a.Names)) // by the answer to another heartbeat
	for _, e := range a.Names[held:] {
		t.names = append(t.names, l.resolve(e, accept, now))
	}
	readVector(a, func(index int, c claimed) {
		if index >= len(t.names) || t.names[index] == nil {
			return
		}
		r := t.names[index]
		if r.slot < 0 {
			if r = l.add(r.member, now); r == nil {
				return
			}
			t.names[index] = r
		}
		at := sent.after(-c.age)
		r.held = max(r.held, c.held)
		t.setClaim(l.epoch, r.slot, claim{at: at, state: c.state, held: c.held, sequence: c.sequence})
		if current {
			if at > r.contact {
				r.sequence = c.sequence
			}
			r.hear(c.state, at)
		}
	})
}

// withoutContacts returns the answer without what it proves about contacts and
// held versions.
func (a answer) withoutContacts() answer {
	a.Status.Current, a.Status.Held = false, 0
	a.Marks, a.Ages, a.States, a.Held, a.Sequences = nil, nil, nil, nil, nil
	return a
}

// silentSeconds returns the Silent of an entry for r.
func (r *record) silentSeconds(now instant) uint32 {
	if r.departed != never {
		return departedEntry
	}
	return uint32(max(now.since(r.lastSeen), 0) / time.Second)
}

// resolve returns the record for an entry of a peer's table. An instance that
// the peer knows becomes known here for the rest of its hold: else an instance
// that starts in the minority of a partition, while the list is down, would take
// this minority for the whole deployment. One that has departed is not added.
func (l *ledger) resolve(e entry, accept func(region string) bool, now instant) *record {
	if e.ID == "" || e.ID == l.self || !accept(e.Region) {
		return nil
	}
	if r := l.byID[e.ID]; r != nil {
		return r
	}
	silent := time.Duration(e.Silent) * time.Second
	if e.Silent != departedEntry && silent < l.hold {
		if r := l.add(e.member(), now); r != nil {
			r.lastSeen, r.firstSeen = now.after(-silent), now.after(-silent)
			return r
		}
	}
	return &record{member: e.member(), slot: -1}
}
