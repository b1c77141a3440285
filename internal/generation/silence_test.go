package generation_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/generation"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

const (
	// testSilence is how long a sound engine is silent within a text, and
	// testPrefillSilence before its first token.
	testSilence        = 2 * time.Second
	testPrefillSilence = 6 * time.Second
)

// Guards against ending a generation that can't move because its engine is silent for two seconds (incident LOST).
func TestSilentEngineDoesNotEndGenerationThatCannotMove(t *testing.T) {
	oneAttempt := func(c *caller) { c.request.MaxAttempts = 1 }
	for _, policy := range []configuration.ResumePolicy{configuration.ResumeSparing, configuration.ResumeFast} {
		for name, test := range map[string]struct {
			limit    func(*caller)
			excluded bool
			tokens   int
		}{
			"no attempt left":                         {limit: oneAttempt, tokens: 10},
			"no attempt left, before the first token": {limit: oneAttempt},
			"no other engine":                         {excluded: true, tokens: 10},
			"no other engine, before the first token": {excluded: true},
		} {
			t.Run(string(policy)+"/"+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					h := newHarness(t, policy, false)
					defer h.close()
					c := h.caller("request")
					if test.limit != nil {
						test.limit(c)
					}
					c.connect(0, false)
					synctest.Wait()
					c.read(test.tokens)
					if test.excluded {
						h.router.Exclude("e2", true)
						h.router.Exclude("e3", true)
					}
					silent := h.serving(c.request)
					silent.Pause()
					silence := testSilence
					if test.tokens == 0 {
						silence = testPrefillSilence
					}
					time.AfterFunc(silence, silent.Unpause)
					c.readAll()
					c.sub.Close()
					g.Expect(c.violation()).To(BeEmpty())
					started := 0
					for _, e := range h.engines {
						started += len(e.Starts())
					}
					g.Expect(started).To(Equal(1))
					g.Expect(c.maxGap).To(BeNumerically("<", testSilence+resumeBound))
				})
			})
		}
	}
}

// Guards against ending a generation because all its engines are silent at the same time (incident LOST).
func TestSilenceOfAllEnginesEndsNoGeneration(t *testing.T) {
	for _, policy := range []configuration.ResumePolicy{configuration.ResumeSparing, configuration.ResumeFast} {
		for _, attempts := range []int{1, 2, 3} {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, policy, false)
				defer h.close()
				c := h.caller("request")
				c.request.MaxAttempts = attempts
				c.connect(0, false)
				c.read(10)
				for _, e := range h.engines {
					e.Pause()
					time.AfterFunc(3*testSilence, e.Unpause)
				}
				c.readAll()
				c.sub.Close()
				NewWithT(t).Expect(c.violation()).To(BeEmpty(), "%s, %d attempts", policy, attempts)
			})
		}
	}
}

// Guards against ending a generation that left a silent engine for one that refuses it.
func TestGenerationGoesOnWhenOthersRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, configuration.ResumeSparing, false)
		defer h.close()
		c := h.caller("request")
		c.connect(0, false)
		c.read(10)
		silent := h.serving(c.request)
		for _, e := range h.engines {
			e.SetRefusing(e != silent)
		}
		silent.Pause()
		time.AfterFunc(testSilence, silent.Unpause)
		c.readAll()
		c.sub.Close()
		g.Expect(c.violation()).To(BeEmpty())
		g.Expect(c.maxGap).To(BeNumerically("<", resumeBound))
	})
}

// Guards against a generation that waits at a dead engine although it can move again.
func TestGenerationLeavesSilentEngineOnceAnotherIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, configuration.ResumeSparing, false)
		defer h.close()
		c := h.caller("request")
		c.connect(0, false)
		c.read(10)
		h.router.Exclude("e2", true)
		h.router.Exclude("e3", true)
		h.serving(c.request).Pause()
		time.AfterFunc(5*time.Second, func() { h.router.Exclude("e2", false) })
		c.readAll()
		c.sub.Close()
		g.Expect(c.violation()).To(BeEmpty())
		g.Expect(c.maxGap).To(BeNumerically("<", 6*time.Second))
	})
}

