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

// Guards against a resumption that depends on the platform.
func TestEngineKilledWhileThePlatformIsDown(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{})
	h.signal(h.cluster.Platform, syscall.SIGSTOP)
	r := h.generate(h.clientOf(0), 500, 1)
	h.awaitTokens(r, 100)
	h.kill(h.cluster.Engines[h.engineOf(r, h.cluster.Instances[0])])
	h.expectCompleted(r)
	h.Expect(r.result.Reconnects).To(BeZero())
	h.expectCompleted(h.generate(h.clientOf(1), 50, 1))
}

// Guards against a generation that is lost when its instance is killed while its
// engine is paused, whether or not the engine resumes.
func TestInstanceKilledWhileTheEngineIsPaused(t *testing.T) {
	for name, continues := range map[string]bool{"engine continues": true, "engine stays paused": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, testcluster.Options{})
			r := h.generate(h.clientOf(0, 1), 500, 1)
			h.awaitTokens(r, 100)
			engine := h.cluster.Engines[h.engineOf(r, h.cluster.Instances[0])]
			h.signal(engine, syscall.SIGSTOP)
			h.kill(h.cluster.Instances[0])
			if continues {
				h.awaitTokens(r, r.tokens.Load()+20)
				h.signal(engine, syscall.SIGCONT)
			}
			h.expectCompleted(r)
		})
	}
}

// Guards against a generation that survives the first crash of its engine but not the
// second, or that is quarantined although its content is harmless.
func TestEngineKilledTwiceDuringOneGeneration(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{Engines: 4})
	r := h.generate(h.clientOf(0), 700, 1)
	for _, at := range []int64{100, 250} {
		h.awaitTokens(r, at)
		h.kill(h.cluster.Engines[h.engineOf(r, h.cluster.Instances[0])])
	}
	h.expectCompleted(r)
	h.Expect(r.result.Reconnects).To(BeZero())
	h.Expect(h.sendPromptAgain(h.clientOf(1), r)).To(Equal(contract.Completed))
}

// Guards against a generation that is lost when the engine of the resumed attempt
// crashes before it has sent a token.
func TestNextEngineKilledBeforeFirstToken(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{Engines: 4})
	r := h.generate(h.clientOf(0), 500, 1)
	h.awaitTokens(r, 100)
	first := h.engineOf(r, h.cluster.Instances[0])
	h.signal(h.cluster.Engines[first], syscall.SIGKILL)
	var second int
	h.Eventually(func() int { second = h.engineOf(r, h.cluster.Instances[0]); return second }, time.Second, time.Millisecond).
		ShouldNot(Equal(first))
	h.signal(h.cluster.Engines[second], syscall.SIGKILL)
	h.expectCompleted(r)
	h.Expect(r.result.Reconnects).To(BeZero())
}
