//go:build e2e

package gatewaysoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
	"foxtailhub.example/foxtailhub/internal/testcluster"
	"foxtailhub.example/foxtailhub/internal/testfleet"
)

const (
	silenceMin    = 300 * time.Millisecond
	silenceSpread = 1200 * time.Millisecond
	// soundMin is the shortest time between two silences of a server. Overlapping silences
	// would last longer, and streams longer than the grace period.
	soundMin = time.Second
	// answerSlack is the time after which a request that ended without an answer counts
	// as read, although it reached no server.
	answerSlack = time.Second
	// gracePeriod is the time from SIGTERM to SIGKILL.
	gracePeriod = 8 * time.Second
	logTime     = "15:04:05.000"
)

var streamRoutes = []string{testfleet.ResumableRoute, testfleet.NotResumableRoute, testfleet.SingleAttemptRoute}

// unanswered are the attempts that ended without a complete answer.
type unanswered struct {
	mu       sync.Mutex // guards attempts
	attempts []testfleet.FailedAttempt
}

// add records an attempt, unless it was not sent or its deadline has passed.
func (u *unanswered) add(a testfleet.FailedAttempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if (a.Outcome == testfleet.Cut || a.Outcome == testfleet.NoAnswer) && !a.PastDeadline {
		u.attempts = append(u.attempts, a)
	}
}

var arrivedLine = regexp.MustCompile(`(?m)^arrived request=(\S+) `)

// checkAnswered records a violation for each attempt that a gateway had read and that ended
// without a complete answer. It is for tests in which no server fails.
func (h *harness) checkAnswered(rec *recorder, u *unanswered) {
	arrived := map[string]bool{}
	for _, n := range append(append([]*testfleet.Node{}, h.Engines...), h.PlainServers...) {
		log, err := os.ReadFile(filepath.Join(h.Dir, n.Name+".log"))
		h.g.Expect(err).NotTo(HaveOccurred())
		for _, match := range arrivedLine.FindAllSubmatch(log, -1) {
			arrived[string(match[1])] = true
		}
	}
	for _, a := range u.attempts {
		if arrived[a.ID] || a.Took > answerSlack {
			rec.violation("request %s ended %s after %v at %s, reached a server: %t",
				a.ID, a.Outcome, a.Took.Round(time.Millisecond), a.EndedAt.UTC().Format(logTime), arrived[a.ID])
		}
	}
}

// expectNoViolations logs all violations and fails if there is one.
func (h *harness) expectNoViolations(rec *recorder) {
	for _, violation := range rec.violations {
		h.t.Log(violation)
	}
	h.g.Expect(rec.violations).To(HaveLen(0))
}

// streamOnce requests a stream on a route with one caller and retries it there.
func (h *harness) streamOnce(rec *recorder, u *unanswered, caller *testfleet.Caller, route, id string) {
	const attempts = 4
	result := caller.Stream(context.Background(), testfleet.StreamSpec{
		ID: id, Route: route, Events: streamEvents, Parts: []emulator.PromptPart{{ID: "shared", Tokens: 100}}, Attempts: attempts,
	})
	if result.Violation != "" {
		rec.violation("%s", result.Violation)
	}
	if result.Complete {
		rec.count(route + " complete")
	}
	for _, a := range result.FailedAttempts {
		rec.count(route + " " + a.Outcome)
		u.add(a)
	}
}

