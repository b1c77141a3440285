//go:build e2e

package e2e

import (
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/standin"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

// Guards against lost, repeated or mixed tokens, and against a resume latency
// above 3 s, after each of four faults of the engine.
func TestGenerationSurvivesItsEngine(t *testing.T) {
	faults := map[string]func(h *harness, engine *testcluster.Process){
		"killed": func(h *harness, engine *testcluster.Process) {
			h.Expect(engine.Signal(syscall.SIGKILL)).To(Succeed())
		},
		"paused": func(h *harness, engine *testcluster.Process) {
			h.Expect(engine.Signal(syscall.SIGSTOP)).To(Succeed())
		},
		"connections cut": func(h *harness, engine *testcluster.Process) {
			h.Expect(testcluster.SetFault(h.ctx, engine, standin.Fault{Cut: true})).To(Succeed())
		},
		"connections silent": func(h *harness, engine *testcluster.Process) {
			h.Expect(testcluster.SetFault(h.ctx, engine, standin.Fault{Silence: true})).To(Succeed())
		},
	}
	for _, policy := range []configuration.ResumePolicy{configuration.ResumeSparing, configuration.ResumeFast} {
		for name, inject := range faults {
			t.Run(string(policy)+"/"+name, func(t *testing.T) {
				t.Parallel()
				h := startHarness(t, testcluster.Options{Instances: 1, ResumePolicy: policy})
				r := h.generate(h.client, 400, 1)
				h.awaitTokens(r, 100)
				inject(h, h.cluster.Engines[h.engineOf(r, h.cluster.Instances[0])])
				h.expectCompleted(r)
			})
		}
	}
}

// Guards against a generation that is lost with the instance that serves it: the
// caller reconnects at another instance.
func TestGenerationSurvivesItsInstance(t *testing.T) {
	for name, signal := range map[string]syscall.Signal{"killed": syscall.SIGKILL, "paused": syscall.SIGSTOP} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, testcluster.Options{})
			r := h.generate(h.clientOf(0, 1), 600, 1)
			h.awaitTokens(r, 100)
			h.Expect(h.cluster.Instances[0].Signal(signal)).To(Succeed())
			h.expectCompleted(r)
			h.Expect(r.result.Reconnects).To(BeNumerically(">", 0))
		})
	}
}

// Guards against a generation that is lost when its instance and its engine are
// killed together.
func TestGenerationSurvivesInstanceAndEngineTogether(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{})
	r := h.generate(h.clientOf(0, 1), 600, 1)
	h.awaitTokens(r, 100)
	engine := h.engineOf(r, h.cluster.Instances[0])
	h.Expect(h.cluster.Engines[engine].Signal(syscall.SIGKILL)).To(Succeed())
	h.Expect(h.cluster.Instances[0].Signal(syscall.SIGKILL)).To(Succeed())
	h.expectCompleted(r)
	h.Expect(r.result.Reconnects).To(BeNumerically(">", 0))
}

// Guards against requests that a graceful shutdown cuts off, and against a draining
// instance that refuses new work while the balancer still sends it.
func TestTerminationCutsNoGeneration(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{})
	r := h.generate(h.clientOf(0), 500, 0)
	h.awaitTokens(r, 50)
	instance := h.cluster.Instances[0]
	h.Expect(instance.Signal(syscall.SIGTERM)).To(Succeed())
	h.Eventually(func() string { return h.logTail(instance) }).Should(ContainSubstring("drain started"))
	admittedLate := h.generate(h.clientOf(0), 100, 0)
	h.expectCompleted(admittedLate)
	h.Expect(admittedLate.result.Reconnects).To(BeZero())
	h.expectCompleted(r)
	h.Expect(r.result.Reconnects).To(BeZero())
	h.Eventually(instance.Exited(), 10*time.Second).Should(BeClosed())
	h.Expect(instance.ExitCode()).To(BeZero())
}

// Guards against new work at an engine that has reported leaving, without load
// reports or list entries that state it.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{})
	h.Expect(testcluster.SetFault(h.ctx, h.cluster.Engines[0], standin.Fault{Leaving: true})).To(Succeed())
	leavingSince := time.Now()
	h.Eventually(func() bool { return time.Since(leavingSince) > resumeBound }, 5*time.Second).Should(BeTrue())
	before := h.engineCounters(0)
	for range 12 {
		h.expectCompleted(h.generate(h.client, 10, 0))
	}
	h.Expect(h.engineCounters(0).StreamsStarted).To(Equal(before.StreamsStarted))
}

func (h *harness) engineCounters(i int) standin.EngineCounters {
	var counters standin.EngineCounters
	h.Expect(testcluster.GetJSON(h.ctx, h.cluster.Engines[i].URL()+"/counters", &counters)).To(Succeed())
	return counters
}
