//go:build e2e

package gatewaysoak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
	"foxtailhub.example/foxtailhub/internal/testfleet"
)

// runCallers makes calls from concurrent callers for the given period.
func (h *harness) runCallers(rec *recorder, callers int, period time.Duration) {
	ctx, cancel := context.WithTimeout(h.t.Context(), period)
	defer cancel()
	var running sync.WaitGroup
	for c := range callers {
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				h.call(rec, fmt.Sprintf("call-%d-%d", c, n), c%2 == 0)
				sleep(ctx, 10*time.Millisecond)
			}
		})
	}
	running.Wait()
}

// countLogLines counts the log lines of a server for requests of one kind.
func (h *harness) countLogLines(n *testfleet.Node, kind string) int {
	log, err := os.ReadFile(filepath.Join(h.Dir, n.Name+".log"))
	h.g.Expect(err).NotTo(HaveOccurred())
	return strings.Count(string(log), kind+" request=")
}

// Guards against new requests to a server that reports leaving in its responses
// while its entry in the store is still live.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	h := newHarness(t)
	rec := newRecorder()
	const callers = 8
	leaving := h.PlainServers[0]
	h.g.Expect(h.SetFault(leaving, emulator.ServerFault{Leaving: true})).To(Succeed())
	before := h.countLogLines(leaving, "ran")
	h.runCallers(rec, callers, 3*time.Second)
	t.Logf("%d requests after the server reported leaving; %v", h.countLogLines(leaving, "ran")-before, rec.counts)
	// Each gateway detects it in the first response; other requests may be in flight.
	h.g.Expect(h.countLogLines(leaving, "ran") - before).To(BeNumerically("<=", gatewayCount*callers))
	h.g.Expect(rec.violations).To(BeEmpty())
}

// Guards against requests to a server during its pushback (503 with Retry-After).
func TestServerInPushbackGetsNoRequests(t *testing.T) {
	h := newHarness(t)
	rec := newRecorder()
	const callers = 8
	n := h.PlainServers[0]
	h.g.Expect(h.SetFault(n, emulator.ServerFault{PushbackMS: 3000})).To(Succeed())
	h.runCallers(rec, callers, 2800*time.Millisecond)
	refused := h.countLogLines(n, "refused")
	t.Logf("%d requests were refused; %v", refused, rec.counts)
	h.g.Expect(refused).To(BeNumerically(">", 0))
	// Only requests in flight at the time of the first refusal.
	h.g.Expect(refused).To(BeNumerically("<=", gatewayCount*callers))
	h.g.Expect(rec.violations).To(BeEmpty())
}

var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// Guards against gateways that run out of memory when all servers send endless
// response heads, bodies, refusals or load reports: a gateway uses at most half of the
// machine's memory and serves again afterwards.
func TestServersThatSendEndlessResponses(t *testing.T) {
	for _, kind := range []string{emulator.EndlessHead, emulator.EndlessBody, emulator.EndlessRefusal, emulator.EndlessReport} {
		t.Run(kind, func(t *testing.T) {
			h := newHarness(t)
			rec := newRecorder()
			servers := append(append([]*testfleet.Node{}, h.Engines...), h.PlainServers...)
			for _, n := range servers {
				h.g.Expect(h.SetFault(n, emulator.ServerFault{Endless: kind})).To(Succeed())
			}
			var streams sync.WaitGroup
			for i := range 12 {
				streams.Go(func() { h.stream(rec, fmt.Sprint("stream-", i)) })
			}
			h.runCallers(rec, 24, 3*time.Second)
			for _, n := range servers {
				h.g.Expect(h.SetFault(n, emulator.ServerFault{})).To(Succeed())
			}
			streams.Wait()
			for _, n := range h.Gateways {
				h.g.Expect(n.Process().Exited()).NotTo(BeClosed())
				status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.Process().PID()))
				h.g.Expect(err).NotTo(HaveOccurred())
				match := peakMemory.FindStringSubmatch(string(status))
				h.g.Expect(match).NotTo(BeNil())
				var kilobytes int
				_, err = fmt.Sscan(match[1], &kilobytes)
				h.g.Expect(err).NotTo(HaveOccurred())
				t.Logf("%s: %s at most %d MiB; %v", kind, n.Name, kilobytes>>10, rec.counts)
				h.g.Expect(kilobytes).To(BeNumerically("<", machineMemoryMB<<10/2))
			}
			h.g.Expect(rec.violations).To(BeEmpty())
			h.g.Eventually(func() bool { return h.call(newRecorder(), fmt.Sprint("after-", time.Now().UnixNano()), true) }, recoveryBound, 50*time.Millisecond).Should(BeTrue())
		})
	}
}

