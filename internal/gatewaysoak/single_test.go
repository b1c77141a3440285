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

// pauseGoal is the longest pause of a stream that is on time.
const pauseGoal = 700 * time.Millisecond

// Guards against a caller that notices the crash or silence of an engine: the
// stream goes on within the pause of its route, without the caller's help.
func TestStreamSurvivesItsEngine(t *testing.T) {
	for name, fail := range map[string]func(n *testfleet.Node){
		"killed": func(n *testfleet.Node) { n.Kill() },
		"paused": func(n *testfleet.Node) { n.Signal(syscall.SIGSTOP) },
		"cut":    func(n *testfleet.Node) { n.Proxy.Set(emulator.ProxyFault{Silence: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			l := newLedger()
			var streams sync.WaitGroup
			for i := range 4 * len(w.Engines) {
				streams.Go(func() { w.stream(l, fmt.Sprint("stream-", i)) })
			}
			pauseFor(t.Context(), 700*time.Millisecond)
			fail(w.Engines[0])
			streams.Wait()
			t.Logf("%v, longest pause %v", l.counts, l.longest)
			w.g.Expect(l.violations).To(BeEmpty())
			w.g.Expect(l.counts).To(Equal(map[string]int{"stream complete": 4 * len(w.Engines)}))
			w.g.Expect(l.longest).To(BeNumerically("<", pauseGoal))
		})
	}
}

// Guards against a planned stop that cuts a request, and against a process that
// does not end when its last request has.
func TestPlannedStopCutsNothing(t *testing.T) {
	w := newWorld(t)
	l := newLedger()
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	var failed atomic.Int64
	for c := range 6 {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if !w.call(l, fmt.Sprintf("call-%d-%d", c, n), c%2 == 0) {
					failed.Add(1)
				}
				pauseFor(ctx, 20*time.Millisecond)
			}
		})
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				w.stream(l, fmt.Sprintf("stream-%d-%d", c, n))
			}
		})
	}
	for _, n := range w.Gateways {
		process := n.Current()
		n.Signal(syscall.SIGHUP)
		n.Signal(syscall.SIGTERM)
		n.Signal(syscall.SIGTERM)
		w.g.Eventually(process.Exited(), 10*time.Second).Should(BeClosed())
		w.g.Expect(process.ExitCode()).To(BeZero())
		w.g.Expect(n.Restart()).To(Succeed())
		w.g.Eventually(w.Ready, 10*time.Second, 50*time.Millisecond).Should(HaveLen(gatewayCount))
	}
	cancel()
	callers.Wait()
	w.checkRuns(l)
	t.Logf("%v", l.counts)
	w.g.Expect(l.violations).To(BeEmpty())
	w.g.Expect(failed.Load()).To(BeZero())
	w.g.Expect(l.counts).NotTo(HaveKey("stream attempt broken off"))
	w.g.Expect(l.counts).NotTo(HaveKey("stream attempt without an answer"))
}

// Guards against a request that crashes one server after the other, at one
// instance or at all of them.
func TestDeadlyRequest(t *testing.T) {
	w := newWorld(t)
	l := newLedger()
	send := func(gateway *testfleet.Node) int {
		ctx, cancel := context.WithTimeout(t.Context(), testfleet.CallDeadline)
		defer cancel()
		response, err := w.RequestAt(ctx, gateway.Address, "deadly", http.MethodPost, "/draft/deadly", emulator.DeadlyBody, nil)
		w.g.Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		return response.StatusCode
	}
	crashed := func() int {
		n := 0
		for _, engine := range w.Engines {
			select {
			case <-engine.Current().Exited():
				n++
			default:
			}
		}
		return n
	}
	w.g.Expect(send(w.Gateways[0])).To(Equal(http.StatusBadGateway))
	w.g.Expect(crashed()).To(BeNumerically("<=", 3))
	before := crashed()
	pauseFor(t.Context(), bound) // until all instances have to know
	for _, gateway := range w.Gateways {
		w.g.Expect(send(gateway)).To(Equal(http.StatusBadGateway))
	}
	w.g.Expect(crashed()).To(Equal(before))
	for n := range 3 {
		w.g.Expect(w.stream(l, fmt.Sprint("harmless-", n))).To(BeTrue())
	}
}

// Guards against a gateway that is ready, or answers 404 or 401, before it knows
// a configuration, and against one that loses it when the store is away.
func TestStoreAway(t *testing.T) {
	w := newWorld(t)
	l := newLedger()
	for _, n := range w.Gateways {
		n.Proxy.Set(emulator.ProxyFault{Silence: true})
		n.Proxy.Reset()
	}
	w.g.Expect(w.Gateways[0].Restart()).To(Succeed())
	w.g.Eventually(w.Ready, 5*time.Second, 50*time.Millisecond).Should(HaveLen(gatewayCount - 1))
	response, err := w.RequestAt(t.Context(), w.Gateways[0].Address, "early", http.MethodGet, "/read/x", "", nil)
	w.g.Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	w.g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	w.g.Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	pauseFor(t.Context(), 4*time.Second)
	for n := range 20 {
		w.g.Expect(w.call(l, fmt.Sprint("call-", n), n%2 == 0)).To(BeTrue())
	}
	for _, n := range w.Gateways {
		n.Proxy.Set(emulator.ProxyFault{})
	}
	w.g.Eventually(w.Ready, bound, 50*time.Millisecond).Should(HaveLen(gatewayCount))
	w.g.Expect(l.violations).To(BeEmpty())
}
