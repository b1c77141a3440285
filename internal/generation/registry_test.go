package generation_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/generation"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/upstreamtest"
	"foxtailhub.example/foxtailhub/internal/workspace"
)

// withHarness runs a test in a synctest bubble with two instances.
func withHarness(t *testing.T, run func(g Gomega, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, configuration.ResumeSparing, false)
		defer h.close()
		run(NewWithT(t), h)
	})
}

// Guards against a second run for a caller that reconnects, and against the end
// of a generation whose caller is disconnected for less than the grace period.
func TestRegistryJoinsRunningGeneration(t *testing.T) {
	withHarness(t, func(g Gomega, h *harness) {
		c := h.caller("request")
		c.connect(0, false)
		c.read(10)
		c.sub.Close()
		time.Sleep(10 * time.Second)
		g.Expect(c.connect(0, false)).To(BeTrue())
		c.readAll()
		c.sub.Close()
		g.Expect(c.violation()).To(BeEmpty())
		g.Expect(h.totalStarts()).To(Equal(1))
		g.Expect(h.router.InUse()).To(BeZero())
	})
}

// Guards against an engine slot that stays occupied after the grace period, and
// against the loss of the text if the caller reconnects later.
func TestRegistryAbandonsAfterGrace(t *testing.T) {
	withHarness(t, func(g Gomega, h *harness) {
		c := h.caller("request")
		c.request.DetachGrace = time.Second
		c.connect(0, false)
		c.read(10)
		engine := h.serving(c.request)
		c.sub.Close()
		time.Sleep(1100 * time.Millisecond)
		g.Expect(engine.Cancels()).To(HaveLen(1))
		g.Expect(h.registries[0].ActiveGenerations()).To(BeZero())
		g.Expect(c.connect(0, false)).To(BeTrue())
		c.readAll()
		c.sub.Close()
		g.Expect(c.violation()).To(BeEmpty())
	})
}

// Guards against one request's text for another with the same key (P3).
func TestRegistryRefusesOtherContent(t *testing.T) {
	withHarness(t, func(g Gomega, h *harness) {
		c := h.caller("request")
		c.connect(0, false)
		other := h.caller("request")
		other.request.Prompt = "another prompt"
		g.Expect(other.connect(0, false)).To(BeFalse())
		g.Expect(other.refused).To(Equal(contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonKeyMismatch}))
		c.readAll()
		c.sub.Close()
		g.Expect(c.violation()).To(BeEmpty())
	})
}

// Guards against two texts in one response (P2): a caller whose text differs is
// interrupted, or its text is continued if it sends it.
func TestRegistryDivergedCaller(t *testing.T) {
	withHarness(t, func(g Gomega, h *harness) {
		c := h.caller("request")
		c.connect(0, false)
		c.read(10)
		diverged := h.caller("request")
		for range 5 {
			digest := contract.DigestOf(diverged.texts)
			token := upstreamtest.TokenText(diverged.request.Prompt, testPin, digest, h.nonces[len(h.nonces)-1])
			diverged.texts = append(diverged.texts, token)
		}
		diverged.position = contract.Position{Offset: 5, Digest: contract.DigestOf(diverged.texts)}
		g.Expect(diverged.connect(0, false)).To(BeFalse())
		g.Expect(diverged.refused.Reason).To(Equal(contract.ReasonPrefixMismatch))
		g.Expect(diverged.connect(0, true)).To(BeTrue())
		diverged.readAll()
		diverged.sub.Close()
		g.Expect(diverged.violation()).To(BeEmpty())
		c.readAll()
		c.sub.Close()
		g.Expect(c.broken).To(BeTrue())
	})
}

// Guards against a finished generation that a reconnecting caller cannot read, or
// that is never removed.
func TestRegistryKeepsVerdict(t *testing.T) {
	withHarness(t, func(g Gomega, h *harness) {
		c := h.caller("request")
		c.connect(0, false)
		c.read(10)
		c.sub.Close()
		time.Sleep(10 * time.Second)
		g.Expect(h.registries[0].ActiveGenerations()).To(BeZero())
		c.connect(0, false)
		c.readAll()
		c.sub.Close()
		g.Expect(c.violation()).To(BeEmpty())
		time.Sleep(generation.DefaultRetention)
		resume := &generation.ResumeState{Position: c.position}
		_, verdict, ok := h.registries[0].Join(h.t.Context(), c.request.ID, resume)
		g.Expect(ok).To(BeFalse())
		g.Expect(verdict.Reason).To(Equal(contract.ReasonNotHeld))
	})
}

