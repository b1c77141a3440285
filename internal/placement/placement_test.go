package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/placement"
	"foxtailhub.example/foxtailhub/internal/pool"
)

var demand = placement.Demand{PromptTokens: 8000, OutputTokens: 800}

func engine(r pool.LoadReport) placement.Engine {
	return placement.Engine{Report: &r, Usable: true}
}

// Guards against prompts whose answers do not fit beside those in progress, which the engine preempts
// and prefills again.
func TestRoomCountsWholeAnswers(t *testing.T) {
	g := NewWithT(t)
	g.Expect(engine(pool.LoadReport{Decoding: 8, KVTokensUsed: 70_000, KVTokensTotal: 88_000}).Fits(demand)).To(BeTrue())
	g.Expect(engine(pool.LoadReport{Decoding: 9, KVTokensUsed: 79_000, KVTokensTotal: 88_000}).Fits(demand)).To(BeFalse())
	g.Expect(engine(pool.LoadReport{Decoding: 7, Prefilling: 1, KVTokensUsed: 64_000, KVTokensTotal: 88_000}).Fits(demand)).To(BeTrue())
	g.Expect(engine(pool.LoadReport{Decoding: 7, Queued: 1, KVTokensUsed: 70_000, KVTokensTotal: 88_000}).Fits(demand)).To(BeFalse())
	recent := engine(pool.LoadReport{Decoding: 7, KVTokensUsed: 64_000, KVTokensTotal: 88_000})
	recent.Recent = 2
	g.Expect(recent.Fits(demand)).To(BeFalse(), "own placements that the report does not show")
	g.Expect(engine(pool.LoadReport{KVTokensUsed: 90_000}).Fits(demand)).To(BeTrue(), "the size of the KV memory is unknown")
	g.Expect(placement.Engine{Usable: true}.Fits(demand)).To(BeFalse(), "it has not reported")
}

// Guards against copies that take the memory which prompts need.
func TestCopiesYieldToPrompts(t *testing.T) {
	g := NewWithT(t)
	g.Expect(engine(pool.LoadReport{KVTokensUsed: 40_000, KVTokensTotal: 88_000}).MayHoldCopy(demand)).To(BeTrue())
	g.Expect(engine(pool.LoadReport{KVTokensUsed: 78_000, KVTokensTotal: 88_000}).MayHoldCopy(demand)).To(BeFalse(), "no prompt would fit beside the copy")
	g.Expect(engine(pool.LoadReport{KVTokensTotal: 88_000, Leaving: true}).MayHoldCopy(demand)).To(BeFalse())
}

// Guards against a choice by reports of engines that are gone, leaving or hold absurd figures.
func TestChoose(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	busy, full := engine(pool.LoadReport{Decoding: 6, KVTokensTotal: 88_000}), engine(pool.LoadReport{KVTokensUsed: 88_000, KVTokensTotal: 88_000})
	absurd := engine(pool.LoadReport{KVTokensUsed: 1 << 31, KVTokensTotal: 1})
	leaving := engine(pool.LoadReport{Leaving: true, KVTokensTotal: 88_000})
	i, ok := placement.Choose([]placement.Engine{{Usable: true}, leaving, full, busy, absurd}, demand, random)
	g.Expect(ok).To(BeTrue())
	g.Expect(i).To(Equal(3), "a busy one with room goes before an idle one without")
	_, ok = placement.Choose([]placement.Engine{{Usable: true}, leaving, {}}, demand, random)
	g.Expect(ok).To(BeFalse())
	i, ok = placement.Choose([]placement.Engine{leaving, full}, demand, random)
	g.Expect(ok && i == 1).To(BeTrue(), "without room anywhere the least loaded one")
}

// Guards against a prompt that is queued behind others while an engine is free, and against one at an
// engine that did not respond or is leaving.
func TestChooseFreeEngine(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct {
		reports []*pool.LoadReport
		want    int
	}{
		{[]*pool.LoadReport{{Queued: 1}, {Decoding: 1}, {Prefilling: 1}}, 1},
		{[]*pool.LoadReport{nil, {Decoding: 9}}, 1},
		{[]*pool.LoadReport{{Leaving: true}, {Decoding: 9}}, 1},
		{[]*pool.LoadReport{{Decoding: 9}, {Prefilling: 1}}, 1},
		{[]*pool.LoadReport{{Decoding: 30}, {Decoding: 6}}, 1},
	} {
		var engines []placement.Engine
		for _, r := range c.reports {
			engines = append(engines, placement.Engine{Report: r, Usable: true})
		}
		for range 20 {
			i, ok := placement.Choose(engines, demand, random)
			g.Expect(ok).To(BeTrue())
			g.Expect(i).To(Equal(c.want))
		}
	}
}

