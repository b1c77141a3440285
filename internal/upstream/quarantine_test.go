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

func death(upstream, domain string, second float64, contents ...string) Death {
	d := Death{
		Start:         Start{Upstream: contract.UpstreamID(upstream), Incarnation: Incarnation(fmt.Sprint("start of ", upstream, " ", second))},
		FailureDomain: contract.FailureDomainID(domain),
		At:            at(second),
	}
	for _, name := range contents {
		d.Contents = append(d.Contents, content(name))
	}
	return d
}

func evidenceOf(deaths ...Death) *Evidence {
	evidence := NewEvidence()
	for _, d := range deaths {
		evidence.AddDeath(d)
	}
	return evidence
}

// naiveDeaths counts every death against all contents that ran: the rule
// without correlation.
func naiveDeaths(deaths []Death, key ContentKey) int {
	upstreams := make(map[contract.UpstreamID]bool)
	for _, d := range deaths {
		for _, c := range d.Contents {
			if c == key {
				upstreams[d.Start.Upstream] = true
			}
		}
	}
	return len(upstreams)
}

// Guards against a poison prompt that is not stopped and an innocent that is, one row
// per rule (P9).
func TestAssessment(t *testing.T) {
	three := []Death{
		death("u1", "oulu-a", 0, "poison", "neighbour"),
		death("u2", "kemi-c", 10, "poison"),
		death("u3", "rova-d", 20, "poison"),
	}
	between := []Death{
		death("u1", "oulu-a", 0, "harmless", "x"), death("u2", "kemi-c", 10, "harmless", "z"), death("u3", "rova-d", 20, "harmless", "x"),
		death("u4", "oulu-b", 30, "x"), death("u5", "oulu-a", 40, "z"), death("u6", "rova-d", 50, "z"),
	}
	rows := []struct {
		name        string
		evidence    *Evidence
		content     string
		second      float64
		deaths      int
		quarantined bool
	}{
		{"three upstreams", evidenceOf(three...), "poison", 21.5, 3, true},
		{"three upstreams, evidence on its way", evidenceOf(three...), "poison", 21.4, 3, false},
		{"neighbour of one death", evidenceOf(three[:2]...), "neighbour", 20, 1, false},
		{"neighbour of one death, explained", evidenceOf(three...), "neighbour", 20, 0, false},
		{"end of the quarantine", evidenceOf(three...), "poison", 621, 0, false},
		{"near the end of the quarantine", evidenceOf(three...), "poison", 619, 1, true},
		{"two upstreams", evidenceOf(three[:2]...), "poison", 20, 2, false},
		{"one upstream three times", evidenceOf(
			death("u1", "oulu-a", 0, "x"), death("u1", "oulu-a", 10, "x"), death("u1", "oulu-a", 20, "x"),
		), "x", 20, 1, false},
		{"too far apart", evidenceOf(
			death("u1", "oulu-a", 0, "x"), death("u2", "kemi-c", 400, "x"), death("u3", "rova-d", 700, "x"),
		), "x", 700, 2, false},
		{"domain lost, on one upstream", evidenceOf(
			death("u1", "oulu-a", 0, "x"), death("u2", "oulu-a", 1, "y"),
		), "x", 2, 0, false},
		{"domain lost, an idle upstream among them", evidenceOf(
			death("u1", "oulu-a", 0, "x"), death("u2", "oulu-a", 1, "x"), death("u3", "oulu-a", 1.5),
		), "x", 2, 0, false},
		{"domain lost, on all its upstreams", evidenceOf(
			death("u1", "oulu-a", 0, "x"), death("u2", "oulu-a", 0.5, "x", "y"), death("u3", "oulu-a", 1, "x"),
		), "x", 3, 1, false},
		{"two poisons at the same time", evidenceOf(
			death("u1", "oulu-a", 0, "x"), death("u2", "kemi-c", 0.1, "x"), death("u3", "rova-d", 0.2, "x"),
			death("u4", "oulu-a", 1, "z"), death("u5", "kemi-c", 1.1, "z"), death("u6", "rova-d", 1.2, "z"),
		), "z", 3, 3, true},
		{"poison that came first of two", evidenceOf(
			death("u1", "oulu-a", 0, "x"), death("u2", "kemi-c", 0.1, "x"), death("u3", "rova-d", 0.2, "x"),
			death("u4", "oulu-a", 1, "z"), death("u5", "kemi-c", 1.1, "z"), death("u6", "rova-d", 1.2, "z"),
		), "x", 2, 3, true},
		{"harmless, identified before two poisons", evidenceOf(between[:3]...), "harmless", 22, 3, true},
		{"harmless, explained by two poisons", evidenceOf(between...), "harmless", 52, 0, false},
		{"poison behind a harmless content", evidenceOf(between...), "x", 52, 3, true},
		{"same domain, far apart", evidenceOf(
			death("u1", "oulu-a", 0, "x"), death("u2", "oulu-a", 3, "x"), death("u3", "oulu-a", 6, "x"),
		), "x", 8, 3, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			standing := row.evidence.Assess()[content(row.content)].Standing(at(row.second))
			g := NewWithT(t)
			g.Expect(standing.Deaths).To(Equal(row.deaths))
			g.Expect(standing.Quarantined).To(Equal(row.quarantined))
		})
	}
}

