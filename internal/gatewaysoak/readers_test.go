//go:build e2e

package gatewaysoak

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/testfleet"
)

// Guards against several gateways of one failure domain reading the store, and
// against followers that miss a configuration when their reader is killed or paused.
func TestGatewaysFollowTheirReader(t *testing.T) {
	const gateways = 6
	h := newHarnessOfSize(t, gateways, 1)
	h.g.Eventually(h.reader, 10*time.Second, 50*time.Millisecond).ShouldNot(BeNil())
	sleep(t.Context(), 3*time.Second)
	before, err := h.StoreCallCounts()
	h.g.Expect(err).NotTo(HaveOccurred())
	sleep(t.Context(), 4*time.Second)
	after, err := h.StoreCallCounts()
	h.g.Expect(err).NotTo(HaveOccurred())
	t.Logf("calls before %v, 4 s later %v", before, after)
	// One reader reads every 0.42 s; six separate readers would make 20 calls for the list.
	h.g.Expect(after["servers"] - before["servers"]).To(BeNumerically("<=", 12))
	h.g.Expect(after["op"] - before["op"]).To(BeNumerically("<=", 12))

	for _, fail := range []func(n *testfleet.Node){
		func(n *testfleet.Node) { n.Kill() },
		func(n *testfleet.Node) { n.Signal(syscall.SIGSTOP) },
	} {
		reader := h.reader()
		h.g.Expect(reader).NotTo(BeNil())
		fail(reader)
		h.AddRoute()
		h.g.Expect(h.WriteConfiguration()).To(Succeed())
		sleep(t.Context(), recoveryBound)
		rec := newRecorder()
		for _, gateway := range h.Gateways {
			if gateway != reader {
				for _, prefix := range h.AddedRoutePrefixes() {
					h.checkRoute(rec, gateway, prefix)
				}
			}
		}
		h.g.Expect(rec.violations).To(BeEmpty())
		reader.Signal(syscall.SIGCONT)
		h.g.Expect(reader.Restart()).To(Succeed())
		h.g.Eventually(h.ReadyAddresses, 5*time.Second, 50*time.Millisecond).Should(HaveLen(gateways))
		sleep(t.Context(), 3*time.Second)
	}
}

// reader returns the gateway that all followers log as their source, nil if they differ.
func (h *harness) reader() *testfleet.Node {
	const marker = `msg="source of news changed"`
	var followed string
	for _, n := range h.Gateways {
		log, err := os.ReadFile(filepath.Join(h.Dir, n.Name+".log"))
		h.g.Expect(err).NotTo(HaveOccurred())
		at := strings.LastIndex(string(log), marker)
		if at < 0 {
			return nil
		}
		line, _, _ := strings.Cut(string(log[at:]), "\n")
		_, rest, _ := strings.Cut(line, " to=")
		source, _, _ := strings.Cut(rest, " ")
		switch {
		case source == "store":
			continue
		case followed != "" && followed != source:
			return nil
		}
		followed = source
	}
	for _, n := range h.Gateways {
		if n.Name == followed {
			return n
		}
	}
	return nil
}