// Guards against a generation that outlives its deadline at an engine that stays silent.
func TestGenerationAtDeadEngineEndsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, configuration.ResumeSparing, false)
		defer h.close()
		c := h.caller("request")
		c.request.MaxAttempts = 1
		c.request.Deadline = time.Now().Add(20 * time.Second)
		start := time.Now()
		c.connect(0, false)
		c.read(10)
		h.serving(c.request).Pause()
		c.readAll()
		c.sub.Close()
		g.Expect(c.end.Verdict).To(HaveField("Reason", contract.ReasonDeadlineExceeded))
		g.Expect(time.Since(start)).To(Equal(20 * time.Second))
	})
}

// Guards against probes without pause while a generation waits at a silent engine.
func TestSilentEngineIsNotProbedWithoutPause(t *testing.T) {
	for _, unanswered := range []bool{true, false} {
		d := newMachineDriver(t, func(s *generation.MachineSettings) { s.MaxAttempts = 1 })
		d.step(generation.Input{Kind: generation.InputBegin})
		d.event(1, 1, 0)
		end, probes := d.now.Add(20*time.Second), 0
		for d.now.Before(end) && !d.m.Finished() {
			for _, a := range d.tick() {
				if a.Kind != generation.ActionProbe {
					continue
				}
				probes++
				if !unanswered {
					d.step(generation.Input{Kind: generation.InputUnreachable, Attempt: 1, Connection: a.Connection})
				}
			}
		}
		d.g.Expect(d.m.Finished()).To(BeFalse())
		d.g.Expect(probes).To(And(BeNumerically(">=", 5), BeNumerically("<=", 20)), "probes in 20 s of silence")
	}
}

// Guards against a generation that waits at an engine whose connection has ended, when nothing is left to try.
func TestLostConnectionEndsLastAttempt(t *testing.T) {
	d := newMachineDriver(t, func(s *generation.MachineSettings) { s.MaxAttempts = 1 })
	d.step(generation.Input{Kind: generation.InputBegin})
	d.event(1, 1, 0)
	d.tick()
	d.tick()
	d.g.Expect(d.m.Finished()).To(BeFalse())
	d.step(generation.Input{Kind: generation.InputLost, Attempt: 1, Connection: 1})
	d.tick()
	d.g.Expect(verdict(d.log)).To(Equal(contract.Verdict{Outcome: contract.Interrupted, Reason: contract.ReasonAttemptsExhausted}))
}

// Guards against the end of a silent attempt when the content is found to be poison, while its next attempt is placed.
func TestQuarantineDoesNotEndAttemptInProgress(t *testing.T) {
	d := newMachineDriver(t, nil)
	d.step(generation.Input{Kind: generation.InputBegin})
	d.event(1, 1, 0)
	d.tick()
	_, wake := d.m.Step(d.now, generation.Input{Kind: generation.InputTick})
	d.now = wake
	actions, _ := d.m.Step(d.now, generation.Input{Kind: generation.InputTick})
	d.g.Expect(kinds(actions)).To(ContainElement(generation.ActionStart))
	d.step(generation.Input{Kind: generation.InputNoPlacement, Attempt: 2, ContentStatus: upstream.ContentStatus{Crashes: 3, Quarantined: true}})
	d.g.Expect(kinds(d.event(1, 1, 1))).To(Equal([]generation.ActionKind{generation.ActionDeliver}))
}

// Guards against a generation that waits at a silent engine although another one is free, because the
// silent one has the lowest load.
func TestSilentEngineIsReplacedByBusierOne(t *testing.T) {
	for _, tokens := range []int{0, 10} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, configuration.ResumeSparing, false)
			defer h.close()
			h.router.Exclude("e1", true)
			for i := range 4 {
				other := h.caller(fmt.Sprintf("other-%d", i))
				other.request.MaxTokens = 1500
				other.connect(0, false)
				defer other.sub.Close()
				other.read(1)
				go other.readAll()
			}
			h.router.Exclude("e1", false)
			c := h.caller("request")
			c.request.Deadline = time.Now().Add(30 * time.Second)
			began := time.Now()
			c.connect(0, false)
			defer c.sub.Close()
			synctest.Wait()
			c.read(tokens)
			h.serving(c.request).Pause()
			c.readAll()
			g.Expect(c.violation()).To(BeEmpty())
			g.Expect(time.Since(began)).To(BeNumerically("<", 10*time.Second))
		})
	}
}
