//go:build e2e

package gatewaysoak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
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
	// restoredDuration is the duration of fault injection; FOXTAILHUB_SOAK_SECONDS overrides it.
	restoredDuration = 14 * time.Second
	// registerInterval is the time within which servers write their entries again after a return.
	registerInterval = 1800 * time.Millisecond
	maxLostMS        = 9000 // of the writes of the store, in one return
	maxAwayMS        = 2000
	probeInterval    = 50 * time.Millisecond
	// logSlack bounds the difference between the times of an event and of its log line.
	logSlack = 100 * time.Millisecond
	// withdrawalBound is the time after the removal of an entry in which all gateways know it, also
	// those that were paused or did not reach the store.
	withdrawalBound = recoveryBound + restartMin + restartSpread + time.Second
)

// restoredSeeds are the seeds of TestGatewaySoakWithRestoredStore.
var restoredSeeds = []uint64{1, 2}

// returns records the returns of the store.
type returns struct {
	mu      sync.Mutex // guards the fields below
	pending int        // returns after which the configuration was not written again yet
	endedAt time.Time  // when it was last written again
	times   []time.Time
}

func (r *returns) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending++
}

func (r *returns) returned() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times = append(r.times, time.Now())
}

func (r *returns) rewritten() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending--
	r.endedAt = time.Now()
}

// outdatedSince reports whether the store may have had an outdated configuration at a time or later.
func (r *returns) outdatedSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pending > 0 || r.endedAt.After(t)
}

// shortlyAfter reports whether the entries of servers may have been outdated at a time, or less
// than a bound before.
func (r *returns) shortlyAfter(t time.Time, bound time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.times, func(at time.Time) bool { return t.After(at) && t.Sub(at) < bound })
}

// returnStore makes the store come back from a copy, after which the operator writes its newest
// configuration again.
func (f *faultInjector) returnStore(r *returns) {
	restore := &emulator.Restore{LostMS: 1000 + f.rng.IntN(maxLostMS-1000), AwayMS: f.rng.IntN(2) * f.rng.IntN(maxAwayMS), ResetHeld: f.rng.IntN(2) == 0}
	pause, lateMS, again := time.Duration(f.rng.IntN(2000))*time.Millisecond, f.rng.IntN(2)*f.rng.IntN(600), f.rng.IntN(3) == 0
	r.begin()
	f.setStoreFault(emulator.StoreFault{LateMS: lateMS})
	f.pending.Go(func() {
		ctx := context.Background()
		sleep(ctx, 100*time.Millisecond) // calls that arrive in this time are answered after the return
		f.setStoreFault(emulator.StoreFault{Restore: restore})
		sleep(ctx, time.Duration(restore.AwayMS)*time.Millisecond)
		r.returned()
		sleep(ctx, pause)
		for f.RewriteConfiguration() != nil {
			sleep(ctx, probeInterval)
		}
		r.rewritten()
	})
	if again {
		sleep(context.Background(), time.Duration(f.rng.IntN(1500))*time.Millisecond)
		f.returnStore(r)
	}
}

// restoredFaults are the faults beside which the store returns from copies.
func restoredFaults(r *returns) []fault {
	change := func(change func(f *faultInjector)) func(f *faultInjector) {
		return func(f *faultInjector) {
			change(f)
			_ = f.WriteConfiguration() // the store may be away
		}
	}
	storeReturns := fault{"store returns from a copy", func(f *faultInjector) { f.returnStore(r) }}
	return append(slices.Repeat([]fault{storeReturns}, 4), []fault{
		{"engine killed", func(f *faultInjector) { f.killAndRestart(f.pick(f.Engines[1:])) }},
		{"engine paused", func(f *faultInjector) { f.pause(f.pick(f.Engines[1:])) }},
		{"plain server killed", func(f *faultInjector) { f.killAndRestart(f.pick(f.PlainServers[1:])) }},
		{"gateway killed", func(f *faultInjector) { f.killAndRestart(f.pick(f.Gateways)) }},
		{"gateway paused", func(f *faultInjector) { f.pause(f.pick(f.Gateways)) }},
		{"gateway shut down gracefully", func(f *faultInjector) { f.drain(f.pick(f.Gateways)) }},
		{"gateway receives SIGHUP", func(f *faultInjector) { f.pick(f.Gateways).Signal(syscall.SIGHUP) }},
		{"connections reset", func(f *faultInjector) { f.pick(f.Nodes()).Proxy.ResetConnections() }},
		{"open connections silent", func(f *faultInjector) {
			f.pick(f.Nodes()).Proxy.SetFault(emulator.ProxyFault{Silence: true, OpenConnectionsOnly: true})
		}},
		{"server or store unreachable", func(f *faultInjector) { f.injectProxyFault(emulator.ProxyFault{Silence: true}) }},
		{"route added", change(func(f *faultInjector) { f.AddRoute() })},
		{"route added", change(func(f *faultInjector) { f.AddRoute() })},
		{"route removed", change(func(f *faultInjector) { f.RemoveRoute() })},
		{"keys changed", change(func(f *faultInjector) { f.ChangeKeys() })},
	}...)
}

