package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func upstream(id, domain string) Upstream {
	return Upstream{ID: id, Service: "service", Address: id, FailureDomain: domain, Slots: 8, StartedAt: 1}
}

// newTestMember returns a member in a fleet of one instance.
func newTestMember(u Upstream) *Member { return newMember(u, &New().fleet) }

func candidate(id, domain string) Candidate {
	return Candidate{Upstream: upstream(id, domain), SinceLoss: never}
}

// Guards against a request at an upstream that is leaving, has another process at its
// address or has already failed the request, whatever its other observations are.
func TestIneligibleUpstreamsAreNeverChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var candidates []Candidate
		need := Requirements{NotRepeatable: rapid.Bool().Draw(t, "once"), KVCopy: rapid.Bool().Draw(t, "copy")}
		eligible := map[string]bool{}
		for i := range rapid.IntRange(0, 8).Draw(t, "upstreams") {
			c := candidate(string(rune('a'+i)), rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "domain"))
			c.Leaving = rapid.Bool().Draw(t, "draining")
			c.Replaced = rapid.Bool().Draw(t, "replaced")
			c.Suspected = rapid.Bool().Draw(t, "doubted")
			c.SinceLoss = time.Duration(rapid.IntRange(0, 4000).Draw(t, "since")) * time.Millisecond
			c.Active = rapid.IntRange(0, 9).Draw(t, "active")
			failed := rapid.Bool().Draw(t, "failed")
			if failed {
				need.Exclude = append(need.Exclude, c.ID)
			}
			eligible[c.ID] = !c.Leaving && !c.Replaced && !failed
			candidates = append(candidates, c)
		}
		if len(candidates) > 0 {
			need.Prefer = rapid.SampledFrom(candidates).Draw(t, "prefer").ID
		}
		random := rand.New(rand.NewPCG(1, 2))
		i, ok := Choose(candidates, need, random)
		any := false
		for _, f := range eligible {
			any = any || f
		}
		g.Expect(ok).To(Equal(any))
		if ok {
			g.Expect(eligible[candidates[i].ID]).To(BeTrue())
		}
		for _, i := range Shortlist(candidates, need, 3, random) {
			g.Expect(eligible[candidates[i].ID]).To(BeTrue())
		}
	})
}

// Guards against requests at the remaining upstreams of a failure domain that is
// failing, each of which would end in a failed dial.
func TestLostFailureDomainIsAvoided(t *testing.T) {
	g := NewWithT(t)
	candidates := []Candidate{candidate("a1", "a"), candidate("a2", "a"), candidate("a3", "a"), candidate("b1", "b")}
	candidates[0].SinceLoss = 100 * time.Millisecond
	candidates[1].SinceLoss = 100 * time.Millisecond
	candidates[3].Active = 7
	i, ok := Choose(candidates, Requirements{}, rand.New(rand.NewPCG(1, 2)))
	g.Expect(ok).To(BeTrue())
	g.Expect(candidates[i].ID).To(Equal("b1"))
}

// Guards against a request that must not be repeated at a suspected upstream, one that
// became silent and has had no successful contact since.
func TestSuspectedUpstreamGetsNoNonRepeatableRequest(t *testing.T) {
	g := NewWithT(t)
	candidates := []Candidate{candidate("a", "a"), candidate("b", "b")}
	candidates[0].Suspected = true
	candidates[1].Active = 7
	i, _ := Choose(candidates, Requirements{NotRepeatable: true}, rand.New(rand.NewPCG(1, 2)))
	g.Expect(candidates[i].ID).To(Equal("b"))
}

// Guards against sending most requests to an upstream that fails half of them although
// its health checks succeed.
func TestFailingUpstreamIsUsedLess(t *testing.T) {
	g := NewWithT(t)
	m := newTestMember(upstream("a", "a"))
	for range 8 {
		m.Failed(time.Now())
		m.Succeeded(time.Now())
	}
	candidates := []Candidate{m.candidate(time.Now()), candidate("b", "b")}
	candidates[1].Active = 2
	i, _ := Choose(candidates, Requirements{}, rand.New(rand.NewPCG(1, 2)))
	g.Expect(candidates[i].ID).To(Equal("b"))
	g.Expect(m.candidate(time.Now().Add(15*time.Second)).ErrorShare).To(BeZero(), "a recovered upstream")
}

