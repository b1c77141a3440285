package soak

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/platform/platformtest"
)

// Guards against a final refusal by an instance that has no configuration after its
// start: unknown_workspace would end the caller's request.
func TestStartingInstanceIsUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1, 3, platformtest.Faults{Unavailable: true})
		defer h.shutDown()
		result, err := h.submit(lookups, "key", callTimeout)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Verdict.Outcome).To(Equal(contract.NotRun))
		g.Expect(result.Verdict.Reason).To(Equal(contract.ReasonConfigurationUnconfirmed))
	})
}
