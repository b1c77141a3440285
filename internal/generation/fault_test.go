package generation_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/configuration"
)

// faultCases are faults during a generation. Each runs against the naive version,
// which must violate P1, P2 or P3, and against the real one.
var faultCases = []struct {
	name string
	run  func(h *harness, c *caller)
}{
	{"kill", func(h *harness, c *caller) {
		h.serving(c.request).Kill()
	}},
	{"pause and return", func(h *harness, c *caller) {
		engine := h.serving(c.request)
		engine.Pause()
		c.read(20)
		engine.Unpause()
	}},
	{"pause and return with late tokens of the old attempt", func(h *harness, c *caller) {
		engine := h.serving(c.request)
		engine.SetIgnoreCancel(true)
		engine.Pause()
		time.AfterFunc(1200*time.Millisecond, engine.Unpause)
	}},
	{"cut", func(h *harness, c *caller) { h.serving(c.request).CutConnections() }},
	{"silent connection", func(h *harness, c *caller) { h.serving(c.request).SilenceConnections() }},
	{"token of an old stream", func(h *harness, c *caller) { h.serving(c.request).InjectOldStreamToken() }},
	{"gap", func(h *harness, c *caller) { h.serving(c.request).SkipToken() }},
	{"duplicated token", func(h *harness, c *caller) { h.serving(c.request).DuplicateToken() }},
	{"event of another request", func(h *harness, c *caller) { h.serving(c.request).InjectOtherRequestToken() }},
	{"only a busy engine has the version", func(h *harness, c *caller) {
		h.engines[3].Kill()
		h.router.Exclude("e3", true)
		h.serving(c.request).Kill()
	}},
	{"entry instance lost", func(h *harness, c *caller) {
		h.dialers[0].SetSevered(true)
		h.links.sever()
		c.connect(1, true)
	}},
	{"entry instance and engine lost", func(h *harness, c *caller) {
		h.dialers[0].SetSevered(true)
		h.links.sever()
		h.serving(c.request).Kill()
		c.connect(1, true)
	}},
	{"two holders at once", func(h *harness, c *caller) {
		h.links.sever()
		h.serving(c.request).CutConnections()
		c.connect(1, true)
		c.read(30)
		c.connect(0, true)
		c.read(40)
		c.connect(1, true)
	}},
	{"two holders with different texts", func(h *harness, c *caller) {
		h.links.sever()
		engine := h.serving(c.request)
		engine.Pause()
		c.connect(1, true)
		c.read(30)
		engine.Unpause()
		time.Sleep(500 * time.Millisecond) // the first holder generates past the caller's position
		c.connect(0, true)
		c.read(40)
		c.connect(1, true)
	}},
}

func runFault(t *testing.T, policy configuration.ResumePolicy, useNaive bool, run func(*harness, *caller)) *caller {
	var c *caller
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, policy, useNaive)
		defer h.close()
		c = h.caller("request")
		c.connect(0, false)
		c.read(10)
		run(h, c)
		c.readAll()
		if c.sub != nil {
			c.sub.Close()
		}
	})
	return c
}

// Guards against missing, repeated and foreign tokens (P1, P2, P3) and against a
// resume latency above the bound, for each fault with both policies.
func TestFaultsPreserveGuarantees(t *testing.T) {
	for _, policy := range []configuration.ResumePolicy{configuration.ResumeSparing, configuration.ResumeFast} {
		for _, f := range faultCases {
			t.Run(string(policy)+"/"+f.name, func(t *testing.T) {
				g := NewWithT(t)
				c := runFault(t, policy, false, f.run)
				g.Expect(c.violation()).To(BeEmpty())
				g.Expect(c.maxGap).To(BeNumerically("<", resumeBound))
				t.Logf("resume latency %v, %d locators", c.maxGap, c.attempts)
			})
		}
	}
}

// Guards against injected faults without effect: with each of them the naive
// version must violate a guarantee.
func TestFaultsViolateGuaranteesOfNaive(t *testing.T) {
	for _, f := range faultCases {
		t.Run(f.name, func(t *testing.T) {
			g := NewWithT(t)
			c := runFault(t, configuration.ResumeSparing, true, f.run)
			g.Expect(c.violation()).To(ContainSubstring("does not follow"))
			t.Log(c.violation())
		})
	}
}

// Guards against a difference between the two versions without faults.
func TestVersionsAgreeWithoutFaults(t *testing.T) {
	g := NewWithT(t)
	none := func(*harness, *caller) {}
	realCaller := runFault(t, configuration.ResumeSparing, false, none)
	naiveCaller := runFault(t, configuration.ResumeSparing, true, none)
	g.Expect(realCaller.violation()).To(BeEmpty())
	g.Expect(naiveCaller.violation()).To(BeEmpty())
	g.Expect(realCaller.texts).To(Equal(naiveCaller.texts))
}
