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

// inWorld runs a case in a bubble with two instances.
func inWorld(t *testing.T, run func(g Gomega, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, configuration.ResumeSparing, false)
		defer w.close()
		run(NewWithT(t), w)
	})
}

// Guards against a second run for a caller that reconnects, and against a
// generation that stops while its caller is away for less than the grace time.
func TestRegistryJoinsRunningGeneration(t *testing.T) {
	inWorld(t, func(g Gomega, w *world) {
		c := w.caller("request")
		c.connect(0, false)
		c.read(10)
		c.sub.Close()
		time.Sleep(10 * time.Second)
		g.Expect(c.connect(0, false)).To(BeTrue())
		c.readAll()
		c.sub.Close()
		g.Expect(c.violation()).To(BeEmpty())
		g.Expect(w.totalStarts()).To(Equal(1))
		g.Expect(w.router.InUse()).To(BeZero())
	})
}

// Guards against an engine's slot that stays occupied after the grace time, and
// against the loss of the text when the caller returns after it.
func TestRegistryAbandonsAfterGrace(t *testing.T) {
	inWorld(t, func(g Gomega, w *world) {
		c := w.caller("request")
		c.request.DetachGrace = time.Second
		c.connect(0, false)
		c.read(10)
		engine := w.serving(c.request)
		c.sub.Close()
		time.Sleep(1100 * time.Millisecond)
		g.Expect(engine.Cancels()).To(HaveLen(1))
		g.Expect(w.registry[0].Active()).To(BeZero())
		g.Expect(c.connect(0, false)).To(BeTrue())
		c.readAll()
		c.sub.Close()
		g.Expect(c.violation()).To(BeEmpty())
	})
}

// Guards against the answer of one request for another with the same key (P3).
func TestRegistryRefusesOtherContent(t *testing.T) {
	inWorld(t, func(g Gomega, w *world) {
		c := w.caller("request")
		c.connect(0, false)
		other := w.caller("request")
		other.request.Prompt = "another prompt"
		g.Expect(other.connect(0, false)).To(BeFalse())
		g.Expect(other.refused).To(Equal(contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonMismatch}))
		c.readAll()
		c.sub.Close()
		g.Expect(c.violation()).To(BeEmpty())
	})
}

