//go:build e2e

package e2e

import (
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/client"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

// Guards against an instance with a certificate of another authority that other
// instances accept contact from, that accepts a patch, or that disturbs the others.
func TestInstanceOfOtherAuthorityIsRejected(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{})
	foreign, err := h.cluster.StartForeignInstance("foreign-0")
	h.Expect(err).NotTo(HaveOccurred())
	h.Eventually(func() bool {
		for _, instance := range h.cluster.Instances {
			if !h.logContains(instance, "certificate") {
				return false
			}
		}
		return h.logContains(foreign, "certificate")
	}, 15*time.Second).Should(BeTrue(), "refusals are logged on both sides")

	connection, err := client.New([]string{foreign.URL()})
	h.Expect(err).NotTo(HaveOccurred())
	h.Consistently(func(g Gomega) {
		result, err := connection.NextEndpoint().SubmitPatch(h.ctx, newPatch(1, 9))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Status).To(Equal(oas.PatchResultStatusUnavailable), "%+v", result)
	}, 3*time.Second, 200*time.Millisecond).Should(Succeed())
	for i := range h.cluster.Instances {
		status, err := h.clientOf(i).NextEndpoint().GetStatus(h.ctx)
		h.Expect(err).NotTo(HaveOccurred())
		for _, peer := range status.Peers {
			if peer.Instance == "foreign-0" {
				h.Expect(peer.SilentMs).To(Equal(int64(-1)), "contact from the foreign instance: %+v", peer)
			}
		}
		h.Expect(h.ready(i)).To(BeTrue())
		h.expectCompleted(h.generate(h.clientOf(i), 50, 1))
	}
	h.Expect(h.submitUntilAccepted(0, newPatch(1, 5))).To(Equal(int64(2)))
	h.awaitInForce(2, time.Now())
}

func (h *harness) logContains(p *testcluster.Process, text string) bool {
	h.t.Helper()
	data, err := os.ReadFile(h.cluster.LogFile(p))
	h.Expect(err).NotTo(HaveOccurred())
	return strings.Contains(string(data), text)
}