// Guards against streams that stay at a stalled engine that still sends comments or
// old events.
func TestStalledStreamsMove(t *testing.T) {
	for _, kind := range []string{emulator.StallComments, emulator.StallOldEvent} {
		t.Run(kind, func(t *testing.T) {
			h := newHarness(t)
			rec := newRecorder()
			h.g.Expect(h.SetFault(h.Engines[0], emulator.ServerFault{StallOutput: kind})).To(Succeed())
			var streams sync.WaitGroup
			for i := range 4 * len(h.Engines) {
				streams.Go(func() { h.stream(rec, fmt.Sprint("stream-", i)) })
			}
			streams.Wait()
			t.Logf("%v, longest pause %v", rec.counts, rec.longestPause)
			h.g.Expect(rec.violations).To(BeEmpty())
			h.g.Expect(rec.counts).To(Equal(map[string]int{"stream complete": 4 * len(h.Engines)}))
			h.g.Expect(rec.longestPause).To(BeNumerically("<", recoveryBound))
		})
	}
}

// Guards against responses without a length that are lost, and against cut ones that look complete.
func TestResponsesWithoutLength(t *testing.T) {
	for _, kind := range []string{emulator.UnframedWhole, emulator.UnframedReset, emulator.UnframedCut} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			rec, u := newRecorder(), &unanswered{}
			unframed := []*testfleet.Node{h.Engines[0], h.PlainServers[0]}
			if kind == emulator.UnframedWhole {
				unframed = append(append([]*testfleet.Node{}, h.Engines...), h.PlainServers...)
			}
			for _, n := range unframed {
				h.g.Expect(h.SetFault(n, emulator.ServerFault{Unframed: kind})).To(Succeed())
			}
			const streamsEach = 12
			var streams sync.WaitGroup
			for _, route := range streamRoutes {
				for i := range streamsEach {
					streams.Go(func() {
						caller := h.NewCaller()
						defer caller.Close()
						h.streamOnce(rec, u, caller, route, fmt.Sprint(route, "-", i))
					})
				}
			}
			h.runCallers(rec, 6, time.Second)
			streams.Wait()
			h.checkExecutions(rec)
			t.Logf("%v", rec.counts)
			h.expectNoViolations(rec)
			h.g.Expect(rec.counts).To(HaveKeyWithValue(testfleet.ResumableRoute+" complete", streamsEach))
			h.g.Expect(rec.counts).NotTo(HaveKey(testfleet.ResumableRoute + " " + testfleet.Cut))
			if kind == emulator.UnframedWhole {
				h.g.Expect(rec.counts).To(HaveLen(len(streamRoutes)+2), "requests without a complete response")
			}
		})
	}
}

// Guards against a stream without a length that looks complete although its server was killed
// between two events.
func TestKilledServerEndsNoUnframedStreamAsComplete(t *testing.T) {
	h := newHarness(t)
	rec := newRecorder()
	for _, n := range h.Engines {
		h.g.Expect(h.SetFault(n, emulator.ServerFault{Unframed: emulator.UnframedWhole})).To(Succeed())
	}
	var streams sync.WaitGroup
	for i := range 4 * len(h.Engines) {
		streams.Go(func() { h.stream(rec, fmt.Sprint("stream-", i)) })
	}
	sleep(t.Context(), 700*time.Millisecond)
	h.Engines[0].Kill()
	streams.Wait()
	t.Logf("%v", rec.counts)
	h.expectNoViolations(rec)
	h.g.Expect(rec.counts).To(Equal(map[string]int{"stream complete": 4 * len(h.Engines)}))
}
