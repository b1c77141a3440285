package generation_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/configuration"
)

// faultCases are faults during a generation. Each is run against the naive
// version, which must break P1, P2 or P3, and against the real one.
var faultCases = []struct {
	name string
	run  func(w *world, c *caller)
}{
	{"kill", func(w *world, c *caller) {
		w.serving(c.request).Kill()
	}},
	{"pause and return", func(w *world, c *caller) {
		engine := w.serving(c.request)
		engine.Pause()
		c.read(20)
		engine.Unpause()
	}},
	{"pause and return with late tokens of the old attempt", func(w *world, c *caller) {
		engine := w.serving(c.request)
		engine.IgnoreCancel(true)
		engine.Pause()
		time.AfterFunc(1200*time.Millisecond, engine.Unpause)
	}},
	{"cut", func(w *world, c *caller) { w.serving(c.request).Cut() }},
	{"silent connection", func(w *world, c *caller) { w.serving(c.request).Silence() }},
	{"token of an old stream", func(w *world, c *caller) { w.serving(c.request).CrossStream() }},
	{"gap", func(w *world, c *caller) { w.serving(c.request).SkipToken() }},
	{"duplicated token", func(w *world, c *caller) { w.serving(c.request).Repeat() }},
	{"event of another request", func(w *world, c *caller) { w.serving(c.request).CrossRequest() }},
	{"only a busy engine has the version", func(w *world, c *caller) {
		w.engines[3].Kill()
		w.router.Exclude("e3", true)
		w.serving(c.request).Kill()
	}},
	{"entry instance lost", func(w *world, c *caller) {
		w.severed[0].Sever(true)
		w.links.sever()
		c.connect(1, true)
	}},
	{"entry instance and engine lost", func(w *world, c *caller) {
		w.severed[0].Sever(true)
		w.links.sever()
		w.serving(c.request).Kill()
		c.connect(1, true)
	}},
	{"two holders at once", func(w *world, c *caller) {
		w.links.sever()
		w.serving(c.request).Cut()
		c.connect(1, true)
		c.read(30)
		c.connect(0, true)
		c.read(40)
		c.connect(1, true)
	}},
	{"two holders with different texts", func(w *world, c *caller) {
		w.links.sever()
		engine := w.serving(c.request)
		engine.Pause()
		c.connect(1, true)
		c.read(30)
		engine.Unpause()
		time.Sleep(500 * time.Millisecond) // the first holder passes the caller's position
		c.connect(0, true)
		c.read(40)
		c.connect(1, true)
	}},
}

func runFault(t *testing.T, policy configuration.ResumePolicy, useNaive bool, run func(*world, *caller)) *caller {
	var c *caller
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, policy, useNaive)
		defer w.close()
		c = w.caller("request")
		c.connect(0, false)
		c.read(10)
		run(w, c)
		c.readAll()
		if c.sub != nil {
			c.sub.Close()
		}
	})
	return c
}

// Guards against missing, repeated and foreign tokens (P1, P2, P3) and against
// a resume latency above the bound, for each fault and both policies.
func TestFaultsKeepPromises(t *testing.T) {
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

// Guards against faults that do nothing: the naive version must break a promise
// under each of them.
func TestFaultsBreakNaive(t *testing.T) {
	for _, f := range faultCases {
		t.Run(f.name, func(t *testing.T) {
			g := NewWithT(t)
			c := runFault(t, configuration.ResumeSparing, true, f.run)
			g.Expect(c.violation()).To(ContainSubstring("does not follow"))
			t.Log(c.violation())
		})
	}
}

// Guards against a difference between the two versions in the absence of faults.
func TestVersionsAgreeWithoutFaults(t *testing.T) {
	g := NewWithT(t)
	none := func(*world, *caller) {}
	realCaller := runFault(t, configuration.ResumeSparing, false, none)
	naiveCaller := runFault(t, configuration.ResumeSparing, true, none)
	g.Expect(realCaller.violation()).To(BeEmpty())
	g.Expect(naiveCaller.violation()).To(BeEmpty())
	g.Expect(realCaller.texts).To(Equal(naiveCaller.texts))
}
