//go:build e2e

package gatewaysoak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
	"foxtailhub.example/foxtailhub/internal/testfleet"
)

// streamGapBound is the longest permitted gap between two events of a stream.
const streamGapBound = 700 * time.Millisecond

// Guards against a crash or silence of an engine that is visible to callers: the
// stream continues within the gap target of its route, without a reconnect.
func TestStreamSurvivesItsEngine(t *testing.T) {
	for name, fail := range map[string]func(n *testfleet.Node){
		"killed": func(n *testfleet.Node) { n.Kill() },
		"paused": func(n *testfleet.Node) { n.Signal(syscall.SIGSTOP) },
		"cut":    func(n *testfleet.Node) { n.Proxy.SetFault(emulator.ProxyFault{Silence: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			rec := newRecorder()
			var streams sync.WaitGroup
			for i := range 4 * len(h.Engines) {
				streams.Go(func() { h.stream(rec, fmt.Sprint("stream-", i)) })
			}
			sleep(t.Context(), 700*time.Millisecond)
			fail(h.Engines[0])
			streams.Wait()
			t.Logf("%v, longest pause %v", rec.counts, rec.longestPause)
			h.g.Expect(rec.violations).To(BeEmpty())
			h.g.Expect(rec.counts).To(Equal(map[string]int{"stream complete": 4 * len(h.Engines)}))
			h.g.Expect(rec.longestPause).To(BeNumerically("<", streamGapBound))
		})
	}
}

// Guards against a graceful shutdown that cuts requests off, and against a process
// that does not exit after its last request has ended.
func TestGracefulShutdownCutsNoRequest(t *testing.T) {
	h := newHarness(t)
	rec := newRecorder()
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	var failed atomic.Int64
	for c := range 6 {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if !h.call(rec, fmt.Sprintf("call-%d-%d", c, n), c%2 == 0) {
					failed.Add(1)
				}
				sleep(ctx, 20*time.Millisecond)
			}
		})
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				h.stream(rec, fmt.Sprintf("stream-%d-%d", c, n))
			}
		})
	}
	for _, n := range h.Gateways {
		process := n.Process()
		n.Signal(syscall.SIGHUP)
		n.Signal(syscall.SIGTERM)
		n.Signal(syscall.SIGTERM)
		h.g.Eventually(process.Exited(), 10*time.Second).Should(BeClosed())
		h.g.Expect(process.ExitCode()).To(BeZero())
		h.g.Expect(n.Restart()).To(Succeed())
		h.g.Eventually(h.ReadyAddresses, 10*time.Second, 50*time.Millisecond).Should(HaveLen(gatewayCount))
	}
	cancel()
	callers.Wait()
	h.checkExecutions(rec)
	t.Logf("%v", rec.counts)
	h.g.Expect(rec.violations).To(BeEmpty())
	h.g.Expect(failed.Load()).To(BeZero())
	h.g.Expect(rec.counts).NotTo(HaveKey("stream attempt broken off"))
	h.g.Expect(rec.counts).NotTo(HaveKey("stream attempt without an answer"))
}

// Guards against a poison request that crashes one server after another through
// retries at one gateway or through new requests at other gateways.
func TestPoisonRequest(t *testing.T) {
	h := newHarness(t)
	rec := newRecorder()
	sendPoison := func(gateway *testfleet.Node) int {
		ctx, cancel := context.WithTimeout(t.Context(), testfleet.CallDeadline)
		defer cancel()
		response, err := h.RequestTo(ctx, gateway.Address, "deadly", http.MethodPost, "/draft/deadly", emulator.PoisonBodyPrefix, nil)
		h.g.Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		return response.StatusCode
	}
	countCrashed := func() int {
		n := 0
		for _, engine := range h.Engines {
			select {
			case <-engine.Process().Exited():
				n++
			default:
			}
		}
		return n
	}
	h.g.Expect(sendPoison(h.Gateways[0])).To(Equal(http.StatusBadGateway))
	h.g.Expect(countCrashed()).To(BeNumerically("<=", 3))
	sleep(t.Context(), recoveryBound) // until all gateways must have the quarantine
	// Count only now: the exit of a crashed engine may be detected after the response.
	before := countCrashed()
	h.g.Expect(before).To(BeNumerically("<=", 3))
	for _, gateway := range h.Gateways {
		h.g.Expect(sendPoison(gateway)).To(Equal(http.StatusBadGateway))
	}
	h.g.Expect(countCrashed()).To(Equal(before))
	for n := range 3 {
		h.g.Expect(h.stream(rec, fmt.Sprint("harmless-", n))).To(BeTrue())
	}
}

// Guards against a gateway that is ready, or responds with 404 or 401, before it has
// a configuration, and against one that loses it while the store is unreachable.
func TestStoreUnreachable(t *testing.T) {
	h := newHarness(t)
	rec := newRecorder()
	for _, n := range h.Gateways {
		n.Proxy.SetFault(emulator.ProxyFault{Silence: true})
		n.Proxy.ResetConnections()
	}
	h.g.Expect(h.Gateways[0].Restart()).To(Succeed())
	h.g.Eventually(h.ReadyAddresses, 5*time.Second, 50*time.Millisecond).Should(HaveLen(gatewayCount - 1))
	response, err := h.RequestTo(t.Context(), h.Gateways[0].Address, "early", http.MethodGet, "/read/x", "", nil)
	h.g.Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	h.g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	h.g.Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	sleep(t.Context(), 4*time.Second)
	for n := range 20 {
		h.g.Expect(h.call(rec, fmt.Sprint("call-", n), n%2 == 0)).To(BeTrue())
	}
	for _, n := range h.Gateways {
		n.Proxy.SetFault(emulator.ProxyFault{})
	}
	h.g.Eventually(h.ReadyAddresses, recoveryBound, 50*time.Millisecond).Should(HaveLen(gatewayCount))
	h.g.Expect(rec.violations).To(BeEmpty())
}
