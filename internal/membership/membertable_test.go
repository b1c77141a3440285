package membership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/platform"
)

func anyRegion(string) bool { return true }

// Guards against message bytes of a peer that crash the instance, and against a
// response that makes a contact more recent than its request.
func FuzzHeartbeat(f *testing.F) {
	l := newMemberTable("self", time.Hour, 1)
	seed := response{Status: status{Current: true, HeldVersion: 3}}
	for i := range 20 {
		r := l.add(memberNumber(i), 0)
		r.applyContact(State(i%3), 0)
	}
	l.writeResponse(&seed, heartbeat{}, "peer", &peerTable{}, 0)
	body, _ := link.Encode(seed)
	f.Add(body)
	body, _ = link.Encode(heartbeat{Self: &entry{ID: "a"}, HaveEntries: 3, Sections: []sectionData{{ID: 1, Data: []byte("x")}}})
	f.Add(body)
	f.Fuzz(func(t *testing.T, body []byte) {
		const sent, now = instant(time.Minute), instant(time.Minute + time.Second)
		own := newMemberTable("self", time.Hour, 1)
		from := own.add(Member{ID: "peer"}, now)
		table := &peerTable{}
		if resp, err := decodeResponse(body); err == nil {
			for range 2 {
				own.mergeResponse(resp, from, table, anyRegion, true, 0, sent, now)
			}
			if len(own.slots) > maxMembers || len(table.records) > maxMembers {
				t.Fatal("a table exceeds maxMembers")
			}
			for _, r := range own.byID {
				if r.lastContact > sent {
					t.Fatal("a contact is more recent than the request")
				}
			}
		}
		if h, err := decodeHeartbeat(body); err == nil {
			resp := response{Status: status{Current: true}}
			own.writeResponse(&resp, h, "peer", table, now)
			if err := resp.check(); err != nil {
				t.Fatal(err)
			}
		}
		own.sweep(now)
	})
}

// Guards against ages or states that are attributed to the wrong instance when
// instances join and leave, tables are compacted and responses are lost.
func TestExchangeAttributesContactsCorrectly(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g := NewWithT(r)
		const hold = time.Minute
		a, b := newMemberTable("a", hold, 1), newMemberTable("b", hold, 100)
		recordOfA := b.add(Member{ID: "a"}, 0)
		recordOfB := a.add(Member{ID: "b"}, 0)
		_ = recordOfA
		table := &peerTable{}
		lastContacts := map[contract.InstanceID]instant{}
		now := instant(0)
		next := 0
		for range rapid.IntRange(1, 40).Draw(r, "rounds") {
			now = now.after(time.Duration(rapid.IntRange(1, 20_000).Draw(r, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 30).Draw(r, "new") {
				next++
				b.add(memberNumber(next), now)
			}
			for id, rec := range b.byID {
				if id != "a" && rapid.IntRange(0, 3).Draw(r, "heard") > 0 {
					rec.applyContact(Ready, now)
					rec.heldVersion = versionOf(id)
					lastContacts[id] = now
				}
			}
			b.sweep(now)
			a.sweep(now)
			if a.byID["b"] == nil {
				recordOfB = a.add(Member{ID: "b"}, now)
			}
			h := heartbeat{Epoch: table.epoch, HaveEntries: len(table.records)}
			reply := response{Status: status{Current: true, HeldVersion: 1}}
			b.writeResponse(&reply, h, "a", &peerTable{}, now)
			g.Expect(reply.check()).To(Succeed())
			if rapid.Bool().Draw(r, "arrives") {
				a.mergeResponse(reply, recordOfB, table, anyRegion, true, 0, now, now)
			}
			for id, rec := range a.byID {
				if id != "b" && rec.lastContact != never {
					g.Expect(rec.lastContact).To(BeNumerically("<=", lastContacts[id]), "%s", id)
					g.Expect(rec.heldVersion).To(Equal(versionOf(id)), "%s", id)
				}
			}
		}
	})
}

func versionOf(id contract.InstanceID) int64 { return int64(id[len(id)-1]) % 3 }

// Guards against reports that arrive out of order: an older report must not
// undo draining, and an instance that restarts must be known again.
func TestDrainingWinsOverOlderReports(t *testing.T) {
	g := NewWithT(t)
	at := func(s float64) instant { return instant(s * float64(time.Second)) }
	l := newMemberTable("self", time.Hour, 1)
	r := l.add(memberNumber(1), 0)
	r.applyContact(Ready, at(10))
	r.applyContact(Draining, at(9)) // delayed on a longer path
	g.Expect(r.state).To(Equal(Draining))
	r.applyContact(Ready, at(10.4))
	g.Expect(r.state).To(Equal(Draining))
	l.sweep(at(16))
	g.Expect(l.known(r, at(16))).To(BeFalse())
	r.applyContact(Ready, at(20))
	g.Expect(l.known(r, at(20))).To(BeTrue())
}

