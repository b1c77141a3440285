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

// Guards against an instance with a certificate of another authority that is
// heard, that accepts a patch, or that keeps the others from working.
func TestForeignInstanceJoinsNothing(t *testing.T) {
	t.Parallel()
	w := start(t, testcluster.Options{})
	foreign, err := w.cluster.StartForeignInstance("foreign-0")
	w.Expect(err).NotTo(HaveOccurred())
	w.Eventually(func() bool {
		for _, instance := range w.cluster.Instances {
			if !w.logHas(instance, "certificate") {
				return false
			}
		}
		return w.logHas(foreign, "certificate")
	}, 15*time.Second).Should(BeTrue(), "refusals are logged on both sides")

	connection, err := client.New([]string{foreign.URL()})
	w.Expect(err).NotTo(HaveOccurred())
	w.Consistently(func(g Gomega) {
		result, err := connection.Endpoint().SubmitPatch(w.ctx, patchOf(1, 9))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Status).To(Equal(oas.PatchResultStatusUnavailable), "%+v", result)
	}, 3*time.Second, 200*time.Millisecond).Should(Succeed())
	for i := range w.cluster.Instances {
		status, err := w.clientOf(i).Endpoint().GetStatus(w.ctx)
		w.Expect(err).NotTo(HaveOccurred())
		for _, peer := range status.Peers {
			if peer.Instance == "foreign-0" {
				w.Expect(peer.SilentMs).To(Equal(int64(-1)), "heard from the foreign instance: %+v", peer)
			}
		}
		w.Expect(w.ready(i)).To(BeTrue())
		w.finish(w.generate(w.clientOf(i), 50, 1))
	}
	w.Expect(w.accept(0, patchOf(1, 5))).To(Equal(int64(2)))
	w.awaitInForce(2, time.Now())
}

func (w *world) logHas(p *testcluster.Process, text string) bool {
	w.t.Helper()
	data, err := os.ReadFile(w.cluster.LogFile(p))
	w.Expect(err).NotTo(HaveOccurred())
	return strings.Contains(string(data), text)
}
