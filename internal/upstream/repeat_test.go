package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailhub.example/foxtailhub/internal/contract"
)

func contact(id contract.UpstreamID, second float64, incarnation Incarnation, running int) ContactEntry {
	return ContactEntry{Upstream: id, AtMS: at(second).UnixMilli(), Incarnation: incarnation, Running: running}
}

// Guards against compact contacts that are applied to another process, are lost
// although the receiver has the process, or change the time or the load.
func TestCompactContactsOnlyForKnownProcesses(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(2, "a")
	sender, receiver, newPeer := newNotRunning(h, at(100)), newNotRunning(h, at(100)), newNotRunning(h, at(100))
	for second := range 50 {
		sender.ApplyDigest("peer", Digest{Contacts: []ContactEntry{
			contact("a-0", float64(second), "p", second%9), contact("a-1", float64(second)+0.5, "q", 3)}})
		if second == 0 {
			receiver.ApplyDigest("sender", sender.Digest(0))
		}
	}
	first := sender.writer.changeLog.processes["a-1"].seq
	digest := sender.Digest(first)
	g.Expect(digest.Contacts).To(BeEmpty())
	g.Expect(len(digest.CompactContacts)).To(BeNumerically("<", 30))
	receiver.ApplyDigest("sender", digest)
	g.Expect(receiver.Status()).To(Equal(sender.Status()))
	g.Expect(receiver.DigestFor("sender", 0).Empty()).To(BeTrue(), "the sender has them")
	newPeer.ApplyDigest("sender", digest)
	g.Expect(newPeer.Status()[0].Incarnation).To(BeEmpty())
	g.Expect(newPeer.Digest(0).Empty()).To(BeTrue())

	receiver.ApplyDigest("other", Digest{Contacts: []ContactEntry{contact("a-0", 60, "p2", 1)}})
	before := receiver.Status()
	sender.ApplyDigest("peer", Digest{Contacts: []ContactEntry{contact("a-0", 70, "p", 5)}})
	receiver.ApplyDigest("sender", sender.Digest(first))
	g.Expect(receiver.Status()).To(Equal(before), "the label identifies the former process")
	g.Expect(sender.Digest(0).Contacts).To(HaveLen(2), "a restarted peer gets the full form")
}

// Guards against two processes with the same label, whose contacts would be
// confused.
func TestLabelCollisionIsSentInFull(t *testing.T) {
	g := NewWithT(t)
	l := newChangeLog()
	for second := range 40 {
		l.putContact(contact("a-0", float64(second), "p", 1), "")
		l.putContact(contact("a-1", float64(second), "q", 1), "")
		if second == 0 { // simulates a collision of the labels
			delete(l.byLabel, l.processes["a-1"].label)
			same := l.processes["a-1"]
			same.label = l.processes["a-0"].label
			l.registerLabel("a-1", &same)
			l.processes["a-1"] = same
		}
	}
	g.Expect(l.since(2, "").CompactContacts).To(BeEmpty())
	g.Expect(l.since(2, "").Contacts).To(HaveLen(2))
	l.unpackContacts(packContacts([]ContactEntry{contact("a-0", 50, "p", 1)}), func(ContactEntry) {
		t.Error("an ambiguous label was resolved")
	})
}

// Guards against a malformed digest that crashes the process.
func TestMalformedCompactContacts(t *testing.T) {
	u := newNotRunning(newHarness(2, "a"), at(10))
	u.ApplyDigest("peer", Digest{Contacts: []ContactEntry{contact("a-0", 1, "p", 1)}})
	valid := packContacts([]ContactEntry{contact("a-0", 9, "p", 1), contact("a-1", 8, "q", 300)})
	rapid.Check(t, func(t *rapid.T) {
		data := append([]byte(nil), valid[:rapid.IntRange(0, len(valid)).Draw(t, "length")]...)
		for i, b := range rapid.SliceOfN(rapid.Byte(), 0, 12).Draw(t, "noise") {
			data = append(data, b)
			data[(i*7)%len(data)] ^= b
		}
		u.ApplyDigest("peer", Digest{CompactContacts: data})
		if state := u.Status()[0].State; state != StateLive {
			t.Fatalf("state is %s", state)
		}
	})
}

// Guards against a digest above the size limit of a heartbeat section, which
// drops it, as after the loss of a large failure domain, and against entries that
// are lost when a digest is divided.
func TestLargeDigestIsDivided(t *testing.T) {
	const sectionLimit = 64 << 10
	g := NewWithT(t)
	h := newHarness(400, "a")
	u, peer := newNotRunning(h, at(100)), newNotRunning(h, at(100))
	u.write(func(writer *writer, now time.Time) {
		for i := range 400 {
			id := contract.UpstreamID(fmt.Sprint("a-", i))
			writer.recordResponse(id, at(10), LoadReport{Incarnation: "0f2d6c1e-7a53-4b8f-9d20-3a5c7e9f1b2d", Models: []ModelPin{testPin}}, true)
			crash := Crash{Process: ProcessID{id, "0f2d6c1e-7a53-4b8f-9d20-3a5c7e9f1b2d"}, FailureDomain: "a", At: at(20)}
			for n := range 16 {
				crash.Contents = append(crash.Contents, content(fmt.Sprint(i, n)))
			}
			writer.recordCrash(crash, "")
		}
	})
	since, rounds := uint64(0), 0
	for digest := u.Digest(0); !digest.Empty(); digest = u.Digest(since) {
		data, err := cbor.Marshal(digest)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(data)).To(BeNumerically("<", sectionLimit))
		peer.ApplyDigest("u", digest)
		since = digest.Seq
		rounds++
	}
	g.Expect(rounds).To(BeNumerically(">", 1))
	g.Expect(peer.writer.evidence.crashes).To(Equal(u.writer.evidence.crashes))
	g.Expect(peer.Digest(0).Seq).NotTo(BeZero())
	for i, status := range peer.Status() {
		g.Expect(status.Models).To(Equal(u.Status()[i].Models))
	}
}