// Guards against streams that end because their server stands still for a while.
func TestSilentServerEndsNoStream(t *testing.T) {
	const silence = 1200 * time.Millisecond
	for _, when := range []string{"prefill", "middle of the stream"} {
		for _, share := range []string{"one", "all"} {
			t.Run(when+", "+share, func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				rec, u := newRecorder(), &unanswered{}
				silent := h.Engines
				if share == "one" {
					silent = h.Engines[:1]
				}
				silenceAll := func() {
					for _, n := range silent {
						h.g.Eventually(func() error {
							return h.SetFault(n, emulator.ServerFault{SilenceMS: int(silence.Milliseconds())})
						}, 10*time.Second).Should(Succeed())
					}
				}
				if when == "prefill" {
					silenceAll()
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
				if when != "prefill" {
					sleep(t.Context(), 700*time.Millisecond)
					silenceAll()
				}
				streams.Wait()
				h.checkAnswered(rec, u)
				t.Logf("%v", rec.counts)
				h.expectNoViolations(rec)
				for _, route := range streamRoutes {
					h.g.Expect(rec.counts).To(HaveKeyWithValue(route+" complete", streamsEach))
				}
				h.g.Expect(rec.counts).To(HaveLen(len(streamRoutes)), "attempts that did not complete their stream")
			})
		}
	}
}

// plannedSeeds are the seeds of TestPlannedWorkBesideSilenceLosesNothing.
var plannedSeeds = []uint64{1, 2}

// Guards against requests that end without an answer when servers stand still beside changes
// of the configuration, SIGHUP and restarts of gateways.
func TestPlannedWorkBesideSilenceLosesNothing(t *testing.T) {
	for _, seed := range selectSeeds(plannedSeeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			gateways, gatewayDomains := gatewayCount, domains
			if seed%2 == 1 {
				gateways, gatewayDomains = 10, 2 // most of them follow a reader of the store
			}
			h := newHarnessOfSize(t, gateways, gatewayDomains)
			rec, u := newRecorder(), &unanswered{}
			ctx, cancel := context.WithTimeout(t.Context(), duration())
			defer cancel()
			callers := h.startPersistentCallers(ctx, rec, u)
			work := &plannedWork{faultInjector: &faultInjector{harness: h, rng: rand.New(rand.NewPCG(seed, seed))}, rec: rec}
			work.run(ctx)
			callers.Wait()
			work.pending.Wait()
			h.checkAnswered(rec, u)
			h.checkExecutions(rec)
			t.Logf("seed %d: %v", seed, rec.counts)
			h.expectNoViolations(rec)
			for _, route := range streamRoutes {
				h.g.Expect(rec.counts[route+" complete"]).To(BeNumerically(">", 0))
			}
		})
	}
}

// startPersistentCallers starts callers that keep their connections until ctx ends and then
// finish the requests in progress.
func (h *harness) startPersistentCallers(ctx context.Context, rec *recorder, u *unanswered) *sync.WaitGroup {
	const streamCallersEach, callCallersEach = 4, 4
	var callers sync.WaitGroup
	start := func(count int, name string, request func(caller *testfleet.Caller, id string)) {
		for c := range count {
			callers.Go(func() {
				caller := h.NewCaller()
				defer caller.Close()
				for n := 0; ctx.Err() == nil; n++ {
					request(caller, fmt.Sprintf("%s-%d-%d", name, c, n))
					sleep(ctx, time.Duration(rand.IntN(100))*time.Millisecond)
				}
			})
		}
	}
	for _, route := range streamRoutes {
		start(streamCallersEach, route, func(caller *testfleet.Caller, id string) { h.streamOnce(rec, u, caller, route, id) })
	}
	for name, repeatable := range map[string]bool{"read": true, "book": false} {
		start(callCallersEach, name, func(caller *testfleet.Caller, id string) {
			result := caller.Call(context.Background(), id, repeatable)
			rec.count(fmt.Sprintf("%s %d", name, result.Status))
			if result.Violation != "" {
				rec.violation("%s", result.Violation)
			}
			u.add(result.Failed)
		})
	}
	return &callers
}

// plannedWork changes the configuration, signals and restarts gateways, and lets servers
// stand still. The actions come in series and overlap.
type plannedWork struct {
	*faultInjector
	rec         *recorder
	silentUntil map[*testfleet.Node]time.Time

	mu       sync.Mutex // guards draining
	draining map[*testfleet.Node]*testcluster.Process
}

