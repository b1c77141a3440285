//go:build e2e

package e2e

import (
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/standin"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

const (
	// refusalBound is the longest wait for a refusal while the table service
	// fails: the time for one record (1 s) and some scheduling.
	refusalBound = 1500 * time.Millisecond
	// usualRefusal is the time of a refusal once the failure is known.
	usualRefusal = 250 * time.Millisecond
)

// Guards against a refusal that waits for the deadline while the table service
// fails, against a charge that ran although it was refused, and against
// generations and idempotent calls that depend on the table service.
func TestTableServiceFailure(t *testing.T) {
	faults := map[string]func(w *world, platform *testcluster.Process){
		"refuses":      func(w *world, p *testcluster.Process) { w.fault(p, standin.Fault{Refuse: true}) },
		"hangs":        func(w *world, p *testcluster.Process) { w.fault(p, standin.Fault{Pause: true}) },
		"slow":         func(w *world, p *testcluster.Process) { w.fault(p, standin.Fault{SlowMS: 5000}) },
		"answers lost": func(w *world, p *testcluster.Process) { w.fault(p, standin.Fault{LoseAnswer: true}) },
		"stopped":      func(w *world, p *testcluster.Process) { w.signal(p, syscall.SIGSTOP) },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := start(t, testcluster.Options{})
			before := w.generate(w.client, 600, 1)
			w.awaitTokens(before, 50)
			inject(w, w.cluster.Platform)
			during := w.generate(w.client, 200, 1)
			keys := w.refusedCharges()
			for i := range w.cluster.Instances {
				lookup := w.callWithin(callDeadline, i, testcluster.Lookups, contract.NewKey())
				w.outcome(lookup, contract.Completed, "")
				w.Expect(lookup.took).To(BeNumerically("<", time.Second))
			}
			w.finish(during)
			w.finish(before)
			w.signal(w.cluster.Platform, syscall.SIGCONT)
			w.fault(w.cluster.Platform, standin.Fault{})
			w.runOnceEach(keys)
		})
	}
}

// refusedCharges sends charges to each instance and checks their refusals.
func (w *world) refusedCharges() []string {
	w.t.Helper()
	var keys []string
	usual := 0
	const rounds = 8
	for range rounds {
		for i := range w.cluster.Instances {
			key := contract.NewKey()
			keys = append(keys, key)
			a := w.charge(i, key)
			w.outcome(a, contract.NotRun, contract.ReasonStoreDown)
			w.Expect(a.Verdict.RetryAfter).To(BeNumerically(">", 0))
			w.Expect(a.took).To(BeNumerically("<", refusalBound))
			if a.took < usualRefusal {
				usual++
			}
			w.Expect(w.executions(key)).To(BeZero())
		}
	}
	// The first charge at each instance may find the failure out.
	w.Expect(usual).To(BeNumerically(">=", len(keys)-len(w.cluster.Instances)), "refusals within %s", usualRefusal)
	return keys
}

// runOnceEach sends charges that were refused again until they ran.
func (w *world) runOnceEach(keys []string) {
	w.t.Helper()
	w.Eventually(func() []answer {
		answers := make([]answer, len(keys))
		var group sync.WaitGroup
		for i, key := range keys {
			group.Go(func() { answers[i] = w.charge(1, key) })
		}
		group.Wait()
		return answers
	}).Should(HaveEach(HaveField("Verdict.Outcome", contract.Completed)))
	for _, key := range keys {
		w.Expect(w.executions(key)).To(Equal(1))
	}
}

// Guards against charges that run twice, or that run although not_run was
// answered, when half of the table service's answers are lost after their
// effect.
func TestHalfOfTheTableAnswersLost(t *testing.T) {
	t.Parallel()
	w := start(t, testcluster.Options{})
	w.fault(w.cluster.Platform, standin.Fault{LoseRate: 0.5})
	outcomes := map[contract.Outcome]int{}
	var notRun []string
	for i := range 60 {
		key := contract.NewKey()
		a := w.charge(i%len(w.cluster.Instances), key)
		w.Expect(a.err).NotTo(HaveOccurred())
		outcomes[a.Verdict.Outcome]++
		switch a.Verdict.Outcome {
		case contract.Completed:
			w.Expect(w.executions(key)).To(Equal(1))
		case contract.NotRun:
			notRun = append(notRun, key)
		}
	}
	w.t.Logf("outcomes: %v", outcomes)
	w.Expect(outcomes).To(HaveKey(contract.Completed))
	for _, key := range notRun {
		w.Expect(w.executions(key)).To(BeZero(), "ran after not_run")
	}
	w.fault(w.cluster.Platform, standin.Fault{})
	w.runOnceEach(notRun)
}
