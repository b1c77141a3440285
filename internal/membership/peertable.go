package membership

import (
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// reportedContact is the last contact with an instance that a peer reported.
type reportedContact struct {
	at          instant
	state       State
	heldVersion int64 // configuration version in force there
	// sequence is that of the roster that it held.
	sequence int64
}

// peerTable is the local copy of a peer's table, with the last contact that the
// peer reported for each record.
type peerTable struct {
	epoch        uint64
	records      []*record         // by the peer's index, nil for unusable entries
	reports      []reportedContact // by slot of the own table
	reportsEpoch uint64            // epoch of the own table
}

func (t *peerTable) reset(epoch uint64) {
	t.epoch = epoch
	t.records = t.records[:0]
	t.reports = t.reports[:0]
}

// setReport stores the contact that the peer reported for the record in a slot.
func (t *peerTable) setReport(tableEpoch uint64, slot int, c reportedContact) {
	if t.reportsEpoch != tableEpoch {
		t.reports, t.reportsEpoch = t.reports[:0], tableEpoch
	}
	for len(t.reports) <= slot {
		t.reports = append(t.reports, reportedContact{at: never})
	}
	t.reports[slot] = c
}

// relayMargin is how much more recent than the contact last reported by the
// peer a contact must be to be relayed to it. That report is up to one
// heartbeat interval old, so the peer usually has a newer contact by now.
// Without the margin, the responses to 8 peers at 480 instances come close to
// the budget of 25 KB per second.
const relayMargin = 400 * time.Millisecond

// hasRecent reports whether the peer has reported a contact with r that is at
// most relayMargin older than the own one, with the same state and no older
// versions.
func (t *peerTable) hasRecent(tableEpoch uint64, r *record) bool {
	if t.reportsEpoch != tableEpoch || r.slot >= len(t.reports) {
		return false
	}
	c := t.reports[r.slot]
	return c.at != never && c.at.after(relayMargin) >= r.reportedTime() && c.state == r.state && c.heldVersion >= r.heldVersion && c.sequence >= r.sequence
}

// writeResponse adds the table entries and the contacts that the peer lacks. An
// instance that is not current relays no contacts: after a restart it may have
// lost a version that it acknowledged before.
func (mt *memberTable) writeResponse(resp *response, h heartbeat, peer contract.InstanceID, t *peerTable, now instant) {
	resp.Epoch = mt.epoch
	if h.Epoch == mt.epoch {
		resp.First = min(h.HaveEntries, len(mt.slots))
	}
	end := min(len(mt.slots), resp.First+maxEntries)
	for _, r := range mt.slots[resp.First:end] {
		if r == nil {
			resp.Entries = append(resp.Entries, entry{})
			continue
		}
		e := r.member.entry()
		e.SilentSeconds = r.silentSeconds(now)
		resp.Entries = append(resp.Entries, e)
	}
	if !resp.Status.Current {
		return
	}
	vector := newLivenessVector()
	for i, r := range mt.slots[:end] {
		if r == nil || r.lastContact == never || r.member.ID == peer || t.hasRecent(mt.epoch, r) {
			continue
		}
		if age, ok := encodeAge(now.since(r.reportedTime())); ok {
			vector.add(i, r.state, age)
			if r.heldVersion != resp.Status.HeldVersion {
				vector.versions = append(vector.versions, indexedVersion{Index: i, Version: r.heldVersion})
			}
			if r.sequence != resp.Status.Sequence {
				vector.sequences = append(vector.sequences, indexedVersion{Index: i, Version: r.sequence})
			}
		}
	}
	vector.copyTo(resp)
}

// mergeResponse merges the response to a request sent at the given time. Ages
// count back from that time; since the peer determined them later, a contact is
// never dated too late. Contacts count only if the peer is current and this
// instance lacks no version that it has seen announced.
//
// sequence is that of the own roster. A response under a newer roster proves
// neither a contact nor a configuration version held: a majority of an outdated
// roster need not intersect a majority of the newer one.
func (mt *memberTable) mergeResponse(resp response, from *record, t *peerTable, accept func(region string) bool, current bool, sequence int64, sent, now instant) {
	if resp.Status.Sequence > sequence {
		resp = resp.withoutContacts()
	}
	from.lastRoundTrip = max(from.lastRoundTrip, sent)
	from.headVersion, from.heldVersion = resp.Status.HeadVersion, max(from.heldVersion, resp.Status.HeldVersion)
	from.lastSeen = max(from.lastSeen, sent)
	if current && resp.Status.Current && sent >= from.lastContact {
		from.lastContact, from.sequence = sent, resp.Status.Sequence
	}
	from.applyOwnState(resp.Status.State, sent)
	if t.epoch != resp.Epoch || resp.First > len(t.records) {
		t.reset(resp.Epoch)
		if resp.First != 0 {
			t.epoch = 0 // the entries before First are missing: request all of them
			return
		}
	}
	known := min(len(t.records)-resp.First, len(resp.Entries)) // already received in the response to another heartbeat
	for _, e := range resp.Entries[known:] {
		t.records = append(t.records, mt.resolve(e, accept, now))
	}
	readVector(resp, func(index int, c vectorEntry) {
		if index >= len(t.records) || t.records[index] == nil {
			return
		}
		r := t.records[index]
		if r.slot < 0 {
			if r = mt.add(r.member, now); r == nil {
				return
			}
			t.records[index] = r
		}
		at := sent.after(-c.age)
		r.heldVersion = max(r.heldVersion, c.heldVersion)
		t.setReport(mt.epoch, r.slot, reportedContact{at: at, state: c.state, heldVersion: c.heldVersion, sequence: c.sequence})
		if current {
			if at > r.lastContact {
				r.sequence = c.sequence
			}
			r.applyContact(c.state, at)
		}
	})
}

// withoutContacts returns the response without contacts and configuration
// versions in force.
func (resp response) withoutContacts() response {
	resp.Status.Current, resp.Status.HeldVersion = false, 0
	resp.Marks, resp.Ages, resp.States, resp.Versions, resp.Sequences = nil, nil, nil, nil, nil
	return resp
}

// silentSeconds returns the value of entry.SilentSeconds for r.
func (r *record) silentSeconds(now instant) uint32 {
	if r.departedAt != never {
		return silentDeparted
	}
	return uint32(max(now.since(r.lastSeen), 0) / time.Second)
}

// resolve returns the record for an entry of a peer's table. An instance that
// the peer has not forgotten is added for the rest of its retention time.
// Otherwise an instance that starts in the minority of a partition while the
// instance list is down would take this minority for the whole deployment.
// Departed instances are not added.
func (mt *memberTable) resolve(e entry, accept func(region string) bool, now instant) *record {
	if e.ID == "" || e.ID == mt.self || !accept(e.Region) {
		return nil
	}
	if r := mt.byID[e.ID]; r != nil {
		return r
	}
	silent := time.Duration(e.SilentSeconds) * time.Second
	if e.SilentSeconds != silentDeparted && silent < mt.retention {
		if r := mt.add(e.member(), now); r != nil {
			r.lastSeen, r.firstSeen = now.after(-silent), now.after(-silent)
			return r
		}
	}
	return &record{member: e.member(), slot: -1}
}