// Guards against two texts in one response (P2): a caller whose text differs is
// interrupted, or continued from its own text if it sends it.
func TestRegistryDivergedCaller(t *testing.T) {
	inWorld(t, func(g Gomega, w *world) {
		c := w.caller("request")
		c.connect(0, false)
		c.read(10)
		diverged := w.caller("request")
		for range 5 {
			digest := contract.DigestOf(diverged.texts)
			token := upstreamtest.TokenText(diverged.request.Prompt, testPin, digest, w.nonces[len(w.nonces)-1])
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

// Guards against a finished generation that a returning caller cannot read, and
// against one that is kept for ever.
func TestRegistryKeepsVerdict(t *testing.T) {
	inWorld(t, func(g Gomega, w *world) {
		c := w.caller("request")
		c.connect(0, false)
		c.read(10)
		c.sub.Close()
		time.Sleep(10 * time.Second)
		g.Expect(w.registry[0].Active()).To(BeZero())
		c.connect(0, false)
		c.readAll()
		c.sub.Close()
		g.Expect(c.violation()).To(BeEmpty())
		time.Sleep(generation.DefaultRetention)
		resume := &generation.Resume{Position: c.position}
		_, verdict, ok := w.registry[0].Join(w.t.Context(), c.request.ID, resume)
		g.Expect(ok).To(BeFalse())
		g.Expect(verdict.Reason).To(Equal(contract.ReasonNotHeld))
	})
}

// Guards against a locator of another request that yields its text (P3).
func TestRegistryIgnoresForeignLocator(t *testing.T) {
	inWorld(t, func(g Gomega, w *world) {
		other := w.caller("other")
		other.connect(0, false)
		other.read(10)
		w.links.sever()
		c := w.caller("request")
		c.locator = other.locator
		before := time.Now()
		g.Expect(c.connect(1, false)).To(BeTrue())
		c.read(1)
		g.Expect(time.Since(before)).To(Equal(testPrefill), "the foreign stream was tried first")
		c.readAll()
		c.sub.Close()
		other.readAll()
		other.sub.Close()
		g.Expect(c.violation()).To(BeEmpty())
		g.Expect(other.violation()).To(BeEmpty())
	})
}

// Guards against a lost generation when the entry instance is lost and the
// caller has kept no text: the engine's stream is read from its beginning, also
// that of a second attempt.
func TestRegistryAdoptsWithoutReceived(t *testing.T) {
	for _, moved := range []bool{false, true} {
		inWorld(t, func(g Gomega, w *world) {
			c := w.caller("request")
			c.connect(0, false)
			c.read(10)
			if moved {
				w.serving(c.request).Kill()
				c.read(20)
			}
			w.severed[0].Sever(true)
			w.links.sever()
			g.Expect(c.connect(1, false)).To(BeTrue())
			c.readAll()
			c.sub.Close()
			g.Expect(c.violation()).To(BeEmpty())
			g.Expect(c.maxGap).To(BeNumerically("<", resumeBound))
		})
	}
}

// Guards against a text that restarts from scratch below the caller's position:
// without holder, engine and received text the end is interrupted.
func TestRegistryInterruptedWithoutText(t *testing.T) {
	inWorld(t, func(g Gomega, w *world) {
		c := w.caller("request")
		c.connect(0, false)
		c.read(10)
		w.severed[0].Sever(true)
		w.links.sever()
		w.serving(c.request).Kill()
		g.Expect(c.connect(1, false)).To(BeTrue())
		c.readAll()
		c.sub.Close()
		g.Expect(c.texts).To(HaveLen(10))
		g.Expect(c.end.Verdict.Outcome).To(Equal(contract.Interrupted))
	})
}

// Guards against a made-up position that stops the process or is served.
func TestRegistryRefusesForgedPosition(t *testing.T) {
	inWorld(t, func(g Gomega, w *world) {
		c := w.caller("request")
		c.connect(0, false)
		c.read(10)
		w.links.sever()
		for _, offset := range []int64{0, 5, 1000} {
			c.position = contract.Position{Offset: offset, Digest: "0123456789abcdef"}
			c.end = nil
			if c.connect(1, false) {
				c.readAll()
				g.Expect(c.end.Verdict.Outcome).To(Equal(contract.Interrupted))
			}
			g.Expect(c.texts).To(HaveLen(10))
			synctest.Wait()
			g.Expect(w.registry[1].Active()).To(BeZero())
		}
	})
}

// Guards against a request that crashes engines without bound (P9).
func TestRegistryQuarantine(t *testing.T) {
	inWorld(t, func(g Gomega, w *world) {
		for _, e := range w.engines {
			e.CrashOn("request")
		}
		c := w.caller("request")
		c.connect(0, false)
		c.readAll()
		c.sub.Close()
		g.Expect(c.end.Verdict.Outcome).To(Equal(contract.Quarantined))
		g.Expect(c.end.Verdict.RetryAfter).To(BeNumerically(">", 0))
		again := w.caller("request-2")
		again.request.Prompt = c.request.Prompt
		g.Expect(again.connect(1, false)).To(BeFalse())
		g.Expect(again.refused.Outcome).To(Equal(contract.Quarantined))
	})
}

// Guards against an engine that is leaving, refuses or has another version, and
// against a final response that comes late when there is none at all.
func TestRegistryNoEngine(t *testing.T) {
	inWorld(t, func(g Gomega, w *world) {
		w.engines[0].Leave(true)
		w.engines[2].Refuse(true)
		c := w.caller("request")
		c.connect(0, false)
		c.readAll()
		c.sub.Close()
		g.Expect(c.violation()).To(BeEmpty())
		w.engines[3].Leave(true)
		none := w.caller("none")
		none.connect(0, false)
		none.readAll()
		none.sub.Close()
		g.Expect(none.attempts).To(BeZero())
		g.Expect(none.end.Verdict.Outcome).To(Equal(contract.NotRun))
		gone := w.caller("gone")
		gone.request.Pin.Version = "3"
		before := time.Now()
		gone.connect(0, false)
		gone.readAll()
		gone.sub.Close()
		g.Expect(gone.end.Verdict).To(HaveField("Reason", contract.ReasonVersionGone))
		g.Expect(time.Since(before)).To(BeZero())
	})
}

// recordingAdmitter admits while it has places and counts them.
type recordingAdmitter struct {
	asks   []workspace.Ask
	places int
}

func (a *recordingAdmitter) Admit(_ context.Context, ask workspace.Ask) (func(), contract.Verdict, bool) {
	a.asks = append(a.asks, ask)
	if a.places == 0 {
		return nil, contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonLimit}, false
	}
	a.places--
	return func() { a.places++ }, contract.Verdict{}, true
}

// Guards against a place that is not given back, against one taken by a caller
// that only joins, and against resumed generations without priority (both at
// admission and at the engine).
func TestRegistryAdmission(t *testing.T) {
	inWorld(t, func(g Gomega, w *world) {
		admitter := &recordingAdmitter{places: 1}
		r := generation.NewRegistry(generation.Config{
			Instance: "i1", Router: w.router, Dialer: w.router, Admitter: admitter,
		})
		w.instances[0], w.registry[0] = r, r
		c, other := w.caller("request"), w.caller("other")
		g.Expect(c.connect(0, false)).To(BeTrue())
		g.Expect(other.connect(0, false)).To(BeFalse())
		g.Expect(other.refused.Reason).To(Equal(contract.ReasonLimit))
		c.read(10)
		g.Expect(c.connect(0, false)).To(BeTrue())
		w.serving(c.request).Kill()
		c.readAll()
		c.sub.Close()
		g.Expect(c.violation()).To(BeEmpty())
		g.Expect(w.allStarts()).To(ContainElement(HaveField("Priority", upstream.PriorityResumed)))
		g.Expect(r.AwaitIdle(w.t.Context())).To(Succeed())
		g.Expect(admitter.places).To(Equal(1))
		c.request.ID.Key = "elsewhere"
		c.end = nil
		g.Expect(c.connect(0, true)).To(BeTrue())
		c.readAll()
		c.sub.Close()
		g.Expect(admitter.asks).To(HaveLen(3))
		g.Expect(admitter.asks[2].Priority).To(Equal(upstream.PriorityResumed))
	})
}

// allStarts returns all starts of all engines.
func (w *world) allStarts() []upstream.StreamRequest {
	var all []upstream.StreamRequest
	for _, e := range w.engines {
		all = append(all, e.Starts()...)
	}
	return all
}

// fullAdmitter admits nothing; it is asked in the background.
type fullAdmitter struct{ asked atomic.Int64 }

func (a *fullAdmitter) Admit(ctx context.Context, _ workspace.Ask) (func(), contract.Verdict, bool) {
	a.asked.Add(1)
	<-ctx.Done()
	return nil, contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonLimit}, false
}

// Guards against a takeover that waits at admission for the end of another
// generation although its engine runs on.
func TestTakeoverDoesNotWaitForAdmission(t *testing.T) {
	inWorld(t, func(g Gomega, w *world) {
		c := w.caller("request")
		g.Expect(c.connect(0, false)).To(BeTrue())
		c.read(10)
		full := &fullAdmitter{}
		r := generation.NewRegistry(generation.Config{
			Instance: "i9", Router: w.router, Dialer: w.router, Admitter: full,
		})
		w.instances[1], w.registry[1] = r, r
		g.Expect(c.connect(1, true)).To(BeTrue())
		c.readAll()
		c.sub.Close()
		g.Expect(c.violation()).To(BeEmpty())
		g.Expect(full.asked.Load()).To(Equal(int64(1)))
	})
}