// nextFloor returns the lowest version of the configuration that an instance can have after an
// answer that shows whether it has a route. ok is false if no version from the floor on fits.
func nextFloor(floor int64, route testfleet.RouteChange, present bool) (next int64, ok bool) {
	until := route.Until
	if until == 0 {
		until = math.MaxInt64
	}
	switch inForce := floor >= route.From && floor < until; {
	case present:
		return max(floor, route.From), floor < until
	case inForce:
		return until, until != math.MaxInt64
	}
	return floor, true
}

// probeConfigurations checks until ctx ends that a gateway never uses an older configuration
// than before. A process that started while the store had an outdated one may begin with that.
func (h *harness) probeConfigurations(ctx context.Context, rec *recorder, gateway *testfleet.Node, r *returns) {
	var process *testcluster.Process
	var startedAt time.Time
	var floor int64
	first := true
	for ; ctx.Err() == nil; sleep(ctx, probeInterval) {
		routes := h.RouteChanges()
		if current := gateway.Process(); current != process {
			process, startedAt, first = current, time.Now().Add(-probeInterval), true
		}
		if len(routes) == 0 {
			continue
		}
		probed := len(routes) - 1 - rand.IntN(min(4, len(routes)))
		present, known := h.hasRoute(ctx, gateway, routes[probed].Prefix)
		if !known || gateway.Process() != process {
			continue
		}
		if first && r.outdatedSince(startedAt) {
			floor = 0
		}
		first = false
		route := h.RouteChanges()[probed] // with a removal since the request
		next, ok := nextFloor(floor, route, present)
		if !ok {
			rec.violation("%s has version %d or later of the configuration, but answers for route %+v with present=%t", gateway.Name, floor, route, present)
		}
		rec.count("probe")
		floor = next
	}
}

// hasRoute reports whether a gateway has a route, if its answer tells.
func (h *harness) hasRoute(ctx context.Context, gateway *testfleet.Node, prefix string) (present, known bool) {
	ctx, cancel := context.WithTimeout(ctx, testfleet.CallDeadline)
	defer cancel()
	response, err := h.RequestTo(ctx, gateway.Address, "probe", http.MethodGet, prefix+"x", "", nil)
	if err != nil {
		return false, false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK, response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNotFound
}

var (
	withdrawnLine = regexp.MustCompile(`withdrawn server=(\S+) at_us=(\d+)`)
	arrivedAtLine = regexp.MustCompile(`arrived request=(\S+) server=(\S+) at_us=(\d+)`)
)

// returnedWithin reports whether the store has returned less than a bound after a time.
func (r *returns) returnedWithin(since time.Time, bound time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.times, func(at time.Time) bool { return at.After(since) && at.Sub(since) < bound })
}

// checkWithdrawn checks that a server whose entry was removed got no requests. A gateway that
// started later, or had not read the list when the return lost the removal, learns of it only when
// a restored entry is removed again, or is missing after servers had time to write theirs.
func (h *harness) checkWithdrawn(rec *recorder, server *testfleet.Node, r *returns, gatewaysStarted bool) {
	log, err := os.ReadFile(filepath.Join(h.Dir, server.Name+".log"))
	h.g.Expect(err).NotTo(HaveOccurred())
	at := func(text string) time.Time {
		us, err := strconv.ParseInt(text, 10, 64)
		h.g.Expect(err).NotTo(HaveOccurred())
		return time.UnixMicro(us)
	}
	withdrawn := withdrawnLine.FindStringSubmatch(string(log))
	if withdrawn == nil {
		rec.violation("%s was not withdrawn", server.Name)
		return
	}
	since := at(withdrawn[2])
	unread := gatewaysStarted || r.returnedWithin(since, recoveryBound)
	for _, arrived := range arrivedAtLine.FindAllStringSubmatch(string(log), -1) {
		when := at(arrived[3])
		restored := unread && r.shortlyAfter(when, registerInterval+recoveryBound)
		if arrived[2] == withdrawn[1] && when.Sub(since) > withdrawalBound && !restored {
			rec.violation("request %s reached %s %v after the entry of the server was removed", arrived[1], arrived[2], when.Sub(since))
		}
	}
}

var unreadyLine = regexp.MustCompile(`(?m)^time="([^"]*)".* msg="readiness changed".* leaving=false .*ready=false upstreams=(\d+)`)

// checkStaysReady checks that no gateway has become unready except to leave.
func (h *harness) checkStaysReady(rec *recorder) {
	for _, gateway := range h.Gateways {
		log, err := os.ReadFile(filepath.Join(h.Dir, gateway.Name+".log"))
		h.g.Expect(err).NotTo(HaveOccurred())
		for _, unready := range unreadyLine.FindAllSubmatch(log, -1) {
			rec.violation("%s became unready at %s with %s upstreams", gateway.Name, unready[1], unready[2])
		}
	}
}

