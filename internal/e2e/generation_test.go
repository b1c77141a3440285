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
// above 3 s, when the engine of a generation fails in each of four ways.
func TestGenerationSurvivesItsEngine(t *testing.T) {
	faults := map[string]func(w *world, engine *testcluster.Process){
		"killed": func(w *world, engine *testcluster.Process) {
			w.Expect(engine.Signal(syscall.SIGKILL)).To(Succeed())
		},
		"paused": func(w *world, engine *testcluster.Process) {
			w.Expect(engine.Signal(syscall.SIGSTOP)).To(Succeed())
		},
		"connections cut": func(w *world, engine *testcluster.Process) {
			w.Expect(testcluster.SetFault(w.ctx, engine, standin.Fault{Cut: true})).To(Succeed())
		},
		"connections silent": func(w *world, engine *testcluster.Process) {
			w.Expect(testcluster.SetFault(w.ctx, engine, standin.Fault{Silence: true})).To(Succeed())
		},
	}
	for _, policy := range []configuration.ResumePolicy{configuration.ResumeSparing, configuration.ResumeFast} {
		for name, inject := range faults {
			t.Run(string(policy)+"/"+name, func(t *testing.T) {
				t.Parallel()
				w := start(t, testcluster.Options{Instances: 1, ResumePolicy: policy})
				r := w.generate(w.client, 400, 1)
				w.awaitTokens(r, 100)
				inject(w, w.cluster.Engines[w.engineOf(r, w.cluster.Instances[0])])
				w.finish(r)
			})
		}
	}
}

// Guards against an answer that is lost with its entry instance: the caller
// comes back at another instance.
func TestGenerationSurvivesItsInstance(t *testing.T) {
	for name, signal := range map[string]syscall.Signal{"killed": syscall.SIGKILL, "paused": syscall.SIGSTOP} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := start(t, testcluster.Options{})
			r := w.generate(w.clientOf(0, 1), 600, 1)
			w.awaitTokens(r, 100)
			w.Expect(w.cluster.Instances[0].Signal(signal)).To(Succeed())
			w.finish(r)
			w.Expect(r.result.Reconnects).To(BeNumerically(">", 0))
		})
	}
}

// Guards against an answer that is lost when its instance and its engine die
// together.
func TestGenerationSurvivesInstanceAndEngineTogether(t *testing.T) {
	t.Parallel()
	w := start(t, testcluster.Options{})
	r := w.generate(w.clientOf(0, 1), 600, 1)
	w.awaitTokens(r, 100)
	engine := w.engineOf(r, w.cluster.Instances[0])
	w.Expect(w.cluster.Engines[engine].Signal(syscall.SIGKILL)).To(Succeed())
	w.Expect(w.cluster.Instances[0].Signal(syscall.SIGKILL)).To(Succeed())
	w.finish(r)
	w.Expect(r.result.Reconnects).To(BeNumerically(">", 0))
}

// Guards against requests that a planned stop cuts off, and against new work
// that a draining instance refuses while the balancer still sends it.
func TestTerminationCutsNoGeneration(t *testing.T) {
	t.Parallel()
	w := start(t, testcluster.Options{})
	r := w.generate(w.clientOf(0), 500, 0)
	w.awaitTokens(r, 50)
	instance := w.cluster.Instances[0]
	w.Expect(instance.Signal(syscall.SIGTERM)).To(Succeed())
	w.Eventually(func() string { return w.logTail(instance) }).Should(ContainSubstring("drain started"))
	late := w.generate(w.clientOf(0), 100, 0)
	w.finish(late)
	w.Expect(late.result.Reconnects).To(BeZero())
	w.finish(r)
	w.Expect(r.result.Reconnects).To(BeZero())
	w.Eventually(instance.Exited(), 10*time.Second).Should(BeClosed())
	w.Expect(instance.ExitCode()).To(BeZero())
}

// Guards against an engine without load reports or list entries that is still
// given work after it said that it is leaving.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	t.Parallel()
	w := start(t, testcluster.Options{})
	w.Expect(testcluster.SetFault(w.ctx, w.cluster.Engines[0], standin.Fault{Leaving: true})).To(Succeed())
	left := time.Now()
	w.Eventually(func() bool { return time.Since(left) > resumeBound }, 5*time.Second).Should(BeTrue())
	before := w.engineCounters(0)
	for range 12 {
		w.finish(w.generate(w.client, 10, 0))
	}
	w.Expect(w.engineCounters(0).StreamsStarted).To(Equal(before.StreamsStarted))
}

func (w *world) engineCounters(i int) standin.EngineCounters {
	var counters standin.EngineCounters
	w.Expect(testcluster.GetJSON(w.ctx, w.cluster.Engines[i].URL()+"/counters", &counters)).To(Succeed())
	return counters
}
