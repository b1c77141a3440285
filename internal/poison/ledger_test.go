package poison

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// prompt returns a prompt with the given parts and one of its own.
func prompt(ids ...string) Prompt { return NewPrompt(append(ids, "own")) }

func parts(ids ...string) []Part { return prompt(ids...) }

// crashes adds a crash a second at alternating failure domains.
func crashes(l *Ledger, first float64, count int, prompts ...Prompt) (verdicts []Verdict) {
	for i := range count {
		seconds := first + float64(i)
		verdicts = append(verdicts, l.AddCrash(at(seconds), Crash{
			UpstreamID: fmt.Sprint("u", seconds), FailureDomain: fmt.Sprint("d", i%2), Prompts: prompts, At: at(seconds),
		})...)
	}
	return verdicts
}

func refuses(l *Ledger, ids ...string) bool {
	_, refused := l.Refuses(prompt(ids...))
	return refused
}

func TestPoisonPartOfDifferentPromptsIsRefused(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger()
	l.AddSuccess(at(0), at(0), parts("system"))
	changed := l.Changed()
	g.Expect(crashes(l, 1, 1, prompt("system", "a", "poison"))).To(BeEmpty())
	g.Expect(crashes(l, 2, 1, prompt("system", "b", "poison"))).To(BeEmpty())
	g.Expect(crashes(l, 3, 2, prompt("poison"))).To(HaveLen(1))
	g.Expect(changed).To(BeClosed())
	g.Expect(refuses(l, "system", "c", "poison")).To(BeTrue())
	g.Expect(refuses(l, "system", "a")).To(BeFalse())
	g.Expect(refuses(l)).To(BeFalse())
}

func TestSystemPromptIsNotRefusedAtColdStart(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger()
	for i := range 6 {
		crashes(l, float64(i), 1, prompt("system", fmt.Sprint(i), "poison"), prompt("system", fmt.Sprint("bystander", i)))
		crashes(l, float64(i)+0.5, 1, prompt("system", "poison"))
	}
	g.Expect(refuses(l, "system", "new", "poison")).To(BeTrue())
	g.Expect(refuses(l, "system", "bystander")).To(BeFalse())
}

func TestSystemPromptOfTwoPoisonPartsIsNotRefused(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger()
	for i := range 5 {
		for j, poison := range []string{"p", "q"} {
			seconds := float64(i) + float64(j)/2
			l.AddCrash(at(seconds), Crash{UpstreamID: fmt.Sprint(seconds), FailureDomain: fmt.Sprint((i + j) % 3), At: at(seconds),
				Prompts: []Prompt{prompt("system", fmt.Sprint("session", i), poison), prompt("system", fmt.Sprint("bystander", i, j))}})
		}
	}
	g.Expect(refuses(l, "system", "new", "p")).To(BeTrue())
	g.Expect(refuses(l, "system", "new", "q")).To(BeTrue())
	g.Expect(refuses(l, "system", "new")).To(BeFalse())
}

func TestCrashesOfOneMomentConvictNoPart(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger()
	for i := range 9 {
		l.AddCrash(at(1), Crash{UpstreamID: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % 4), At: at(1 + float64(i)/100),
			Prompts: []Prompt{prompt(fmt.Sprint("system", i%2), fmt.Sprint("session", i))}})
	}
	g.Expect(refuses(l, "system0", "session0")).To(BeFalse())
}

func TestMassCrashConvictsNoSystemPrompt(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger()
	for i := range 9 {
		l.AddCrash(at(1), Crash{UpstreamID: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % 4), At: at(1 + float64(i)/100), Prompts: []Prompt{prompt("system")}})
	}
	g.Expect(refuses(l, "system")).To(BeFalse())
}

func TestCrashesOfOneFailureDomainConvictNoPartAtOnce(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger()
	for i := range 8 {
		l.AddCrash(at(1), Crash{UpstreamID: fmt.Sprint(i), FailureDomain: "d", At: at(1 + float64(i)/10), Prompts: []Prompt{prompt("system")}})
	}
	g.Expect(refuses(l, "system")).To(BeFalse())
}

func TestPoisonPartIsRefusedInOneFailureDomain(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger()
	for i := range 5 {
		l.AddCrash(at(float64(i)), Crash{UpstreamID: fmt.Sprint(i), FailureDomain: "d", At: at(float64(i) / 2), Prompts: []Prompt{prompt("system", "poison")}})
	}
	g.Expect(refuses(l, "system", "poison")).To(BeTrue())
}