// Guards against a content that stays charged although it has run to its end,
// and against a death that never happened.
func TestCompletionAndSurvival(t *testing.T) {
	g := NewWithT(t)
	deaths := []Death{death("u1", "a", 0, "x"), death("u2", "b", 10, "x"), death("u3", "c", 20, "x")}
	cleared := evidenceOf(deaths...)
	cleared.AddCompletion(content("x"), at(15))
	g.Expect(cleared.Assess()[content("x")].Standing(at(20)).Deaths).To(Equal(1))
	survived := evidenceOf(deaths...)
	survived.AddAlive(deaths[1].Start, at(12))
	survived.AddAlive(deaths[2].Start, at(19))
	g.Expect(survived.Assess()[content("x")].Standing(at(20)).Deaths).To(Equal(2), "an answer from before the death refutes nothing")
}

// Guards against the identification of what ran in a lost failure domain; the
// naive rule identifies it.
func TestLossOfADomainQuarantinesNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(4, 8).Draw(t, "upstreams")
		deaths := make([]Death, count)
		idle := rapid.IntRange(-1, count-1).Draw(t, "idle") // runs nothing; -1: none is idle
		for i := range deaths {
			second := rapid.Float64Range(0, 1.9).Draw(t, "second")
			deaths[i] = death(fmt.Sprint("u", i), "oulu-a", second)
			if i != idle {
				deaths[i].Contents = []ContentKey{content("popular")}
			}
		}
		evidence := NewEvidence()
		for _, i := range rapid.Permutation(indices(count)).Draw(t, "order") {
			evidence.AddDeath(deaths[i])
			standing := evidence.Assess()[content("popular")].Standing(at(1.9))
			if standing.Quarantined {
				t.Fatal("identified while the loss becomes known")
			}
		}
		naive := naiveDeaths(deaths, content("popular"))
		got := evidence.Assess()[content("popular")].Standing(at(10)).Deaths
		if got > 1 || idle >= 0 && got > 0 || naive < quarantineDeaths {
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

// Guards against evidence that depends on the order or the number of digests.
func TestMergeIsAUnion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var news []func(*Evidence)
		for range rapid.IntRange(1, 12).Draw(t, "count") {
			d := death(fmt.Sprint("u", rapid.IntRange(0, 3).Draw(t, "upstream")), "a", 0,
				rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "content"))
			d.At = at(rapid.Float64Range(0, 100).Draw(t, "second"))
			when := at(rapid.Float64Range(0, 100).Draw(t, "when"))
			news = append(news, func(e *Evidence) { e.AddDeath(d) })
			news = append(news, func(e *Evidence) { e.AddCompletion(content("x"), when) })
			news = append(news, func(e *Evidence) { e.AddAlive(d.Start, when) })
		}
		one, two := NewEvidence(), NewEvidence()
		for _, apply := range news {
			apply(one)
		}
		for _, i := range rapid.Permutation(indices(len(news))).Draw(t, "order") {
			news[i](two)
			news[i](two)
		}
		NewWithT(t).Expect(two).To(Equal(one))
	})
}

// Guards against memory that grows with the number of deaths.
func TestEvidenceIsBounded(t *testing.T) {
	g := NewWithT(t)
	evidence := NewEvidence()
	for i := range 2 * maxDeaths {
		evidence.AddDeath(death(fmt.Sprint("u", i), "a", float64(i)/10, "x"))
		evidence.AddCompletion(content(fmt.Sprint(i)), at(float64(i)))
		evidence.AddCompletion(content(fmt.Sprint("c", i)), at(float64(i)))
	}
	g.Expect(evidence.deaths).To(HaveLen(maxDeaths))
	g.Expect(len(evidence.cleared)).To(Equal(maxCompletions))
	_, newest := evidence.Death(death(fmt.Sprint("u", 2*maxDeaths-1), "a", float64(2*maxDeaths-1)/10).Start)
	g.Expect(newest).To(BeTrue())
	g.Expect(evidence.Expire(epoch.Add(24 * time.Hour))).To(BeTrue())
	g.Expect(len(evidence.deaths) + len(evidence.cleared)).To(BeZero())
}
