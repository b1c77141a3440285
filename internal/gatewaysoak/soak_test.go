//go:build e2e

package gatewaysoak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
	"foxtailhub.example/foxtailhub/internal/testfleet"
)

const (
	// soakDuration is the duration of fault injection; FOXTAILHUB_SOAK_SECONDS overrides it.
	soakDuration  = 8 * time.Second
	streamCallers = 10
	callCallers   = 6
	// restartMin and restartSpread bound the duration of a fault (downtime of a killed process).
	restartMin    = 200 * time.Millisecond
	restartSpread = 1500 * time.Millisecond
)

// ciSeeds are the seeds that CI runs: two fixed ones and every seed that has failed,
// with the cause of the failure.
var ciSeeds = []uint64{
	1, 2,
	11, 39, // a long poll on a silent connection delayed the last configuration by up to 15 s
}

// readerSeeds are the seeds of TestGatewaySoakWithReaders.
var readerSeeds = []uint64{1, 2}

// rateSeeds are the seeds of TestGatewaySoakWithRequestRates.
var rateSeeds = []uint64{1, 2}

// unframedSeeds are the seeds of TestGatewaySoakWithUnframedResponses.
var unframedSeeds = []uint64{1}

// selectSeeds returns the seeds in FOXTAILHUB_SEED, separated by commas, or the defaults.
func selectSeeds(defaults []uint64) []uint64 {
	list := os.Getenv("FOXTAILHUB_SEED")
	if list == "" {
		return defaults
	}
	var chosen []uint64
	for text := range strings.SplitSeq(list, ",") {
		if seed, err := strconv.ParseUint(text, 10, 64); err == nil {
			chosen = append(chosen, seed)
		}
	}
	return chosen
}

func duration() time.Duration {
	if s, err := strconv.Atoi(os.Getenv("FOXTAILHUB_SOAK_SECONDS")); err == nil {
		return time.Duration(s) * time.Second
	}
	return soakDuration
}

// Guards against broken guarantees under random, overlapping faults: processes are
// killed, paused, restarted and shut down, connections are delayed, reset, cut in
// one direction or silenced, the store fails and the configuration changes.
func TestGatewaySoak(t *testing.T) { soakGateways(t, selectSeeds(ciSeeds), faults, newHarness) }

// Like TestGatewaySoak, but one gateway of each failure domain reads the store and
// the others follow it.
func TestGatewaySoakWithReaders(t *testing.T) {
	soakGateways(t, selectSeeds(readerSeeds), faults, func(t *testing.T) *harness { return newHarnessOfSize(t, 10, 2) })
}

// Like TestGatewaySoakWithReaders, but servers also state request rates.
func TestGatewaySoakWithRequestRates(t *testing.T) {
	soakGateways(t, selectSeeds(rateSeeds), slices.Concat(faults, rateFaults), func(t *testing.T) *harness { return newHarnessOfSize(t, 10, 2) })
}

// Like TestGatewaySoak, but servers also send responses without a length.
func TestGatewaySoakWithUnframedResponses(t *testing.T) {
	soakGateways(t, selectSeeds(unframedSeeds), slices.Concat(faults, unframedFaults), newHarness)
}

func soakGateways(t *testing.T, seeds []uint64, faults []fault, setUp func(t *testing.T) *harness) {
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			h := setUp(t)
			rec := newRecorder()
			ctx, cancel := context.WithTimeout(t.Context(), duration())
			defer cancel()
			callers := h.startCallers(ctx, rec)
			injector := &faultInjector{harness: h, faults: faults, rng: rand.New(rand.NewPCG(seed, seed))}
			injector.run(ctx)
			injector.heal()
			callers.Wait()
			h.checkRecovery(rec)
			h.checkExecutions(rec)
			t.Logf("seed %d: %v, longest pause %v", seed, rec.counts, rec.longestPause)
			h.g.Expect(rec.violations).To(BeEmpty())
			h.g.Expect(rec.counts["stream complete"]).To(BeNumerically(">", 0))
		})
	}
}