// Guards against instances that are forgotten because their entry has expired
// from the instance list, or because the list is empty by fault.
func TestListAloneRemovesNoInstance(t *testing.T) {
	g := NewWithT(t)
	l := newMemberTable("self", time.Hour, 1)
	var entries []platform.ListEntry
	for i := range 3 {
		entries = append(entries, platform.ListEntry{ID: fmt.Sprint(i), State: platform.StateLive})
	}
	l.applyList(entries, anyRegion, 0)
	l.applyList(nil, anyRegion, 1)
	l.sweep(instant(30 * time.Minute))
	g.Expect(l.byID).To(HaveLen(3))
	entries[0].State = platform.StateLeaving
	l.applyList(entries[:1], anyRegion, instant(31*time.Minute))
	l.applyList(nil, anyRegion, instant(32*time.Minute))
	l.sweep(instant(32 * time.Minute))
	g.Expect(l.known(l.byID["0"], instant(32*time.Minute))).To(BeFalse())
	g.Expect(l.known(l.byID["1"], instant(32*time.Minute))).To(BeTrue())
}

// Guards against an age that is rounded down, which makes a contact appear more
// recent.
func TestAgesAreRoundedUp(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g := NewWithT(r)
		age := time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Minute)).Draw(r, "age"))
		steps, ok := encodeAge(age)
		g.Expect(ok).To(Equal(age <= maxAge*ageStep))
		if ok {
			g.Expect(decodeAge(steps)).To(BeNumerically(">=", age))
			g.Expect(decodeAge(steps)).To(BeNumerically("<", max(age, 0)+ageStep))
		}
	})
}

// Guards against a majority that includes instances which lost a version in a
// restart, or that is counted by an instance which lacks a version that it has
// seen announced.
func TestContactsCountOnlyBetweenCurrentInstances(t *testing.T) {
	for _, c := range []struct{ sender, receiver, counted bool }{
		{true, true, true}, {false, true, false}, {true, false, false}, {false, false, false},
	} {
		g := NewWithT(t)
		relay, receiver := newMemberTable("relay", time.Hour, 1), newMemberTable("receiver", time.Hour, 2)
		third := relay.add(memberNumber(1), 0)
		third.applyContact(Ready, 0)
		third.heldVersion = 4
		from := receiver.add(Member{ID: "relay"}, 0)
		reply := response{Status: status{Current: c.sender, HeldVersion: 5}}
		relay.writeResponse(&reply, heartbeat{}, "receiver", &peerTable{}, 0)
		receiver.mergeResponse(reply, from, &peerTable{}, anyRegion, c.receiver, 0, 0, 0)
		g.Expect(from.lastContact != never).To(Equal(c.counted))
		g.Expect(from.lastRoundTrip).To(Equal(instant(0)))
		g.Expect(from.heldVersion).To(Equal(int64(5)))
		relayed := receiver.byID[third.member.ID]
		g.Expect(relayed != nil && relayed.lastContact != never).To(Equal(c.counted))
		if c.counted {
			g.Expect(relayed.heldVersion).To(Equal(int64(4)))
		}
	}
}

// Guards against a contact or a version that counts although the roster of the
// contacted or relaying instance is newer than the own one, and against a
// sequence that is attributed to another contact.
func TestContactsUnderANewerRosterDoNotCount(t *testing.T) {
	for mine, counted := range map[int64]bool{7: false, 8: true, 9: true} {
		g := NewWithT(t)
		relay, receiver := newMemberTable("relay", time.Hour, 1), newMemberTable("receiver", time.Hour, 2)
		third := relay.add(memberNumber(1), 0)
		third.applyContact(Ready, 0)
		third.heldVersion, third.sequence = 4, 6
		from := receiver.add(Member{ID: "relay"}, 0)
		reply := response{Status: status{Current: true, HeldVersion: 5, Sequence: 8}}
		relay.writeResponse(&reply, heartbeat{}, "receiver", &peerTable{}, 0)
		g.Expect(reply.check()).To(Succeed())
		receiver.mergeResponse(reply, from, &peerTable{}, anyRegion, true, mine, 0, 0)
		g.Expect(from.lastContact != never).To(Equal(counted))
		g.Expect(from.heldVersion == 5).To(Equal(counted))
		relayed := receiver.byID[third.member.ID]
		g.Expect(relayed.lastContact != never).To(Equal(counted))
		if counted {
			g.Expect([]int64{from.sequence, relayed.sequence, relayed.heldVersion}).To(Equal([]int64{8, 6, 4}))
		}
	}
}
