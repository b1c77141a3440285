package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/poison"
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

// Guards against a log line of any length.
func TestLoggedPartsAreBounded(t *testing.T) {
	g := NewWithT(t)
	g.Expect(formatParts(nil)).To(BeEmpty())
	g.Expect(formatParts([]poison.Part{1, 0xabc})).To(Equal("0000000000000001,0000000000000abc"))
	g.Expect(formatParts(make([]poison.Part, 5000))).To(HaveSuffix(",0000000000000000+4992"))
}