// startCallers starts callers that send requests until ctx ends and then finish the
// requests in progress.
func (h *harness) startCallers(ctx context.Context, rec *recorder) *sync.WaitGroup {
	var callers sync.WaitGroup
	for c := range streamCallers {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				h.stream(rec, fmt.Sprintf("stream-%d-%d", c, n))
			}
		})
	}
	for c := range callCallers {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				h.call(rec, fmt.Sprintf("call-%d-%d", c, n), n%2 == 0)
				sleep(ctx, 30*time.Millisecond)
			}
		})
	}
	return &callers
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// faultInjector injects random faults.
type faultInjector struct {
	*harness
	faults  []fault
	rng     *rand.Rand
	pending sync.WaitGroup // timers that end faults
}

// run injects faults until ctx ends; they may overlap.
func (f *faultInjector) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(200+f.rng.IntN(500))*time.Millisecond)
		fault := f.faults[f.rng.IntN(len(f.faults))]
		f.t.Logf("%s", fault.name)
		fault.inject(f)
	}
}

// afterDelay runs end, which ends a fault, after a random delay.
func (f *faultInjector) afterDelay(end func()) {
	d := restartMin + time.Duration(f.rng.Int64N(int64(restartSpread)))
	f.pending.Go(func() {
		sleep(context.Background(), d)
		end()
	})
}

func (f *faultInjector) pick(nodes []*testfleet.Node) *testfleet.Node {
	return nodes[f.rng.IntN(len(nodes))]
}

// fault is a fault or change that schedules its own end.
type fault struct {
	name   string
	inject func(f *faultInjector)
}

// faults are the possible faults and changes.
var faults = []fault{
	{"engine killed", func(f *faultInjector) { f.killAndRestart(f.pick(f.Engines)) }},
	{"engine killed", func(f *faultInjector) { f.killAndRestart(f.pick(f.Engines)) }},
	{"engine paused", func(f *faultInjector) { f.pause(f.pick(f.Engines)) }},
	{"plain server killed", func(f *faultInjector) { f.killAndRestart(f.pick(f.PlainServers)) }},
	{"plain server paused", func(f *faultInjector) { f.pause(f.pick(f.PlainServers)) }},
	{"failure domain of engines killed", func(f *faultInjector) {
		d := f.rng.IntN(domains)
		for _, n := range f.Engines[d*enginesEach : (d+1)*enginesEach] {
			f.killAndRestart(n)
		}
	}},
	{"gateway killed", func(f *faultInjector) { f.killAndRestart(f.pick(f.Gateways)) }},
	{"half of the gateways killed", func(f *faultInjector) {
		for i, n := range f.Gateways {
			if i%2 == 0 {
				f.killAndRestart(n)
			}
		}
	}},
	{"gateway paused", func(f *faultInjector) { f.pause(f.pick(f.Gateways)) }},
	{"gateway shut down gracefully", func(f *faultInjector) { f.drain(f.pick(f.Gateways)) }},
	{"gateway receives SIGHUP", func(f *faultInjector) { f.pick(f.Gateways).Signal(syscall.SIGHUP) }},
	{"server reports leaving", func(f *faultInjector) {
		n := f.pick(f.servers())
		f.setServerFault(n, emulator.ServerFault{Leaving: true})
		f.afterDelay(func() { f.restart(n) })
	}},
	{"server sends pushback", func(f *faultInjector) { f.injectFaultAtRandomServer(emulator.ServerFault{PushbackMS: 1500}) }},
	{"endless response head", func(f *faultInjector) {
		f.injectFaultAtRandomServer(emulator.ServerFault{Endless: emulator.EndlessHead})
	}},
	{"endless response body", func(f *faultInjector) {
		f.injectFaultAtRandomServer(emulator.ServerFault{Endless: emulator.EndlessBody})
	}},
	{"endless refusal body", func(f *faultInjector) {
		f.injectFaultAtRandomServer(emulator.ServerFault{Endless: emulator.EndlessRefusal})
	}},
	{"endless load reports", func(f *faultInjector) {
		f.injectFaultAtRandomServer(emulator.ServerFault{Endless: emulator.EndlessReport})
	}},
	{"stalled streams send comments", func(f *faultInjector) {
		f.injectServerFault(f.pick(f.Engines), emulator.ServerFault{StallOutput: emulator.StallComments})
	}},
	{"stalled streams send old events", func(f *faultInjector) {
		f.injectServerFault(f.pick(f.Engines), emulator.ServerFault{StallOutput: emulator.StallOldEvent})
	}},
	{"connections reset", func(f *faultInjector) { f.pick(f.Nodes()).Proxy.ResetConnections() }},
	{"open connections silent", func(f *faultInjector) {
		f.pick(f.Nodes()).Proxy.SetFault(emulator.ProxyFault{Silence: true, OpenConnectionsOnly: true})
	}},
	{"server unreachable", func(f *faultInjector) { f.injectProxyFault(emulator.ProxyFault{Silence: true}) }},
	{"responses lost", func(f *faultInjector) { f.injectProxyFault(emulator.ProxyFault{DropResponses: true}) }},
	{"connections refused", func(f *faultInjector) { f.injectProxyFault(emulator.ProxyFault{Refuse: true}) }},
	{"connections slow", func(f *faultInjector) { f.injectProxyFault(emulator.ProxyFault{Delay: 60 * time.Millisecond}) }},
	{"store refuses", func(f *faultInjector) { f.injectStoreFault(emulator.StoreFault{Status: http.StatusServiceUnavailable}) }},
	{"store limits the request rate", func(f *faultInjector) { f.injectStoreFault(emulator.StoreFault{Status: http.StatusTooManyRequests}) }},
	{"store silent", func(f *faultInjector) { f.injectStoreFault(emulator.StoreFault{DelayMS: 5000}) }},
	{"store slow", func(f *faultInjector) { f.injectStoreFault(emulator.StoreFault{DelayMS: 300}) }},
	{"store forgets history", func(f *faultInjector) { f.injectStoreFault(emulator.StoreFault{DropHistory: true}) }},
	{"route added", func(f *faultInjector) {
		f.AddRoute()
		_ = f.WriteConfiguration() // the store may be down
	}},
	{"route removed", func(f *faultInjector) {
		f.RemoveRoute()
		_ = f.WriteConfiguration() // the store may be down
	}},
	{"invalid server entry", func(f *faultInjector) {
		_ = f.WriteRow("servers", "strange", []byte(`{"service":7}`)) // the store may be down
	}},
}

