package upstream

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/timeline"
)

// newNotRunning returns an Upstreams that does not run, with its clock fixed at
// now.
func newNotRunning(h *harness, now time.Time) *Upstreams {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return New(Config{
		Self: Member{ID: "self"}, Configuration: h, List: h, Engines: h, Recorder: timeline.Discard{}, Logger: logger,
		Instances: func() []Member { return nil }, Now: func() time.Time { return now },
	})
}

func drawDigest(t *rapid.T) Digest {
	id := contract.UpstreamID(fmt.Sprint("a-", rapid.IntRange(0, 1).Draw(t, "upstream")))
	ms := at(float64(rapid.IntRange(0, 20).Draw(t, "second"))).UnixMilli()
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		running := int(ms % 7)
		return Digest{Contacts: []ContactEntry{{Upstream: id, AtMS: ms, Incarnation: "p", Running: running}}}
	case 1:
		return Digest{Failures: []FailureEntry{{Upstream: id, AtMS: ms}}}
	case 2:
		return Digest{Leaving: []LeavingEntry{{Upstream: id, AtMS: ms, Incarnation: "p"}}}
	case 3:
		return Digest{ServedModels: []ServedModelsEntry{{Upstream: id, AtMS: ms, Models: []ModelPin{{Version: fmt.Sprint(ms)}}}}}
	default:
		c := content(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "content"))
		return Digest{Crashes: []CrashEntry{{Upstream: id, Incarnation: "p", FailureDomain: "a", AtMS: ms, Contents: []ContentKey{c}}}}
	}
}

// Guards against old updates that override newer ones: for any order and
// repetition of digests, two instances must end with the same state, also when one
// receives everything through the other.
func TestDigestsConverge(t *testing.T) {
	h := newHarness(2, "a")
	rapid.Check(t, func(t *rapid.T) {
		var digests []Digest
		for range rapid.IntRange(1, 10).Draw(t, "count") {
			digests = append(digests, drawDigest(t))
		}
		one, two, relayed := newNotRunning(h, at(21)), newNotRunning(h, at(21)), newNotRunning(h, at(21))
		for _, digest := range digests {
			one.ApplyDigest("peer", digest)
		}
		for _, i := range rapid.Permutation(indices(len(digests))).Draw(t, "order") {
			two.ApplyDigest("peer", digests[i])
			two.ApplyDigest("other", digests[i])
		}
		encoded, err := cbor.Marshal(one.Digest(0))
		if err != nil {
			t.Fatal(err)
		}
		var decoded Digest
		if err := cbor.Unmarshal(encoded, &decoded); err != nil {
			t.Fatal(err)
		}
		relayed.ApplyDigest("one", decoded)
		g := NewWithT(t)
		g.Expect(two.Status()).To(Equal(one.Status()))
		g.Expect(relayed.Status()).To(Equal(one.Status()))
		for _, name := range []string{"x", "y"} {
			g.Expect(two.ContentStatus(content(name))).To(Equal(one.ContentStatus(content(name))))
			g.Expect(relayed.ContentStatus(content(name))).To(Equal(one.ContentStatus(content(name))))
		}
	})
}

// Guards against digests that repeat entries that the peer already has, and
// against a peer with a wrong clock or unknown upstreams that overrides all later
// updates.
func TestDigestIsADelta(t *testing.T) {
	g := NewWithT(t)
	u := newNotRunning(newHarness(2, "a"), at(10))
	u.ApplyDigest("peer-1", Digest{Contacts: []ContactEntry{{Upstream: "a-0", AtMS: at(9).UnixMilli(), Incarnation: "p"}}})
	first := u.Digest(0)
	g.Expect(first.Contacts).To(HaveLen(1))
	g.Expect(u.DigestFor("peer-1", 0).Empty()).To(BeTrue())
	g.Expect(u.DigestFor("peer-2", 0).Contacts).To(HaveLen(1))
	g.Expect(u.Digest(first.Seq).Empty()).To(BeTrue())
	u.ApplyDigest("peer-2", Digest{
		Contacts: []ContactEntry{{Upstream: "a-0", AtMS: at(3600).UnixMilli(), Incarnation: "q"}, {Upstream: "unknown", AtMS: at(9).UnixMilli()}},
		Leaving:  []LeavingEntry{{Upstream: "a-0", AtMS: at(3600).UnixMilli(), Incarnation: "p"}},
	})
	g.Expect(u.Digest(first.Seq).Empty()).To(BeTrue())
	g.Expect(u.Stats().EntriesDiscarded.Load()).To(BeEquivalentTo(2))
	g.Expect(u.Status()[0].Incarnation).To(BeEquivalentTo("p"))
}

