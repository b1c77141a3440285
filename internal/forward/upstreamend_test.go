package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/poison"
	"foxtailhub.example/foxtailhub/internal/route"
)

const endAtStartLine = "upstream process ended at the start of an answer"

// Guards against a record that does not show which requests had not or only just begun when
// the process of their upstream ended.
func TestEndsOfUpstreamsAtTheStartAreLogged(t *testing.T) {
	for stage, progress := range map[crashStage]string{crashBeforeHead: "progress=not_begun", crashAfterHead: "progress=not_begun", crashAfterFirstEvent: "progress=just_begun"} {
		inVirtualTime(t, func(t *testing.T) {
			h := newHarness(t, streaming, true)
			newCrashingEngines(6, stage, "poison").attach(h)
			h.request(t.Context(), map[string]string{"Parts": "system,poison,own"})
			synctest.Wait()
			h.g.Expect(h.log.String()).To(ContainSubstring(endAtStartLine))
			h.g.Expect(h.log.String()).To(ContainSubstring(progress))
		})
	}
	inVirtualTime(t, func(t *testing.T) { // the answer has gone on
		h := newHarness(t, streaming, true)
		engines := newCrashingEngines(6, crashStages, "poison")
		engines.attach(h)
		time.AfterFunc(soundPrefill+time.Second, func() {
			engines.mu.Lock()
			address := engines.arrivals[0].upstream[:2]
			engines.mu.Unlock()
			engines.end(address)
		})
		got := h.request(t.Context(), map[string]string{"Parts": "system,own"})
		h.g.Expect(got.status).To(Equal(http.StatusOK))
		synctest.Wait()
		h.g.Expect(engines.arrivals).To(HaveLen(2))
		h.g.Expect(h.log.String()).NotTo(ContainSubstring(endAtStartLine))
	})
	inVirtualTime(t, func(t *testing.T) { // only connections are lost
		h := newHarness(t, streaming, true, "a", "b", "c")
		h.setBehaviour(resetConnection, "a", "b", "c")
		h.request(t.Context(), nil)
		synctest.Wait()
		h.g.Expect(h.log.String()).NotTo(ContainSubstring(endAtStartLine))
	})
	inVirtualTime(t, func(t *testing.T) { // nobody answers
		h := newHarness(t, streaming, true, "a", "b", "c")
		h.crashOnRequest("a", "b", "c")
		h.request(t.Context(), nil)
		synctest.Wait()
		h.g.Expect(h.log.String()).NotTo(ContainSubstring(endAtStartLine))
	})
}

// recordedCrashes is a PartExchange that keeps what is shared.
type recordedCrashes struct {
	unsharedParts
	crashes []poison.Crash
}

func (r *recordedCrashes) ShareCrash(crash poison.Crash) { r.crashes = append(r.crashes, crash) }

// Guards against suspecting a request of the end of an upstream process to which it was sent only
// afterwards, for example through a proxy that still accepts connections.
func TestRequestSentToEndedUpstreamIsNoSuspect(t *testing.T) {
	for _, r := range []route.Route{streaming, idempotent} {
		inVirtualTime(t, func(t *testing.T) {
			h := newHarness(t, r, true)
			shared := &recordedCrashes{}
			h.f.PartExchange = shared
			engines := newCrashingEngines(1, crashStages)
			engines.proxy = true
			engines.attach(h)
			time.AfterFunc(soundPrefill/2, func() { engines.end("e0") })
			h.request(t.Context(), parts("system,running,own")) // ends with the process
			synctest.Wait()
			h.g.Expect(shared.crashes).To(HaveLen(1))
			h.pool.Members("service")[0].MarkAlive(time.Now())
			time.Sleep(10 * time.Millisecond)
			h.request(t.Context(), parts("system,late,own"))
			synctest.Wait()
			h.g.Expect(shared.crashes).To(HaveLen(1))
			h.g.Expect(shared.crashes[0].Prompts).To(Equal([]poison.Prompt{poison.NewPrompt([]string{"system", "running", "own"})}))
		})
	}
}

// Guards against a log line of any length.
func TestLoggedPartsAreBounded(t *testing.T) {
	g := NewWithT(t)
	g.Expect(formatParts(nil)).To(BeEmpty())
	g.Expect(formatParts([]poison.Part{1, 0xabc})).To(Equal("0000000000000001,0000000000000abc"))
	g.Expect(formatParts(make([]poison.Part, 5000))).To(HaveSuffix(",0000000000000000+4992"))
}