// Guards against another request's text for a caller that sends its locator (P3).
func TestRegistryIgnoresForeignLocator(t *testing.T) {
	withHarness(t, func(g Gomega, h *harness) {
		other := h.caller("other")
		other.connect(0, false)
		other.read(10)
		h.links.sever()
		c := h.caller("request")
		c.locator = other.locator
		before := time.Now()
		g.Expect(c.connect(1, false)).To(BeTrue())
		c.read(1)
		g.Expect(time.Since(before)).To(Equal(testPrefill), "the stream of the other request was tried first")
		c.readAll()
		c.sub.Close()
		other.readAll()
		other.sub.Close()
		g.Expect(c.violation()).To(BeEmpty())
		g.Expect(other.violation()).To(BeEmpty())
	})
}

// Guards against a lost generation when the entry instance fails and the caller
// has kept no text: the stream of the current attempt, first or second, is
// read from its beginning.
func TestRegistryAdoptsWithoutReceived(t *testing.T) {
	for _, moved := range []bool{false, true} {
		withHarness(t, func(g Gomega, h *harness) {
			c := h.caller("request")
			c.connect(0, false)
			c.read(10)
			if moved {
				h.serving(c.request).Kill()
				c.read(20)
			}
			h.dialers[0].SetSevered(true)
			h.links.sever()
			g.Expect(c.connect(1, false)).To(BeTrue())
			c.readAll()
			c.sub.Close()
			g.Expect(c.violation()).To(BeEmpty())
			g.Expect(c.maxGap).To(BeNumerically("<", resumeBound))
		})
	}
}

// Guards against a restart from scratch for a caller that already has tokens:
// without holder, engine and received text the outcome is interrupted.
func TestRegistryInterruptedWithoutText(t *testing.T) {
	withHarness(t, func(g Gomega, h *harness) {
		c := h.caller("request")
		c.connect(0, false)
		c.read(10)
		h.dialers[0].SetSevered(true)
		h.links.sever()
		h.serving(c.request).Kill()
		g.Expect(c.connect(1, false)).To(BeTrue())
		c.readAll()
		c.sub.Close()
		g.Expect(c.texts).To(HaveLen(10))
		g.Expect(c.end.Verdict.Outcome).To(Equal(contract.Interrupted))
	})
}

// Guards against a forged position that crashes the process or is accepted.
func TestRegistryRefusesForgedPosition(t *testing.T) {
	withHarness(t, func(g Gomega, h *harness) {
		c := h.caller("request")
		c.connect(0, false)
		c.read(10)
		h.links.sever()
		for _, offset := range []int64{0, 5, 1000} {
			c.position = contract.Position{Offset: offset, Digest: "0123456789abcdef"}
			c.end = nil
			if c.connect(1, false) {
				c.readAll()
				g.Expect(c.end.Verdict.Outcome).To(Equal(contract.Interrupted))
			}
			g.Expect(c.texts).To(HaveLen(10))
			synctest.Wait()
			g.Expect(h.registries[1].ActiveGenerations()).To(BeZero())
		}
	})
}

// Guards against a poison prompt that crashes any number of engines (P9).
func TestRegistryQuarantine(t *testing.T) {
	withHarness(t, func(g Gomega, h *harness) {
		for _, e := range h.engines {
			e.CrashOnPrompt("request")
		}
		c := h.caller("request")
		c.connect(0, false)
		c.readAll()
		c.sub.Close()
		g.Expect(c.end.Verdict.Outcome).To(Equal(contract.Quarantined))
		g.Expect(c.end.Verdict.RetryAfter).To(BeNumerically(">", 0))
		repeated := h.caller("request-2")
		repeated.request.Prompt = c.request.Prompt
		g.Expect(repeated.connect(1, false)).To(BeFalse())
		g.Expect(repeated.refused.Outcome).To(Equal(contract.Quarantined))
	})
}

