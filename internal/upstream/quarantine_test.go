package upstream

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailhub.example/foxtailhub/internal/contract"
)

func content(name string) (key ContentKey) {
	copy(key[:], name)
	return key
}

func crash(upstream, domain string, second float64, contents ...string) Crash {
	d := Crash{
		Process:       ProcessID{Upstream: contract.UpstreamID(upstream), Incarnation: Incarnation(fmt.Sprint("start of ", upstream, " ", second))},
		FailureDomain: contract.FailureDomainID(domain),
		At:            at(second),
	}
	for _, name := range contents {
		d.Contents = append(d.Contents, content(name))
	}
	return d
}

func evidenceOf(crashes ...Crash) *Evidence {
	evidence := NewEvidence()
	for _, d := range crashes {
		evidence.AddCrash(d)
	}
	return evidence
}

// naiveCrashes counts every crash against all contents that ran: the rule without
// correlation.
func naiveCrashes(crashes []Crash, key ContentKey) int {
	upstreams := make(map[contract.UpstreamID]bool)
	for _, d := range crashes {
		for _, c := range d.Contents {
			if c == key {
				upstreams[d.Process.Upstream] = true
			}
		}
	}
	return len(upstreams)
}

// Guards against a poison prompt that is not stopped and a harmless content that
// is, one row per rule (P9).
func TestAssessment(t *testing.T) {
	three := []Crash{
		crash("u1", "oulu-a", 0, "poison", "neighbour"),
		crash("u2", "kemi-c", 10, "poison"),
		crash("u3", "rova-d", 20, "poison"),
	}
	between := []Crash{
		crash("u1", "oulu-a", 0, "harmless", "x"), crash("u2", "kemi-c", 10, "harmless", "z"), crash("u3", "rova-d", 20, "harmless", "x"),
		crash("u4", "oulu-b", 30, "x"), crash("u5", "oulu-a", 40, "z"), crash("u6", "rova-d", 50, "z"),
	}
	beside := append(three[:3:3], crash("u4", "oulu-b", 16, "y"))
	unknown := crash("u1", "oulu-a", 0.1, "x")
	unknown.Process.Incarnation = unknownProcessPrefix + "2026"
	rows := []struct {
		name        string
		evidence    *Evidence
		content     string
		second      float64
		crashes     int
		quarantined bool
	}{
		{"three upstreams", evidenceOf(three...), "poison", 21.5, 3, true},
		{"three upstreams, evidence not yet distributed", evidenceOf(three...), "poison", 21.4, 3, false},
		{"another upstream crashed 4 s before, other evidence may be on its way", evidenceOf(beside...), "poison", 27.9, 3, false},
		{"another upstream crashed 4 s before, no other evidence", evidenceOf(beside...), "poison", 28, 3, true},
		{"neighbour of one crash", evidenceOf(three[:2]...), "neighbour", 20, 1, false},
		{"neighbour of one crash, explained", evidenceOf(three...), "neighbour", 20, 0, false},
		{"end of the quarantine", evidenceOf(three...), "poison", 621, 0, false},
		{"near the end of the quarantine", evidenceOf(three...), "poison", 619, 1, true},
		{"two upstreams", evidenceOf(three[:2]...), "poison", 20, 2, false},
		{"one upstream three times", evidenceOf(
			crash("u1", "oulu-a", 0, "x"), crash("u1", "oulu-a", 10, "x"), crash("u1", "oulu-a", 20, "x"),
		), "x", 20, 1, false},
		{"too far apart", evidenceOf(
			crash("u1", "oulu-a", 0, "x"), crash("u2", "kemi-c", 400, "x"), crash("u3", "rova-d", 700, "x"),
		), "x", 700, 2, false},
		{"domain lost, on one upstream", evidenceOf(
			crash("u1", "oulu-a", 0, "x"), crash("u2", "oulu-a", 1, "y"),
		), "x", 2, 0, false},
		{"domain lost, an idle upstream among them", evidenceOf(
			crash("u1", "oulu-a", 0, "x"), crash("u2", "oulu-a", 1, "x"), crash("u3", "oulu-a", 1.5),
		), "x", 2, 0, false},
		{"domain lost, on all its upstreams", evidenceOf(
			crash("u1", "oulu-a", 0, "x"), crash("u2", "oulu-a", 0.5, "x", "y"), crash("u3", "oulu-a", 1, "x"),
		), "x", 3, 1, false},
		{"two poison prompts at the same time", evidenceOf(
			crash("u1", "oulu-a", 0, "x"), crash("u2", "kemi-c", 0.1, "x"), crash("u3", "rova-d", 0.2, "x"),
			crash("u4", "oulu-a", 1, "z"), crash("u5", "kemi-c", 1.1, "z"), crash("u6", "rova-d", 1.2, "z"),
		), "z", 3, 3, true},
		{"first of two poison prompts", evidenceOf(
			crash("u1", "oulu-a", 0, "x"), crash("u2", "kemi-c", 0.1, "x"), crash("u3", "rova-d", 0.2, "x"),
			crash("u4", "oulu-a", 1, "z"), crash("u5", "kemi-c", 1.1, "z"), crash("u6", "rova-d", 1.2, "z"),
		), "x", 2, 3, true},
		{"harmless, identified before two poison prompts", evidenceOf(between[:3]...), "harmless", 22, 3, true},
		{"harmless, explained by two poison prompts", evidenceOf(between...), "harmless", 52, 0, false},
		{"poison prompt masked by a harmless content", evidenceOf(between...), "x", 52, 3, true},
		{"harmless, explained by a poison prompt and one with a correlated crash", evidenceOf(
			crash("u1", "oulu-a", 0, "x"), crash("u2", "oulu-a", 0.1, "y"), crash("u3", "kemi-c", 5, "x", "harmless"),
			crash("u4", "rova-d", 10, "x", "harmless"), crash("u5", "oulu-b", 20, "z", "harmless"),
			crash("u6", "kemi-c", 30, "z"), crash("u7", "rova-d", 40, "z"), crash("u8", "oulu-a", 45, "z"),
		), "harmless", 47, 2, false},
		{"neighbour of a poison prompt whose instance does not know the process", evidenceOf(
			crash("u1", "oulu-a", 0, "neighbour"), unknown, crash("u2", "kemi-c", 10, "x", "neighbour"),
			crash("u3", "rova-d", 20, "x", "neighbour"), crash("u4", "oulu-b", 30, "x"),
		), "neighbour", 32, 0, false},
		{"same domain, far apart", evidenceOf(
			crash("u1", "oulu-a", 0, "x"), crash("u2", "oulu-a", 3, "x"), crash("u3", "oulu-a", 6, "x"),
		), "x", 8, 3, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			status := row.evidence.Assess()[content(row.content)].StatusAt(at(row.second))
			g := NewWithT(t)
			g.Expect(status.Crashes).To(Equal(row.crashes))
			g.Expect(status.Quarantined).To(Equal(row.quarantined))
		})
	}
}