func (w *plannedWork) run(ctx context.Context) {
	w.draining, w.silentUntil = map[*testfleet.Node]*testcluster.Process{}, map[*testfleet.Node]time.Time{}
	actions := []func(){
		w.silence, w.silence, w.silence, w.silence, w.changeConfiguration, w.changeConfiguration, w.changeConfiguration,
		w.hangUp, w.terminate, w.terminate,
	}
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(w.rng.IntN(500))*time.Millisecond)
		for range 1 + w.rng.IntN(3) {
			actions[w.rng.IntN(len(actions))]()
		}
	}
}

// silence lets one, most or all of the servers that have not just been silent stand still at
// the same time.
func (w *plannedWork) silence() {
	servers := slices.DeleteFunc(w.servers(), func(n *testfleet.Node) bool { return time.Since(w.silentUntil[n]) < soundMin })
	if len(servers) == 0 {
		return
	}
	w.rng.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	count := max(1, len(servers)*[]int{0, 1, 2, 3, 4}[w.rng.IntN(5)]/4)
	d := silenceMin + time.Duration(w.rng.Int64N(int64(silenceSpread)))
	w.t.Logf("%s %d servers silent for %v", time.Now().UTC().Format(logTime), count, d)
	for _, n := range servers[:count] {
		w.silentUntil[n] = time.Now().Add(d)
		w.setServerFault(n, emulator.ServerFault{SilenceMS: int(d.Milliseconds())})
	}
}

func (w *plannedWork) changeConfiguration() {
	kind := []string{"timeouts", "limits", "keys", "route added", "route removed"}[w.rng.IntN(5)]
	factor := w.rng.Float64()
	switch kind {
	case "timeouts":
		w.ChangeTimeouts(factor)
	case "limits":
		w.ChangeLimits(factor)
	case "keys":
		w.ChangeKeys()
	case "route added":
		w.AddRoute()
	case "route removed":
		w.RemoveRoute()
	}
	w.t.Logf("%s configuration: %s", time.Now().UTC().Format(logTime), kind)
	if err := w.WriteConfiguration(); err != nil {
		w.t.Errorf("write configuration: %v", err)
	}
}

// hangUp sends SIGHUP to a gateway that is ready or draining. A process that has not
// installed its signal handlers yet would end.
func (w *plannedWork) hangUp() {
	n := w.pick(w.Gateways)
	w.mu.Lock()
	defer w.mu.Unlock()
	process := w.draining[n]
	if process == nil && w.isReady(n) {
		process = n.Process()
	}
	if process != nil {
		w.t.Logf("%s SIGHUP to %s", time.Now().UTC().Format(logTime), n.Name)
		_ = process.Signal(syscall.SIGHUP) // it may have exited
	}
}

func (w *plannedWork) isReady(n *testfleet.Node) bool {
	return slices.Contains(w.ReadyAddresses(), n.Address)
}

// terminate sends SIGTERM to a ready gateway, at times also SIGHUP, and starts it again after
// it has exited. At least one gateway stays.
func (w *plannedWork) terminate() {
	n := w.pick(w.Gateways)
	again := w.rng.IntN(2) == 0
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.draining[n] != nil || len(w.draining) >= len(w.Gateways)-1 || !w.isReady(n) {
		return
	}
	process := n.Process()
	w.draining[n] = process
	w.t.Logf("%s SIGTERM to %s", time.Now().UTC().Format(logTime), n.Name)
	signals := []syscall.Signal{syscall.SIGTERM}
	if again {
		signals = append(signals, syscall.SIGHUP, syscall.SIGTERM)
	}
	for _, signal := range signals {
		_ = process.Signal(signal) // it may have exited
	}
	w.pending.Go(func() {
		timer := time.NewTimer(gracePeriod)
		defer timer.Stop()
		select {
		case <-process.Exited():
			if code := process.ExitCode(); code != 0 {
				w.rec.violation("%s exited with %d after SIGTERM", n.Name, code)
			}
		case <-timer.C:
			w.rec.violation("%s runs at the end of its grace period", n.Name)
		}
		w.restart(n)
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.draining, n)
	})
}
