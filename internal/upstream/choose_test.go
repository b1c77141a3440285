package upstream

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailhub.example/foxtailhub/internal/contract"
)

func candidates(perDomain int, domains ...string) []Candidate {
	var all []Candidate
	for _, domain := range domains {
		for i := range perDomain {
			all = append(all, Candidate{
				Target: Target{ID: contract.UpstreamID(fmt.Sprint(domain, "-", i)), FailureDomain: contract.FailureDomainID(domain)},
				Slots:  8,
			})
		}
	}
	return all
}

// Guards against a thundering herd: after the loss of a domain, the resumed
// requests must spread. The naive rule, the least reported load, sends all of
// them to one upstream while the reports lag.
func TestLoadOfLostDomainIsSpread(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	remaining := candidates(5, "oulu-b", "kemi-c", "rova-d")
	for i := range remaining {
		remaining[i].Load = float64(3 + random.IntN(3)) // lagging reports
	}
	reported := slices.Clone(remaining)
	naive := make([]int, len(remaining))
	placed := make([]int, len(remaining))
	for range 60 {
		requirements := Requirements{Service: "notes", Prefix: "the same prompt", Resumed: true, Avoid: []contract.UpstreamID{"oulu-a-1"}}
		index, ok := Choose(SelectionInput{Requirements: requirements, AvoidDomains: []contract.FailureDomainID{"oulu-a"}, Candidates: remaining}, random)
		g.Expect(ok).To(BeTrue())
		remaining[index].Load++
		placed[index]++
		least := slices.MinFunc(indices(len(reported)), func(a, b int) int { return int(reported[a].Load - reported[b].Load) })
		naive[least]++
	}
	mean := 60.0 / float64(len(placed))
	g.Expect(float64(slices.Max(placed)) / mean).To(BeNumerically("<=", 2))
	g.Expect(float64(slices.Max(naive)) / mean).To(BeNumerically(">", 10))
}

// Guards against the loss of prefix affinity at usual load, and against an
// upstream overloaded by a popular prefix.
func TestAffinityIsKeptAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := candidates(rapid.IntRange(1, 5).Draw(t, "per domain"), "sapporo", "asahikawa", "obihiro")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		requirements := Requirements{Service: "guides", Prefix: rapid.StringN(1, 40, 80).Draw(t, "prefix")}
		preferred, _ := Choose(SelectionInput{Requirements: requirements, Candidates: all}, random)
		again, _ := Choose(SelectionInput{Requirements: requirements, Candidates: all}, random)
		if preferred != again {
			t.Fatalf("prefix went to %d and %d", preferred, again)
		}
		total, slots := 0.0, float64(8*len(all))
		for range 4 * len(all) {
			index, _ := Choose(SelectionInput{Requirements: requirements, Candidates: all}, random)
			bound := math.Ceil(8 * max(affinityFloor, affinityLoadFactor*(total+1)/slots))
			if all[index].Load+1 > bound {
				t.Fatalf("load %v exceeds the bound %v", all[index].Load+1, bound)
			}
			all[index].Load++
			total++
		}
		if all[preferred].Load < 1 {
			t.Fatal("the preferred upstream of the prefix got no request")
		}
	})
}

// Guards against placements that violate the filters, for arbitrary candidates.
func TestChooseFilters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := candidates(3, "a", "b")
		choice := SelectionInput{Candidates: all, Suspect: rapid.Bool().Draw(t, "suspect")}
		choice.HeavySuspect = choice.Suspect && rapid.Bool().Draw(t, "heavy")
		choice.MayShareUpstream = choice.Suspect && !choice.HeavySuspect && rapid.Bool().Draw(t, "mayShare")
		choice.Requirements.Content = content(rapid.String().Draw(t, "content"))
		choice.Requirements.Resumed = rapid.Bool().Draw(t, "resumed")
		for i := range all {
			all[i].Load = float64(rapid.IntRange(0, 20).Draw(t, "load"))
			all[i].Suspected = rapid.Bool().Draw(t, "suspected")
			all[i].RunsHeavySuspect = rapid.Bool().Draw(t, "besideHeavy")
			all[i].RunsSuspect = all[i].RunsHeavySuspect || rapid.Bool().Draw(t, "beside")
			if rapid.Bool().Draw(t, "avoid") {
				choice.Requirements.Avoid = append(choice.Requirements.Avoid, all[i].Target.ID)
			}
			if choice.Suspect && rapid.Bool().Draw(t, "crashed") {
				choice.CrashedUpstreams = append(choice.CrashedUpstreams, all[i].Target.ID)
			}
		}
		avoid := slices.Concat(choice.Requirements.Avoid, choice.CrashedUpstreams)
		free := filter(indices(len(all)), func(i int) bool {
			beside := choice.Suspect && (all[i].RunsHeavySuspect || all[i].RunsSuspect && !choice.MayShareUpstream)
			return !slices.Contains(avoid, all[i].Target.ID) && !beside
		})
		index, ok := Choose(choice, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		if ok != (len(free) > 0 || !choice.Suspect) {
			t.Fatalf("ok=%v with %d free candidates", ok, len(free))
		}
		if ok && len(free) > 0 && !slices.Contains(free, index) {
			t.Fatalf("chose %d, free are %v", index, free)
		}
		best := free
		if choice.Suspect && !choice.HeavySuspect && choice.Requirements.Resumed {
			best = prefer(best, func(i int) bool { return all[i].hasFreeSlot() })
		}
		if choice.Suspect {
			best = prefer(best, func(i int) bool { return !all[i].RunsSuspect })
		}
		if ok && len(best) > 0 && !slices.Contains(best, index) {
			t.Fatalf("chose %d, the best candidates are %v", index, best)
		}
		healthy := filter(best, func(i int) bool { return !all[i].Suspected })
		if ok && len(healthy) > 0 && !slices.Contains(healthy, index) {
			t.Fatalf("chose the suspected %d, others are %v", index, healthy)
		}
	})
}