// Guards against a crash that stays attributed to a content that has run to its
// end, and against a crash that did not happen.
func TestCompletionAndRefutation(t *testing.T) {
	g := NewWithT(t)
	crashes := []Crash{crash("u1", "a", 0, "x"), crash("u2", "b", 10, "x"), crash("u3", "c", 20, "x")}
	cleared := evidenceOf(crashes...)
	cleared.AddCompletion(content("x"), at(15))
	g.Expect(cleared.Assess()[content("x")].StatusAt(at(20)).Crashes).To(Equal(1))
	refuted := evidenceOf(crashes...)
	refuted.AddAlive(crashes[1].Process, at(12))
	refuted.AddAlive(crashes[2].Process, at(19))
	g.Expect(refuted.Assess()[content("x")].StatusAt(at(20)).Crashes).To(Equal(2), "a response from before the crash does not refute it")
}

// Guards against the identification of contents that ran in a lost failure
// domain; the naive rule identifies them.
func TestLossOfADomainQuarantinesNoContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(4, 8).Draw(t, "upstreams")
		crashes := make([]Crash, count)
		idle := rapid.IntRange(-1, count-1).Draw(t, "idle") // runs nothing; -1: none is idle
		for i := range crashes {
			second := rapid.Float64Range(0, 1.9).Draw(t, "second")
			crashes[i] = crash(fmt.Sprint("u", i), "oulu-a", second)
			if i != idle {
				crashes[i].Contents = []ContentKey{content("popular")}
			}
		}
		evidence := NewEvidence()
		for _, i := range rapid.Permutation(indices(count)).Draw(t, "order") {
			evidence.AddCrash(crashes[i])
			status := evidence.Assess()[content("popular")].StatusAt(at(1.9))
			if status.Quarantined {
				t.Fatal("identified while the crashes are being reported")
			}
		}
		naive := naiveCrashes(crashes, content("popular"))
		got := evidence.Assess()[content("popular")].StatusAt(at(10)).Crashes
		if got > 1 || idle >= 0 && got > 0 || naive < quarantineCrashes {
			t.Fatalf("deaths=%d naive=%d idle=%d", got, naive, idle)
		}
	})
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// Guards against evidence that depends on the order or the repetition of digests.
func TestMergeIsAUnion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var updates []func(*Evidence)
		for range rapid.IntRange(1, 12).Draw(t, "count") {
			d := crash(fmt.Sprint("u", rapid.IntRange(0, 3).Draw(t, "upstream")), "a", 0,
				rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "content"))
			d.At = at(rapid.Float64Range(0, 100).Draw(t, "second"))
			when := at(rapid.Float64Range(0, 100).Draw(t, "when"))
			updates = append(updates, func(e *Evidence) { e.AddCrash(d) })
			updates = append(updates, func(e *Evidence) { e.AddCompletion(content("x"), when) })
			updates = append(updates, func(e *Evidence) { e.AddAlive(d.Process, when) })
		}
		one, two := NewEvidence(), NewEvidence()
		for _, apply := range updates {
			apply(one)
		}
		for _, i := range rapid.Permutation(indices(len(updates))).Draw(t, "order") {
			updates[i](two)
			updates[i](two)
		}
		NewWithT(t).Expect(two).To(Equal(one))
	})
}