// Guards against a crash whose contents do not reach the peer that reported the
// same crash with other contents.
func TestMergedCrashIsSentBackToPeer(t *testing.T) {
	g := NewWithT(t)
	u := newNotRunning(newHarness(1, "a"), at(10))
	entry := CrashEntry{Upstream: "a-0", Incarnation: "p", FailureDomain: "a", AtMS: at(9).UnixMilli(), Contents: []ContentKey{content("x")}}
	u.ApplyDigest("peer-1", Digest{Crashes: []CrashEntry{entry}})
	entry.Contents = []ContentKey{content("y")}
	u.ApplyDigest("peer-2", Digest{Crashes: []CrashEntry{entry}})
	for _, peer := range []contract.InstanceID{"peer-1", "peer-2"} {
		g.Expect(u.DigestFor(peer, 0).Crashes).To(ConsistOf(HaveField("Contents", ConsistOf(content("x"), content("y")))))
	}
}

// Guards against a content that is deferred forever without a quarantine.
func TestDeferredContentIsQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		evidence := NewEvidence()
		names := []string{"k", "l", "m", "n"}
		for i := range rapid.IntRange(3, 16).Draw(t, "crashes") {
			contents := rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string]).Draw(t, "contents")
			domain := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain")
			evidence.AddCrash(crash(fmt.Sprint("u", i), domain, rapid.Float64Range(0, 20).Draw(t, "second"), contents...))
		}
		for key, assessment := range evidence.Assess() {
			now := at(20).Add(evidenceDelay)
			if status := assessment.StatusAt(now); status.Crashes >= quarantineCrashes && !status.Quarantined {
				t.Fatalf("content %s has %d crashes and no quarantine", key, status.Crashes)
			}
		}
	})
}

// Guards against a content whose suspects stay unidentified and that is deferred forever, whatever
// part of the evidence an instance has, and against one that waits for evidence against
// others although no other content can be the cause.
func TestDisputedContentIsQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		evidence := NewEvidence()
		names := []string{"k", "l", "m", "n"}
		for i := range rapid.IntRange(3, 16).Draw(t, "crashes") {
			contents := rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string]).Draw(t, "contents")
			domain := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain")
			evidence.AddCrash(crash(fmt.Sprint("u", i), domain, rapid.Float64Range(0, 20).Draw(t, "second"), contents...))
			for key, assessment := range evidence.Assess() {
				delay := disputeDelay
				if ranOnAllCrashes(evidence, key) || ranAlone(evidence, key) {
					delay = evidenceDelay
				}
				if status := assessment.StatusAt(at(20).Add(delay)); status.Crashes >= quarantineCrashes && !status.Quarantined {
					t.Fatalf("content %s has %d crashes and no quarantine", key, status.Crashes)
				}
			}
		}
	})
}

func ranOnAllCrashes(evidence *Evidence, key ContentKey) bool {
	for _, c := range evidence.crashes {
		if !slices.Contains(c.Contents, key) {
			return false
		}
	}
	return true
}

// ranAlone reports whether no other content ran on the upstreams that a content crashed.
func ranAlone(evidence *Evidence, key ContentKey) bool {
	for _, c := range evidence.crashes {
		if slices.Contains(c.Contents, key) && len(c.Contents) > 1 {
			return false
		}
	}
	return true
}

// Guards against a snapshot that does not follow the configuration, its rules and
// the models that engines serve.
func TestConfigurationInForce(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(1, "a", "b")
	source := &switchedSource{snapshot: &h.snapshot}
	u := newNotRunning(h, at(10))
	u.config.Configuration = source
	target, known := u.Target("a-0")
	g.Expect(known).To(BeTrue())
	g.Expect(target.FailureDomain).To(BeEquivalentTo("a"))
	g.Expect(u.Capacity("notes")).To(Equal(16))

	next := h.snapshot
	next.Document.Rules = map[string]configuration.Rule{
		"r": {Workspace: "small", Service: "notes", Upstreams: []contract.UpstreamID{"b-0"}},
	}
	source.snapshot = &next
	for range 20 {
		placement, _, ok := u.Place(Requirements{Service: "notes", Workspace: "small", Pin: testPin})
		g.Expect(ok).To(BeTrue())
		g.Expect(placement.Target.ID).To(BeEquivalentTo("b-0"))
		placement.Done(Observation{Kind: ObservedCancelled})
		placement.Done(Observation{Kind: ObservedCancelled})
	}
	g.Expect(u.Status()[1].InFlight).To(BeZero())

	old := ModelPin{Model: testPin.Model, Version: "2"}
	g.Expect(u.Serves("notes", old)).To(BeFalse())
	u.applyPoll("a-0", at(10), LoadReport{Incarnation: "p", Models: []ModelPin{old}}, nil)
	g.Expect(u.Serves("notes", old)).To(BeTrue())
	placement, _, ok := u.Place(Requirements{Service: "notes", Pin: old})
	g.Expect(ok).To(BeTrue())
	g.Expect(placement.Target.ID).To(BeEquivalentTo("a-0"))
	_, _, ok = u.Place(Requirements{Service: "notes", Workspace: "small", Pin: old})
	g.Expect(ok).To(BeFalse())
	_, _, ok = u.Place(Requirements{Service: "no such service"})
	g.Expect(ok).To(BeFalse())
}

// switchedSource returns the snapshot set by the test.
type switchedSource struct{ snapshot *configuration.Snapshot }

func (s *switchedSource) Current() *configuration.Snapshot { return s.snapshot }