// The load of TestLoadIsEven: prompts of a second of prefill and six of decode.
const (
	evenStep     = 20 * time.Millisecond
	evenPrefill  = time.Second
	evenDuration = 7 * time.Second
	evenLength   = 40 * time.Second
	evenSamples  = 4
	// evenLoad is the mean number of runs of an engine.
	evenLoad = 5
)

type evenEngine struct {
	started []time.Duration // of the runs in progress
	history []pool.LoadReport
	slow    bool
}

func (e *evenEngine) step(now time.Duration) {
	duration := evenDuration
	if e.slow {
		duration *= 2
	}
	kept := e.started[:0]
	r := pool.LoadReport{KVTokensTotal: 88_000}
	for _, at := range e.started {
		switch age := now - at; {
		case age >= duration:
			continue
		case age < evenPrefill:
			r.Prefilling++
		default:
			r.Decoding++
		}
		kept = append(kept, at)
	}
	e.started = kept
	r.KVTokensUsed = len(kept) * demand.PromptTokens
	e.history = append(e.history, r)
}

// busiest plays a fleet and returns the mean ratio of the busiest sound engine to the mean one.
func busiest(instances, engines int, reportAge time.Duration, slow int, choose func(sampled []placement.Engine, random *rand.Rand) int) float64 {
	random := rand.New(rand.NewPCG(uint64(instances), uint64(reportAge)))
	all := make([]*evenEngine, engines)
	recent := make([]map[int][]time.Duration, instances)
	for i := range all {
		all[i] = &evenEngine{slow: i < slow}
	}
	for i := range recent {
		recent[i] = map[int][]time.Duration{}
	}
	perStep := float64(evenLoad*engines) / float64(evenDuration/evenStep)
	arrivals, sum, steps := 0.0, 0.0, 0
	for now := time.Duration(0); now < evenLength; now += evenStep {
		for _, e := range all {
			e.step(now)
		}
		for arrivals += perStep; arrivals >= 1; arrivals-- {
			instance := random.IntN(instances)
			indexes := random.Perm(engines)[:min(evenSamples, engines)]
			sampled := make([]placement.Engine, len(indexes))
			for n, i := range indexes {
				history := all[i].history
				r := history[max(0, len(history)-1-int(reportAge/evenStep))]
				sampled[n] = placement.Engine{Report: &r, Usable: true}
				for _, at := range recent[instance][i] {
					if now-at < placement.ReportAge {
						sampled[n].Recent++
					}
				}
			}
			i := indexes[choose(sampled, random)]
			all[i].started = append(all[i].started, now)
			recent[instance][i] = append(recent[instance][i], now)
		}
		if now < evenLength/2 {
			continue
		}
		most, total := 0, 0
		for _, e := range all[slow:] {
			most, total = max(most, len(e.started)), total+len(e.started)
		}
		sum += float64(most) / (float64(total) / float64(engines-slow))
		steps++
	}
	return sum / float64(steps)
}

// Guards against engines that are overrun in turn while others idle, since many instances choose by
// the same old reports.
func TestLoadIsEven(t *testing.T) {
	blind := func(sampled []placement.Engine, random *rand.Rand) int { return random.IntN(len(sampled)) }
	even := func(sampled []placement.Engine, random *rand.Rand) int {
		i, _ := placement.Choose(sampled, demand, random)
		return i
	}
	for _, fleet := range []struct{ instances, engines int }{{1, 18}, {6, 18}, {80, 144}, {300, 270}} {
		for _, age := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, time.Second} {
			for _, slow := range []int{0, fleet.engines / 6} {
				t.Run(fmt.Sprintf("%d instances, %d engines, reports %v old, %d slow", fleet.instances, fleet.engines, age, slow), func(t *testing.T) {
					atRandom, chosen := busiest(fleet.instances, fleet.engines, age, slow, blind), busiest(fleet.instances, fleet.engines, age, slow, even)
					t.Logf("busiest engine against the mean: %.2f, at random %.2f", chosen, atRandom)
					NewWithT(t).Expect(chosen).To(BeNumerically("<", 2), "no engine has twice the mean load")
					NewWithT(t).Expect(chosen).To(BeNumerically("<", atRandom))
				})
			}
		}
	}
}