// Guards against instances that assess the same evidence differently, so that a
// content is refused at one of them and runs at another.
func TestSameEvidenceHasOneAssessment(t *testing.T) {
	const repetitions = 40 // the order in which a map is ranged over differs between them
	rapid.Check(t, func(t *rapid.T) {
		var crashes []Crash
		for i := range rapid.IntRange(6, 16).Draw(t, "crashes") {
			contents := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"k", "l", "m", "n", "o", "p"}), rapid.ID[string]).Draw(t, "contents")
			domain := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain")
			crashes = append(crashes, crash(fmt.Sprint("u", i), domain, rapid.Float64Range(0, 20).Draw(t, "second"), contents...))
		}
		first := statusesAt(evidenceOf(crashes...).Assess(), at(30))
		other := NewEvidence()
		for _, i := range rapid.Permutation(indices(len(crashes))).Draw(t, "order") {
			other.AddCrash(crashes[i])
		}
		for range repetitions {
			NewWithT(t).Expect(statusesAt(other.Assess(), at(30))).To(Equal(first))
		}
	})
}

func statusesAt(assessments map[ContentKey]Assessment, now time.Time) map[ContentKey]ContentStatus {
	statuses := make(map[ContentKey]ContentStatus)
	for key, assessment := range assessments {
		statuses[key] = assessment.StatusAt(now)
	}
	return statuses
}

// Guards against memory that grows with the number of crashes.
func TestEvidenceIsBounded(t *testing.T) {
	g := NewWithT(t)
	evidence := NewEvidence()
	for i := range 2 * maxCrashes {
		evidence.AddCrash(crash(fmt.Sprint("u", i), "a", float64(i)/10, "x"))
		evidence.AddCompletion(content(fmt.Sprint(i)), at(float64(i)))
		evidence.AddCompletion(content(fmt.Sprint("c", i)), at(float64(i)))
	}
	g.Expect(evidence.crashes).To(HaveLen(maxCrashes))
	g.Expect(len(evidence.cleared)).To(Equal(maxCompletions))
	_, newest := evidence.Crash(crash(fmt.Sprint("u", 2*maxCrashes-1), "a", float64(2*maxCrashes-1)/10).Process)
	g.Expect(newest).To(BeTrue())
	g.Expect(evidence.Expire(epoch.Add(24 * time.Hour))).To(BeTrue())
	g.Expect(len(evidence.crashes) + len(evidence.cleared)).To(BeZero())
}