func TestSuccessLiftsVerdict(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger()
	crashes(l, 1, 3, prompt("system", "rare"))
	g.Expect(refuses(l, "system", "rare")).To(BeTrue())
	contradicted, lifted := l.AddSuccess(at(5), at(5), parts("system"))
	g.Expect(contradicted).To(ConsistOf(parts("system")))
	g.Expect(lifted).To(HaveLen(1))
	g.Expect(l.Verdicts()).To(ConsistOf(Verdict{Parts: parts("rare")}))
	contradicted, _ = l.AddSuccess(at(6), at(6), parts("system"))
	g.Expect(contradicted).To(BeEmpty())
	l.AddSuccess(at(7), at(7), parts("rare"))
	g.Expect(refuses(l, "system", "rare")).To(BeFalse())
	g.Expect(crashes(l, 8, 3, prompt("system", "rare"))).To(BeEmpty())
	g.Expect(l.KnownGood(at(9), parts("system", "unknown"))).To(HaveLen(1))
}

// Guards against a poison part whose crashes another part's verdict explains, because requests with both ran there.
func TestPoisonPartBesideConvictedPartIsRefused(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger()
	l.AddSuccess(at(0), at(0), parts("system"))
	crashes(l, 1, 1, prompt("system", "p"))
	crashes(l, 2, 4, prompt("system", "p"), prompt("system", "q"))
	g.Expect(refuses(l, "system", "p")).To(BeTrue())
	g.Expect(refuses(l, "system", "q")).To(BeFalse())
	crashes(l, 6, 1, prompt("system", "q"))
	g.Expect(refuses(l, "system", "q")).To(BeTrue())
	g.Expect(refuses(l, "system", "new")).To(BeFalse())
}

// Guards against a poison part in the first place that needs more crashes than five, as a system prompt does.
func TestPoisonPartInFirstPlaceIsRefusedAfterFiveCrashes(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger()
	l.AddSuccess(at(0), at(0), parts("system", "topic"))
	for i, seconds := range []float64{1, 1.1, 1.5, 1.6, 2} {
		l.AddCrash(at(3), Crash{UpstreamID: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % 3), At: at(seconds), Prompts: []Prompt{prompt("poison", "system", "topic")}})
	}
	g.Expect(refuses(l, "poison", "system", "new")).To(BeTrue())
	g.Expect(refuses(l, "system", "topic")).To(BeFalse())
}

// Guards against a poison part in the first place whose crashes the verdict on another one explains.
func TestPoisonPartInFirstPlaceBesideConvictedPartIsRefused(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger()
	l.AddSuccess(at(0), at(0), parts("system"))
	crashes(l, 1, 2, prompt("p", "system"))
	crashes(l, 3, 4, prompt("p", "system"), prompt("q", "system"))
	g.Expect(refuses(l, "p", "system")).To(BeTrue())
	crashes(l, 7, 1, prompt("q", "system"))
	g.Expect(refuses(l, "q", "system")).To(BeTrue())
	g.Expect(refuses(l, "system")).To(BeFalse())
}

// Guards against a system prompt without a known success that is refused because many engines are lost together.
func TestFirstPartIsNotRefusedAfterMassCrash(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger()
	crashes(l, 1, 2, prompt("system", "a"))
	for i := range 9 {
		l.AddCrash(at(4), Crash{UpstreamID: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % 4), At: at(4 + float64(i)/100), Prompts: []Prompt{prompt("system", fmt.Sprint(i))}})
	}
	g.Expect(refuses(l, "system", "new")).To(BeFalse())
}

// Guards against a system prompt that is refused together with the poison part of another workspace.
func TestSystemPromptBesideConvictedPartIsNotRefused(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger()
	crashes(l, 1, 1, prompt("poison"))
	crashes(l, 2, 9, prompt("poison"), prompt("system"))
	g.Expect(refuses(l, "poison")).To(BeTrue())
	g.Expect(refuses(l, "system")).To(BeFalse())
}

func TestVerdictWidensToOtherWorkspaces(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger()
	crashes(l, 1, 3, prompt("one", "poison"))
	g.Expect(refuses(l, "two", "poison")).To(BeFalse())
	crashes(l, 5, 3, prompt("two", "poison"))
	g.Expect(refuses(l, "three", "poison")).To(BeTrue())
	g.Expect(l.Verdicts()).To(HaveLen(1))
}

