//go:build e2e

package e2e

import (
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

// Guards against a resumption that needs the platform.
func TestEngineKilledWhileThePlatformIsDown(t *testing.T) {
	t.Parallel()
	w := start(t, testcluster.Options{})
	w.signal(w.cluster.Platform, syscall.SIGSTOP)
	r := w.generate(w.clientOf(0), 500, 1)
	w.awaitTokens(r, 100)
	w.kill(w.cluster.Engines[w.engineOf(r, w.cluster.Instances[0])])
	w.finish(r)
	w.Expect(r.result.Reconnects).To(BeZero())
	w.finish(w.generate(w.clientOf(1), 50, 1))
}

// Guards against an answer that is lost when its instance dies while its engine
// is paused, whether or not the engine continues.
func TestInstanceKilledWhileTheEngineIsPaused(t *testing.T) {
	for name, continues := range map[string]bool{"engine continues": true, "engine stays paused": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := start(t, testcluster.Options{})
			r := w.generate(w.clientOf(0, 1), 500, 1)
			w.awaitTokens(r, 100)
			engine := w.cluster.Engines[w.engineOf(r, w.cluster.Instances[0])]
			w.signal(engine, syscall.SIGSTOP)
			w.kill(w.cluster.Instances[0])
			if continues {
				w.awaitTokens(r, r.tokens.Load()+20)
				w.signal(engine, syscall.SIGCONT)
			}
			w.finish(r)
		})
	}
}

// Guards against a generation that survives one engine and not the next, or that
// is quarantined although its content is harmless.
func TestEngineKilledTwiceDuringOneGeneration(t *testing.T) {
	t.Parallel()
	w := start(t, testcluster.Options{Engines: 4})
	r := w.generate(w.clientOf(0), 700, 1)
	for _, at := range []int64{100, 250} {
		w.awaitTokens(r, at)
		w.kill(w.cluster.Engines[w.engineOf(r, w.cluster.Instances[0])])
	}
	w.finish(r)
	w.Expect(r.result.Reconnects).To(BeZero())
	w.Expect(w.repeat(w.clientOf(1), r)).To(Equal(contract.Completed))
}

// Guards against a generation that is lost when the engine of the resumed attempt
// dies right after the first one, before it has sent a token.
func TestNextEngineKilledAtOnce(t *testing.T) {
	t.Parallel()
	w := start(t, testcluster.Options{Engines: 4})
	r := w.generate(w.clientOf(0), 500, 1)
	w.awaitTokens(r, 100)
	first := w.engineOf(r, w.cluster.Instances[0])
	w.signal(w.cluster.Engines[first], syscall.SIGKILL)
	var second int
	w.Eventually(func() int { second = w.engineOf(r, w.cluster.Instances[0]); return second }, time.Second, time.Millisecond).
		ShouldNot(Equal(first))
	w.signal(w.cluster.Engines[second], syscall.SIGKILL)
	w.finish(r)
	w.Expect(r.result.Reconnects).To(BeZero())
}