// Guards against a failure because an engine is draining, refuses or has another
// version, and against a late final response if no engine serves the version.
func TestRegistryNoEngine(t *testing.T) {
	withHarness(t, func(g Gomega, h *harness) {
		h.engines[0].SetLeaving(true)
		h.engines[2].SetRefusing(true)
		c := h.caller("request")
		c.connect(0, false)
		c.readAll()
		c.sub.Close()
		g.Expect(c.violation()).To(BeEmpty())
		h.engines[3].SetLeaving(true)
		none := h.caller("none")
		none.connect(0, false)
		none.readAll()
		none.sub.Close()
		g.Expect(none.attempts).To(BeZero())
		g.Expect(none.end.Verdict.Outcome).To(Equal(contract.NotRun))
		versionGone := h.caller("gone")
		versionGone.request.Pin.Version = "3"
		before := time.Now()
		versionGone.connect(0, false)
		versionGone.readAll()
		versionGone.sub.Close()
		g.Expect(versionGone.end.Verdict).To(HaveField("Reason", contract.ReasonVersionGone))
		g.Expect(time.Since(before)).To(BeZero())
	})
}

// recordingAdmitter admits while it has free slots and records all requests.
type recordingAdmitter struct {
	requests []workspace.AdmissionRequest
	slots    int
}

func (a *recordingAdmitter) Admit(_ context.Context, request workspace.AdmissionRequest) (func(), contract.Verdict, bool) {
	a.requests = append(a.requests, request)
	if a.slots == 0 {
		return nil, contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonWorkspaceLimit}, false
	}
	a.slots--
	return func() { a.slots++ }, contract.Verdict{}, true
}

// Guards against an admission slot that is not released or that is taken by a
// caller that only joins, and against resumed generations without priority at
// admission and at the engine.
func TestRegistryAdmission(t *testing.T) {
	withHarness(t, func(g Gomega, h *harness) {
		admitter := &recordingAdmitter{slots: 1}
		r := generation.NewRegistry(generation.Config{
			Instance: "i1", Router: h.router, Dialer: h.router, Admitter: admitter,
		})
		h.instances[0], h.registries[0] = r, r
		c, other := h.caller("request"), h.caller("other")
		g.Expect(c.connect(0, false)).To(BeTrue())
		g.Expect(other.connect(0, false)).To(BeFalse())
		g.Expect(other.refused.Reason).To(Equal(contract.ReasonWorkspaceLimit))
		c.read(10)
		g.Expect(c.connect(0, false)).To(BeTrue())
		h.serving(c.request).Kill()
		c.readAll()
		c.sub.Close()
		g.Expect(c.violation()).To(BeEmpty())
		g.Expect(h.allStarts()).To(ContainElement(HaveField("Priority", upstream.PriorityResumed)))
		g.Expect(r.AwaitIdle(h.t.Context())).To(Succeed())
		g.Expect(admitter.slots).To(Equal(1))
		c.request.ID.Key = "elsewhere"
		c.end = nil
		g.Expect(c.connect(0, true)).To(BeTrue())
		c.readAll()
		c.sub.Close()
		g.Expect(admitter.requests).To(HaveLen(3))
		g.Expect(admitter.requests[2].Priority).To(Equal(upstream.PriorityResumed))
	})
}

// allStarts returns all starts of all engines.
func (h *harness) allStarts() []upstream.StreamRequest {
	var all []upstream.StreamRequest
	for _, e := range h.engines {
		all = append(all, e.Starts()...)
	}
	return all
}

// blockingAdmitter blocks until its context ends and admits nothing.
type blockingAdmitter struct{ calls atomic.Int64 }

func (a *blockingAdmitter) Admit(ctx context.Context, _ workspace.AdmissionRequest) (func(), contract.Verdict, bool) {
	a.calls.Add(1)
	<-ctx.Done()
	return nil, contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonWorkspaceLimit}, false
}

// Guards against a takeover that waits for admission until another generation
// ends, although its stream continues on the engine.
func TestTakeoverDoesNotWaitForAdmission(t *testing.T) {
	withHarness(t, func(g Gomega, h *harness) {
		c := h.caller("request")
		g.Expect(c.connect(0, false)).To(BeTrue())
		c.read(10)
		blocking := &blockingAdmitter{}
		r := generation.NewRegistry(generation.Config{
			Instance: "i9", Router: h.router, Dialer: h.router, Admitter: blocking,
		})
		h.instances[1], h.registries[1] = r, r
		g.Expect(c.connect(1, true)).To(BeTrue())
		c.readAll()
		c.sub.Close()
		g.Expect(c.violation()).To(BeEmpty())
		g.Expect(blocking.calls.Load()).To(Equal(int64(1)))
	})
}