// rateFaults are statements of request rates. Some servers never state one, so that callers
// can be served by them.
var rateFaults = slices.Repeat([]fault{
	{"plain server states a request rate", func(f *faultInjector) {
		f.injectServerFault(f.PlainServers[0], emulator.ServerFault{RequestRate: rates[f.rng.IntN(len(rates))]})
	}},
	{"engine states a request rate", func(f *faultInjector) {
		f.injectServerFault(f.Engines[0], emulator.ServerFault{RequestRate: rates[f.rng.IntN(len(rates))]})
	}},
	{"plain server states a request rate for long", func(f *faultInjector) {
		f.setServerFault(f.PlainServers[0], emulator.ServerFault{RequestRate: rates[f.rng.IntN(len(rates))]})
	}},
}, 3)

// unframedFaults are responses that end with their connection.
var unframedFaults = slices.Repeat([]fault{
	{"responses without a length", func(f *faultInjector) {
		f.injectFaultAtRandomServer(emulator.ServerFault{Unframed: emulator.UnframedWhole})
	}},
	{"responses without a length are reset", func(f *faultInjector) {
		f.injectFaultAtRandomServer(emulator.ServerFault{Unframed: emulator.UnframedReset})
	}},
	{"streams without a length end inside an event", func(f *faultInjector) {
		f.injectServerFault(f.pick(f.Engines), emulator.ServerFault{Unframed: emulator.UnframedCut})
	}},
	{"server stands still", func(f *faultInjector) {
		f.setServerFault(f.pick(f.servers()), emulator.ServerFault{SilenceMS: 300 + f.rng.IntN(1200)})
	}},
}, 4)

// rates are stated request rates, in requests a second, and values that are none.
var rates = []string{"0", "0.3", "3.3", "40", "1e9", "-1", "many"}

func (f *faultInjector) killAndRestart(n *testfleet.Node) {
	n.Signal(syscall.SIGCONT)
	n.Kill()
	f.afterDelay(func() { f.restart(n) })
}

func (f *faultInjector) restart(n *testfleet.Node) {
	if err := n.Restart(); err != nil {
		f.t.Errorf("restart %s: %v", n.Name, err)
	}
}

func (f *faultInjector) servers() []*testfleet.Node { return slices.Concat(f.Engines, f.PlainServers) }

