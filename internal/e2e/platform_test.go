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
	// refusalBound is the maximum time of a refusal while the table service fails: the
	// timeout of one record (1 s) and scheduling delays.
	refusalBound = 1500 * time.Millisecond
	// fastRefusalBound is the maximum time of a refusal after the failure was detected.
	fastRefusalBound = 250 * time.Millisecond
)

// Guards against a refusal only at the deadline while the table service fails,
// against a refused charge that ran, and against generations and idempotent calls
// that depend on the table service.
func TestTableServiceFailure(t *testing.T) {
	faults := map[string]func(h *harness, platform *testcluster.Process){
		"refuses":      func(h *harness, p *testcluster.Process) { h.setFault(p, standin.Fault{Refuse: true}) },
		"hangs":        func(h *harness, p *testcluster.Process) { h.setFault(p, standin.Fault{Pause: true}) },
		"slow":         func(h *harness, p *testcluster.Process) { h.setFault(p, standin.Fault{DelayMS: 5000}) },
		"answers lost": func(h *harness, p *testcluster.Process) { h.setFault(p, standin.Fault{DropResponse: true}) },
		"stopped":      func(h *harness, p *testcluster.Process) { h.signal(p, syscall.SIGSTOP) },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, testcluster.Options{})
			before := h.generate(h.client, 600, 1)
			h.awaitTokens(before, 50)
			inject(h, h.cluster.Platform)
			during := h.generate(h.client, 200, 1)
			keys := h.expectRefusedCharges()
			for i := range h.cluster.Instances {
				lookup := h.callWithin(callDeadline, i, testcluster.LookupService, contract.NewKey())
				h.expectOutcome(lookup, contract.Completed, "")
				h.Expect(lookup.took).To(BeNumerically("<", time.Second))
			}
			h.expectCompleted(during)
			h.expectCompleted(before)
			h.signal(h.cluster.Platform, syscall.SIGCONT)
			h.setFault(h.cluster.Platform, standin.Fault{})
			h.expectEachRunsOnce(keys)
		})
	}
}

// expectRefusedCharges checks that each instance refuses charges and returns their keys.
func (h *harness) expectRefusedCharges() []string {
	h.t.Helper()
	var keys []string
	fast := 0
	const rounds = 8
	for range rounds {
		for i := range h.cluster.Instances {
			key := contract.NewKey()
			keys = append(keys, key)
			outcome := h.charge(i, key)
			h.expectOutcome(outcome, contract.NotRun, contract.ReasonStoreDown)
			h.Expect(outcome.Verdict.RetryAfter).To(BeNumerically(">", 0))
			h.Expect(outcome.took).To(BeNumerically("<", refusalBound))
			if outcome.took < fastRefusalBound {
				fast++
			}
			h.Expect(h.executions(key)).To(BeZero())
		}
	}
	// The first charge at each instance may be the one that detects the failure.
	h.Expect(fast).To(BeNumerically(">=", len(keys)-len(h.cluster.Instances)), "refusals within %s", fastRefusalBound)
	return keys
}

// expectEachRunsOnce resubmits refused charges until each has completed, with one execution.
func (h *harness) expectEachRunsOnce(keys []string) {
	h.t.Helper()
	h.Eventually(func() []callOutcome {
		results := make([]callOutcome, len(keys))
		var group sync.WaitGroup
		for i, key := range keys {
			group.Go(func() { results[i] = h.charge(1, key) })
		}
		group.Wait()
		return results
	}).Should(HaveEach(HaveField("Verdict.Outcome", contract.Completed)))
	for _, key := range keys {
		h.Expect(h.executions(key)).To(Equal(1))
	}
}

// Guards against charges that run twice, or that run despite the outcome not_run,
// when half of the table service's responses are lost after the commit.
func TestHalfOfTheTableAnswersLost(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{})
	h.setFault(h.cluster.Platform, standin.Fault{DropResponseRate: 0.5})
	outcomes := map[contract.Outcome]int{}
	var notRun []string
	for i := range 60 {
		key := contract.NewKey()
		outcome := h.charge(i%len(h.cluster.Instances), key)
		h.Expect(outcome.err).NotTo(HaveOccurred())
		outcomes[outcome.Verdict.Outcome]++
		switch outcome.Verdict.Outcome {
		case contract.Completed:
			h.Expect(h.executions(key)).To(Equal(1))
		case contract.NotRun:
			notRun = append(notRun, key)
		}
	}
	h.t.Logf("outcomes: %v", outcomes)
	h.Expect(outcomes).To(HaveKey(contract.Completed))
	for _, key := range notRun {
		h.Expect(h.executions(key)).To(BeZero(), "ran after not_run")
	}
	h.setFault(h.cluster.Platform, standin.Fault{})
	h.expectEachRunsOnce(notRun)
}
