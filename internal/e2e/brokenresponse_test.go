//go:build e2e

package e2e

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/client"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/rawserver"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// takeOver kills a server and answers each connection to its address with bytes that it repeats without end.
func (h *harness) takeOver(p *testcluster.Process, begin, repeated string) (stop func()) {
	h.kill(p)
	repeated = strings.Repeat(repeated, 1+(16<<10)/len(repeated))
	listener, err := rawserver.Listen(p.Address, rawserver.Respond(begin, repeated))
	h.Expect(err).NotTo(HaveOccurred())
	return func() { _ = listener.Close() }
}

// Guards against an instance that keeps what an upstream sends instead of a response until it is out
// of memory.
func TestUpstreamThatSendsNoResponseUsesLittleMemory(t *testing.T) {
	checkEndlessResponses(t, time.Minute)
}

// Guards against an instance that refuses charges as overloaded long after its service has recovered
// from responses without end.
func TestChargesAreAnsweredSoonAfterEndlessResponses(t *testing.T) {
	checkEndlessResponses(t, 20*time.Second)
}

// checkEndlessResponses sends requests to upstreams that respond without end, and checks that the instance
// lives, that its memory stays below that of the machine, and that an ordinary charge is answered in time
// afterwards.
func checkEndlessResponses(t *testing.T, answeredWithin time.Duration) {
	const (
		crowd         = 300
		machineMemory = 256 << 10 // kilobytes
		head          = "HTTP/1.1 200 OK\r\n"
	)
	for name, sent := range map[string][2]string{
		"head":   {head, "A:\r\n"},
		"body":   {head + "\r\n", "x"},
		"chunks": {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"event":  {head + "Content-Type: text/event-stream\r\n\r\ndata: ", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			h := startHarness(t, testcluster.Options{Instances: 1, Engines: 1, Services: 1, Slots: crowd})
			service, engine := h.cluster.Services[0], h.cluster.Engines[0]
			stops := []func(){h.takeOver(service, sent[0], sent[1]), h.takeOver(engine, sent[0], sent[1])}
			var callers sync.WaitGroup
			for i := range crowd {
				callers.Go(func() {
					if i%2 == 0 {
						h.callWithin(3*time.Second, 0, testcluster.ChargeService, contract.NewKey())
						return
					}
					ctx, cancel := context.WithTimeout(h.ctx, 3*time.Second)
					defer cancel()
					_, _ = h.client.Generate(ctx, client.GenerationRequest{
						RequestID: contract.RequestID{Workspace: testcluster.Workspace, Key: contract.NewKey()},
						Service:   testcluster.GenerationService, Prompt: fmt.Sprintf("care guide %d len=10", i), Seed: seed,
					}) // an error, or an outcome without a text
				})
			}
			callers.Wait()
			for _, stop := range stops {
				stop()
			}
			instance := h.cluster.Instances[0]
			h.Expect(instance.Exited()).NotTo(BeClosed())
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", instance.PID()))
			h.Expect(err).NotTo(HaveOccurred())
			var kilobytes int
			_, err = fmt.Sscan(peakMemory.FindStringSubmatch(string(status))[1], &kilobytes)
			h.Expect(err).NotTo(HaveOccurred())
			t.Logf("%s: at most %d MiB", name, kilobytes>>10)
			h.Expect(kilobytes).To(BeNumerically("<", machineMemory))
			h.restartService(0)
			h.Eventually(func() contract.Verdict { return h.charge(0, contract.NewKey()).Verdict }, answeredWithin).Should(HaveField("Outcome", contract.Completed))
		})
	}
}