func TestReportsOnOneUpstreamCountOnce(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger()
	for i := range 8 {
		l.AddCrash(at(float64(i)), Crash{UpstreamID: "u", FailureDomain: fmt.Sprint(i), At: at(float64(i)), Prompts: []Prompt{prompt("a")}})
	}
	g.Expect(refuses(l, "a")).To(BeFalse())
}

func TestAdoptedVerdictHoldsUntilLifted(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger()
	l.Adopt(at(0), Verdict{})
	v := Verdict{Parts: parts("p")}
	l.Adopt(at(0), v)
	g.Expect(l.Verdicts()).To(HaveLen(1))
	g.Expect(refuses(l, "a", "p")).To(BeTrue())
	crashes(l, 300, 1, prompt("x"))
	g.Expect(refuses(l, "a", "p")).To(BeTrue())
	l.Lift(at(400), v.ID())
	g.Expect(refuses(l, "a", "p")).To(BeFalse())
}

func TestPromptsOfAnySizeAreBounded(t *testing.T) {
	g := NewWithT(t)
	g.Expect(NewPrompt(nil)).To(BeEmpty())
	g.Expect(NewPrompt([]string{"last"})).To(BeEmpty())
	g.Expect(NewPrompt([]string{"", "a", "a", "", "last"})).To(HaveLen(1))
	var ids []string
	for i := range 10_000 {
		ids = append(ids, fmt.Sprint(i))
	}
	g.Expect(NewPrompt(ids)).To(HaveLen(maxPromptParts))
}

func TestEvidenceIsBounded(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger()
	for i := range maxCrashes + 100 {
		l.AddCrash(at(float64(i)/100), Crash{UpstreamID: fmt.Sprint(i), FailureDomain: "d", At: at(float64(i) / 100), Prompts: []Prompt{prompt(fmt.Sprint(i))}})
	}
	g.Expect(len(l.crashes)).To(BeNumerically("<=", maxCrashes))
	for i := range 2*maxSuccessParts + 100 {
		l.AddSuccess(at(30), at(30), []Part{Part(i)})
	}
	g.Expect(len(l.successes.recent) + len(l.successes.old)).To(BeNumerically("<=", 2*maxSuccessParts))
}

func TestVerdictsDoNotDependOnTheOrderOfEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var all []Crash
		for i := range rapid.IntRange(1, 12).Draw(t, "crashes") {
			crash := Crash{UpstreamID: fmt.Sprint(i), FailureDomain: fmt.Sprint("d", i%3), At: at(float64(rapid.IntRange(0, 40).Draw(t, "time")) / 10)}
			for range rapid.IntRange(1, 3).Draw(t, "prompts") {
				crash.Prompts = append(crash.Prompts, prompt(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 3).Draw(t, "prompt")...))
			}
			all = append(all, crash)
		}
		records := func(crashes []Crash) []*record {
			l := NewLedger()
			for _, crash := range crashes {
				l.AddCrash(at(10), crash)
			}
			return l.sortedCrashes()
		}
		never := func(Part) (time.Time, bool) { return time.Time{}, false }
		g.Expect(judge(evidence{crashes: records(rapid.Permutation(all).Draw(t, "order")), lastSuccess: never})).To(
			Equal(judge(evidence{crashes: records(all), lastSuccess: never})))
	})
}

func TestRefusesDuringChanges(t *testing.T) {
	l := NewLedger()
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			for j := range 50 {
				name := fmt.Sprint("p", (i+j)%5)
				l.AddCrash(at(float64(j)), Crash{UpstreamID: fmt.Sprint(i, j), FailureDomain: fmt.Sprint(j % 2), At: at(float64(j)), Prompts: []Prompt{prompt("s", name)}})
				refuses(l, "s", name)
				select {
				case <-l.Changed():
				default:
				}
				contradicted, lifted := l.AddSuccess(at(float64(j)), at(float64(j)), parts(name))
				l.KnownGood(at(float64(j)), contradicted)
				for _, v := range append(lifted, l.Replacements(lifted)...) {
					l.Lift(at(float64(j)), v.ID())
					l.Adopt(at(float64(j)), v)
				}
			}
		})
	}
	group.Wait()
}
