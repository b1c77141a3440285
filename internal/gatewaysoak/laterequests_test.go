//go:build e2e

package gatewaysoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
	"foxtailhub.example/foxtailhub/internal/testfleet"
)

const (
	lateGrace = 4 * time.Second
	// lateLead is the time from the first request to SIGTERM.
	lateLead     = 3 * time.Second
	lateRequests = 400
	// latePause is the time for which the gateway stands still as SIGTERM arrives.
	latePause   = 1500 * time.Millisecond
	lateTimeout = 20 * time.Second
	// crossingSlack is the time within which a request that crosses the close of its
	// connection is closed without an answer.
	crossingSlack = 200 * time.Millisecond
)

// lateSeeds are the seeds of TestLateRequestsAtLeavingGatewayAreAnswered. With even ones the gateway is paused
// while SIGTERM arrives.
var lateSeeds = []uint64{1, 2}

var lateLine = regexp.MustCompile(`(?m)^(arrived|ran) request=(\S+) `)

// lateRun is one run of requests at a gateway that leaves and is killed.
type lateRun struct {
	*harness
	rec     *recorder
	mu      sync.Mutex // guards refused and open
	refused []string
	open    []lateOpen
}

// lateOpen is a whole request that got no complete answer.
type lateOpen struct {
	request testfleet.TimedRequest
	got     testfleet.TimedResponse
	at      time.Duration // after SIGTERM
}

// send sends a request and records how it ended.
func (l *lateRun) send(leaving *testfleet.Node, signalAt time.Time, request testfleet.TimedRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), request.Deadline+lateTimeout)
	defer cancel()
	got := l.SendTimed(ctx, leaving.Address, request)
	l.rec.count(fmt.Sprintf("%s %d", request.Route, got.Status))
	l.mu.Lock()
	defer l.mu.Unlock()
	begun := got.Status == http.StatusOK && request.Events > 0
	switch {
	case got.Whole && !got.Complete && !begun:
		l.open = append(l.open, lateOpen{request, got, time.Since(signalAt)})
	case got.Status == http.StatusServiceUnavailable:
		l.refused = append(l.refused, request.ID)
	}
}

// serverLines returns the requests that lines of the logs of the servers name.
func (l *lateRun) serverLines(line string) map[string]int {
	count := map[string]int{}
	for _, n := range append(append([]*testfleet.Node{}, l.Engines...), l.PlainServers...) {
		log, err := os.ReadFile(filepath.Join(l.Dir, n.Name+".log"))
		l.g.Expect(err).NotTo(HaveOccurred())
		for _, match := range lateLine.FindAllStringSubmatch(string(log), -1) {
			if match[1] == line {
				count[match[2]]++
			}
		}
	}
	return count
}

// check records a violation for each request that was cut off or refused wrongly.
func (l *lateRun) check() {
	arrived, ran := l.serverLines("arrived"), l.serverLines("ran")
	for _, o := range l.open {
		if arrived[o.request.ID] > 0 || o.got.Waited > crossingSlack {
			l.rec.violation("request %s ended with status %d, %v after its last byte and %v after SIGTERM, at servers: %d",
				o.request.ID, o.got.Status, o.got.Waited, o.at, arrived[o.request.ID])
		}
	}
	for _, id := range l.refused {
		if ran[id] > 0 {
			l.rec.violation("request %s was refused but ran", id)
		}
	}
}

// Guards against requests that a leaving gateway takes, passes on and cuts off without an answer when its grace time ends.
func TestLateRequestsAtLeavingGatewayAreAnswered(t *testing.T) {
	for _, seed := range selectSeeds(lateSeeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, seed))
			h := newHarnessWith(t, testfleet.Options{
				EnginesPerDomain: 1, Gateways: 2, Grace: lateGrace, WorkDuration: time.Duration(20+rng.IntN(1000)) * time.Millisecond,
			})
			h.SetTimeouts(lateTimeout)
			h.g.Expect(h.WriteConfiguration()).To(Succeed())
			sleep(t.Context(), recoveryBound)
			l := &lateRun{harness: h, rec: newRecorder()}
			leaving := h.Gateways[0]
			signalAt := time.Now().Add(lateLead)
			var pending sync.WaitGroup
			for i := range lateRequests {
				route := append([]string{"read", "book"}, streamRoutes...)[rng.IntN(2+len(streamRoutes))]
				request := testfleet.TimedRequest{
					ID: fmt.Sprint("late-", i), Route: route, Deadline: 300*time.Millisecond + time.Duration(rng.Int64N(int64([]time.Duration{time.Second, lateTimeout}[rng.IntN(2)]))),
				}
				if rng.IntN(3) == 0 {
					request.BodyTime = time.Duration(rng.Int64N(int64(3 * time.Second)))
				}
				if route != "read" && route != "book" {
					request.Events = 1 + rng.IntN(300)
				}
				arrives := time.Duration(rng.Int64N(int64(lateLead + lateGrace)))
				pending.Go(func() {
					sleep(t.Context(), time.Until(signalAt.Add(arrives-lateLead)))
					l.send(leaving, signalAt, request)
				})
			}
			for _, n := range append(append([]*testfleet.Node{}, h.Engines...), h.PlainServers...) {
				silence := emulator.ServerFault{SilenceMS: rng.IntN(int((lateLead + lateGrace).Milliseconds()))}
				begins := signalAt.Add(time.Duration(rng.Int64N(int64(lateGrace))))
				pending.Go(func() {
					sleep(t.Context(), time.Until(begins))
					if err := h.SetFault(n, silence); err != nil {
						t.Errorf("set fault: %v", err)
					}
				})
			}
			sleep(t.Context(), time.Until(signalAt))
			if seed%2 == 0 {
				leaving.Signal(syscall.SIGSTOP) // the process handles SIGTERM after a pause
				pending.Go(func() {
					sleep(t.Context(), latePause)
					leaving.Signal(syscall.SIGCONT)
				})
			}
			leaving.Signal(syscall.SIGTERM)
			sleep(t.Context(), time.Until(signalAt.Add(lateGrace)))
			leaving.Kill()
			pending.Wait()
			l.check()
			t.Logf("seed %d: %v", seed, l.rec.counts)
			h.expectNoViolations(l.rec)
			h.g.Expect(l.rec.counts["read 200"]).To(BeNumerically(">", 0))
		})
	}
}