// setServerFault sets the fault of a server; it has no effect on one that is down or paused.
func (f *faultInjector) setServerFault(n *testfleet.Node, fault emulator.ServerFault) {
	if err := f.SetFault(n, fault); err != nil {
		f.t.Logf("set fault of %s: %v", n.Name, err)
	}
}

func (f *faultInjector) injectServerFault(n *testfleet.Node, fault emulator.ServerFault) {
	f.setServerFault(n, fault)
	f.afterDelay(func() { f.setServerFault(n, emulator.ServerFault{}) })
}

func (f *faultInjector) injectFaultAtRandomServer(fault emulator.ServerFault) {
	f.injectServerFault(f.pick(f.servers()), fault)
}

func (f *faultInjector) pause(n *testfleet.Node) {
	process := n.Process()
	_ = process.Signal(syscall.SIGSTOP) // it may have exited
	f.afterDelay(func() { _ = process.Signal(syscall.SIGCONT) })
}

// drain shuts a gateway down gracefully and restarts it after it has exited. It is
// killed after the grace period, as the platform does.
func (f *faultInjector) drain(n *testfleet.Node) {
	process := n.Process()
	_ = process.Signal(syscall.SIGTERM)
	f.pending.Go(func() {
		select {
		case <-process.Exited():
		case <-time.After(8 * time.Second):
		}
		if n.Process() == process {
			if err := n.Restart(); err != nil {
				f.t.Errorf("restart %s: %v", n.Name, err)
			}
		}
	})
}

func (f *faultInjector) injectProxyFault(fault emulator.ProxyFault) {
	proxy := f.pick(f.Nodes()).Proxy
	proxy.SetFault(fault)
	f.afterDelay(func() { proxy.SetFault(emulator.ProxyFault{}) })
}

func (f *faultInjector) injectStoreFault(fault emulator.StoreFault) {
	f.setStoreFault(fault)
	if !fault.DropHistory {
		f.afterDelay(func() { f.setStoreFault(emulator.StoreFault{}) })
	}
}

func (f *faultInjector) setStoreFault(fault emulator.StoreFault) {
	body, err := json.Marshal(fault)
	f.g.Expect(err).NotTo(HaveOccurred())
	response, err := http.Post("http://"+f.Store.Address+"/fault", "application/json", bytes.NewReader(body))
	f.g.Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
}

// heal ends all faults and writes the configuration again.
func (f *faultInjector) heal() {
	f.pending.Wait()
	f.setStoreFault(emulator.StoreFault{})
	for _, n := range f.Nodes() {
		n.Proxy.SetFault(emulator.ProxyFault{})
		n.Signal(syscall.SIGCONT)
	}
	for _, n := range f.servers() {
		f.setServerFault(n, emulator.ServerFault{})
	}
	f.g.Expect(f.WriteConfiguration()).To(Succeed())
}

// checkRecovery checks that all gateways serve again under the last configuration
// within recoveryBound.
func (h *harness) checkRecovery(rec *recorder) {
	sleep(context.Background(), recoveryBound)
	h.g.Eventually(h.ReadyAddresses, recoveryBound, 50*time.Millisecond).Should(HaveLen(len(h.Gateways)))
	for _, gateway := range h.Gateways {
		for _, prefix := range append(h.AddedRoutePrefixes(), "/removed/") {
			h.checkRoute(rec, gateway, prefix)
		}
	}
	for n := range 10 {
		if !h.stream(rec, fmt.Sprintf("last-stream-%d", n)) {
			rec.violation("stream not completed after the faults")
		}
		if !h.call(rec, fmt.Sprintf("last-call-%d", n), true) {
			rec.violation("call not completed after the faults")
		}
	}
}

func (h *harness) checkRoute(rec *recorder, gateway *testfleet.Node, prefix string) {
	ctx, cancel := context.WithTimeout(context.Background(), testfleet.CallDeadline)
	defer cancel()
	response, err := h.RequestTo(ctx, gateway.Address, "probe", http.MethodGet, prefix+"x", "", nil)
	if err != nil {
		rec.violation("%s does not respond after the faults: %v", gateway.Name, err)
		return
	}
	defer response.Body.Close()
	if found := response.StatusCode != http.StatusNotFound; found != (prefix != "/removed/") {
		rec.violation("%s responds with %d on route %s after the last change", gateway.Name, response.StatusCode, prefix)
	}
}