var (
	startedLine  = regexp.MustCompile(`msg="gateway started"`)
	upstreamLine = regexp.MustCompile(`^time="([^"]*)".* msg="(upstream gone|request sent|stream sent)"`)
	tookField    = regexp.MustCompile(` took_ms=(\d+)`)
)

// checkGoneStaysGone checks that no gateway process has sent a request to a server after it had
// removed the server from its list.
func (h *harness) checkGoneStaysGone(rec *recorder, server *testfleet.Node) {
	upstream := " upstream=" + server.Name + "-1" // the process whose entry was removed
	for _, gateway := range h.Gateways {
		log, err := os.ReadFile(filepath.Join(h.Dir, gateway.Name+".log"))
		h.g.Expect(err).NotTo(HaveOccurred())
		var goneAt time.Time
		for line := range strings.Lines(string(log)) {
			if startedLine.MatchString(line) {
				goneAt = time.Time{}
			}
			match := upstreamLine.FindStringSubmatch(line)
			if match == nil || !strings.Contains(strings.TrimSpace(line)+" ", upstream+" ") {
				continue
			}
			at, err := time.Parse(time.RFC3339Nano, match[1])
			h.g.Expect(err).NotTo(HaveOccurred())
			if match[2] == "upstream gone" {
				goneAt = at
				continue
			}
			took := tookField.FindStringSubmatch(line)
			h.g.Expect(took).NotTo(BeNil(), line)
			ms, err := strconv.Atoi(took[1])
			h.g.Expect(err).NotTo(HaveOccurred())
			if sentAt := at.Add(-time.Duration(ms) * time.Millisecond); !goneAt.IsZero() && sentAt.Sub(goneAt) > logSlack {
				rec.violation("%s sent a request to %s %v after it was gone", gateway.Name, server.Name, sentAt.Sub(goneAt))
			}
		}
	}
}

// Guards against an older configuration, requests to servers that left, the loss of all upstreams,
// and broken guarantees when the store comes back from copies beside other faults.
func TestGatewaySoakWithRestoredStore(t *testing.T) {
	for _, seed := range selectSeeds(restoredSeeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			options := testfleet.Options{
				EnginesPerDomain: enginesEach, Gateways: gatewayCount, GatewayDomains: domains, WorkDuration: 20 * time.Millisecond,
				RegisterInterval: registerInterval,
			}
			if seed%2 == 0 {
				options.Gateways, options.GatewayDomains = 10, 2
			}
			h := newHarnessWith(t, options)
			rec, r := newRecorder(), &returns{}
			h.AddRoute() // for the probes
			h.g.Expect(h.WriteConfiguration()).To(Succeed())
			length := restoredDuration
			if os.Getenv("FOXTAILHUB_SOAK_SECONDS") != "" {
				length = duration()
			}
			ctx, cancel := context.WithTimeout(t.Context(), recoveryBound+length)
			defer cancel()
			var gatewaysBefore []*testcluster.Process
			for _, gateway := range h.Gateways {
				gatewaysBefore = append(gatewaysBefore, gateway.Process())
			}
			left := []*testfleet.Node{h.Engines[0], h.PlainServers[0]}
			injector := &faultInjector{harness: h, faults: restoredFaults(r), rng: rand.New(rand.NewPCG(seed, seed))}
			injector.setServerFault(left[0], emulator.ServerFault{Withdrawn: true})
			sleep(ctx, recoveryBound) // until all gateways must know it
			injector.setServerFault(left[1], emulator.ServerFault{Withdrawn: true})
			callers := h.startCallers(ctx, rec)
			for _, gateway := range h.Gateways {
				callers.Go(func() { h.probeConfigurations(ctx, rec, gateway, r) })
			}
			injector.run(ctx)
			injector.pending.Wait()
			gatewaysStarted := false
			for i, gateway := range h.Gateways {
				gatewaysStarted = gatewaysStarted || gateway.Process() != gatewaysBefore[i]
			}
			for _, server := range left {
				injector.restart(server)
			}
			injector.heal()
			callers.Wait()
			h.checkRecovery(rec)
			h.checkExecutions(rec)
			h.checkStaysReady(rec)
			for _, server := range left {
				h.checkWithdrawn(rec, server, r, gatewaysStarted)
				h.checkGoneStaysGone(rec, server)
			}
			t.Logf("seed %d: %d returns, %v, longest pause %v", seed, len(r.times), rec.counts, rec.longestPause)
			h.g.Expect(rec.violations).To(BeEmpty())
			h.g.Expect(rec.counts["stream complete"]).To(BeNumerically(">", 0))
			h.g.Expect(rec.counts["probe"]).To(BeNumerically(">", 0))
		})
	}
}