// Guards against losing the observations of an upstream when its entry changes, and
// against keeping them when another process has its ID.
func TestReplaceKeepsObservations(t *testing.T) {
	g := NewWithT(t)
	p := New()
	p.Replace([]Upstream{upstream("a", "a")})
	first := p.Members("service")[0]
	done := first.BeginRequest()
	began := time.Now()

	changed := upstream("a", "a")
	changed.Slots = 16
	p.Replace([]Upstream{changed})
	g.Expect(p.Members("service")[0].candidate(time.Now()).Active).To(Equal(1))
	g.Expect(p.Serves(first, Identity{ID: "a"}, began)).To(BeTrue())
	done()
	g.Expect(p.Members("service")[0].candidate(time.Now()).Active).To(BeZero())

	changed.StartedAt = 2
	p.Replace([]Upstream{changed})
	g.Expect(p.Serves(first, Identity{ID: "a"}, began)).To(BeFalse())
	second := p.Members("service")[0]
	second.ObserveStartTime(3)
	second.FinishIdentify(Identity{ID: "a", StartedAt: 3})
	g.Expect(p.Serves(second, Identity{ID: "a", StartedAt: 2}, began)).To(BeFalse(), "a restart under the same ID")
	p.Replace([]Upstream{upstream("b", "b")})
	third := p.Members("service")[0]
	g.Expect(third.MarkLeaving()).To(BeTrue())
	g.Expect(p.Serves(third, third.Identity(), began)).To(BeFalse(), "it reported that it is leaving")
	_, ok := Pick(p.Members("service"), Requirements{}, time.Now())
	g.Expect(ok).To(BeFalse())
	p.Replace(nil)
	g.Expect(p.Size()).To(BeZero())
}

// Guards against a restarted upstream that is used under its old ID, and against one
// that stays unused after its new ID is known.
func TestRestartedUpstream(t *testing.T) {
	g := NewWithT(t)
	m := newTestMember(upstream("a", "a"))
	g.Expect(m.ObserveStartTime(0)).To(BeTrue(), "a report without a start time")
	g.Expect(m.ObserveStartTime(1)).To(BeTrue())
	m.MarkLost(time.Now())
	g.Expect(m.ObserveStartTime(2)).To(BeFalse())
	g.Expect(m.Replaced()).To(BeTrue())
	g.Expect(m.TryStartIdentify()).To(BeTrue())
	g.Expect(m.TryStartIdentify()).To(BeFalse(), "by two requests at the same time")
	m.FinishIdentify(Identity{})
	g.Expect(m.Replaced()).To(BeTrue())
	g.Expect(m.TryStartIdentify()).To(BeTrue())
	m.FinishIdentify(Identity{ID: "b", StartedAt: 2})
	g.Expect(m.Current().ID).To(Equal("b"))
	g.Expect(m.ObserveStartTime(2)).To(BeTrue())
	g.Expect(m.candidate(time.Now()).SinceLoss).To(Equal(never), "the loss of the previous process")
}

// Guards against a suspected upstream that is checked by each request, or never.
func TestSuspectedUpstreamIsCheckedOnceInAnInterval(t *testing.T) {
	g := NewWithT(t)
	m := newTestMember(upstream("a", "a"))
	now := time.Now()
	g.Expect(m.TryStartCheck(now, time.Second)).To(BeFalse())
	m.Suspect()
	g.Expect(m.TryStartCheck(now, time.Second)).To(BeTrue())
	g.Expect(m.TryStartCheck(now.Add(900*time.Millisecond), time.Second)).To(BeFalse())
	g.Expect(m.TryStartCheck(now.Add(time.Second), time.Second)).To(BeTrue())
	m.MarkAlive(now)
	g.Expect(m.TryStartCheck(now.Add(time.Minute), time.Second)).To(BeFalse())
}

// Guards against a key that ranks upstreams differently on two instances, or that
// sends all requests of one key to one upstream although that is busy.
func TestShortlistByAffinity(t *testing.T) {
	g := NewWithT(t)
	var candidates []Candidate
	var members []*Member
	for n := range 100 {
		c := candidate(fmt.Sprint("u", n), fmt.Sprint("domain-", n%3))
		candidates = append(candidates, c)
		members = append(members, &Member{Upstream: c.Upstream})
	}
	chosen := map[string]int{}
	for n := range 300 {
		need := Requirements{AffinityKey: fmt.Sprint("prompt-", n)}
		var topRanked []string
		for _, m := range RankByKey(members, need.AffinityKey)[:affinityChoices*4] {
			topRanked = append(topRanked, m.ID)
		}
		here := Shortlist(candidates, need, 4, rand.New(rand.NewPCG(1, 2)))
		reversed := slices.Clone(candidates)
		slices.Reverse(reversed)
		g.Expect(here).To(HaveLen(4))
		for i, index := range Shortlist(reversed, need, 4, rand.New(rand.NewPCG(3, 4))) {
			g.Expect(reversed[index].ID).To(Equal(candidates[here[i]].ID), "at another instance")
			g.Expect(topRanked).To(ContainElement(reversed[index].ID))
			chosen[reversed[index].ID]++
		}
	}
	g.Expect(len(chosen)).To(Equal(100), "all upstreams get prompts")

	need := Requirements{AffinityKey: "prompt"}
	first := Shortlist(candidates, need, 4, nil)
	candidates[first[0]].Prefilling = 1
	g.Expect(Shortlist(candidates, need, 4, nil)).NotTo(ContainElement(first[0]), "it has a prefill of this instance")
}