// Guards against a resumed request that stays in the failure domain that may be
// failing, and against copies of a suspect that crash several upstreams.
func TestResumeLeavesDomainAndSuspectsShareUpstream(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(2, 2))
	all := candidates(4, "a", "b")
	suspects := make(map[int]bool)
	for range 50 {
		requirements := Requirements{Resumed: true, Avoid: []contract.UpstreamID{"a-0"}, Content: content("x")}
		choice := SelectionInput{Requirements: requirements, AvoidDomains: []contract.FailureDomainID{"a"}, Candidates: all}
		index, _ := Choose(choice, random)
		g.Expect(all[index].Target.FailureDomain).To(BeEquivalentTo("b"))
		choice.Suspect, choice.CrashedUpstreams = true, requirements.Avoid
		suspect, _ := Choose(choice, random)
		suspects[suspect] = true
	}
	g.Expect(suspects).To(HaveLen(1))
}

// Guards against watchers that share a failure domain, depend on the order of the
// members, or all change when one member leaves.
func TestWatchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		domains := rapid.IntRange(1, 5).Draw(t, "domains")
		count := rapid.IntRange(1, 12).Draw(t, "instances")
		var members []Member
		domainOf := make(map[contract.InstanceID]contract.FailureDomainID)
		for i := range count {
			member := Member{ID: contract.InstanceID(fmt.Sprint("i", i)), FailureDomain: contract.FailureDomainID(fmt.Sprint("d", i%domains))}
			members = append(members, member)
			domainOf[member.ID] = member.FailureDomain
		}
		id := contract.UpstreamID(rapid.String().Draw(t, "upstream"))
		watchers := Watchers(id, members)
		g.Expect(watchers).To(HaveLen(min(3, count)))
		spread := make(map[contract.FailureDomainID]bool)
		distinct := make(map[contract.InstanceID]bool)
		for _, watcher := range watchers {
			spread[domainOf[watcher]], distinct[watcher] = true, true
		}
		g.Expect(distinct).To(HaveLen(len(watchers)))
		g.Expect(spread).To(HaveLen(min(3, count, domains)))
		g.Expect(Watchers(id, rapid.Permutation(members).Draw(t, "order"))).To(Equal(watchers))
		removed := rapid.IntRange(0, count-1).Draw(t, "removed")
		if !distinct[members[removed].ID] && domains == 1 {
			g.Expect(Watchers(id, slices.Delete(slices.Clone(members), removed, removed+1))).To(Equal(watchers))
		}
	})
}

// Guards against a resumed generation that is queued at an engine while another
// engine has a free slot, also when a crash has made it a suspect.
func TestResumedRequestUsesFreeSlot(t *testing.T) {
	g := NewWithT(t)
	all := candidates(3, "sapporo", "asahikawa")
	for i := range all {
		all[i].Load = float64(all[i].Slots)
	}
	all[4].Load--
	for seed := range uint64(20) {
		for _, suspect := range []bool{false, true} {
			requirements := Requirements{Service: "notes", Prefix: "prompt", Content: ContentKey{byte(seed)}, Resumed: true}
			index, ok := Choose(SelectionInput{Requirements: requirements, Suspect: suspect, Candidates: all}, rand.New(rand.NewPCG(seed, 0)))
			g.Expect(ok).To(BeTrue())
			g.Expect(index).To(Equal(4))
		}
	}
}

// Guards against a load that counts this instance's requests twice, in the report
// and as in flight: at half of the load, free slots would not be found.
func TestReportedRequestsAreCountedOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	e := &entry{usage: &usage{}}
	e.usage.inFlight.Store(3)
	e.load = e.load.next(now, 2, 0, 2).next(now, 3, 0, 3)
	g.Expect(e.currentLoad(now)).To(Equal(4.0), "one request started after the previous report")
	e.load = e.load.next(now, 3, 0, 3)
	g.Expect(e.currentLoad(now)).To(Equal(3.0))
	e.usage.inFlight.Store(5)
	g.Expect(e.currentLoad(now)).To(Equal(5.0))
}
