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

// seeds returns the seeds in FOXTAILHUB_SEED, separated by commas, or the defaults.
func seeds(defaults []uint64) []uint64 {
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
func TestGatewaySoak(t *testing.T) { soakGateways(t, seeds(ciSeeds), newHarness) }

// Guards against the same when one gateway of each failure domain reads the store
// and the others follow it.
func TestGatewaySoakWithReaders(t *testing.T) {
	soakGateways(t, seeds(readerSeeds), func(t *testing.T) *harness { return newHarnessOf(t, 10, 2) })
}

func soakGateways(t *testing.T, seeds []uint64, setUp func(t *testing.T) *harness) {
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			h := setUp(t)
			l := newRecorder()
			ctx, cancel := context.WithTimeout(t.Context(), duration())
			defer cancel()
			callers := h.startCallers(ctx, l)
			s := &faultInjector{harness: h, rng: rand.New(rand.NewPCG(seed, seed))}
			s.run(ctx)
			s.heal()
			callers.Wait()
			h.checkRecovery(l)
			h.checkExecutions(l)
			t.Logf("seed %d: %v, longest pause %v", seed, l.counts, l.longestPause)
			h.g.Expect(l.violations).To(BeEmpty())
			h.g.Expect(l.counts["stream complete"]).To(BeNumerically(">", 0))
		})
	}
}

// startCallers starts callers that send requests until ctx ends and then finish the
// requests in progress.
func (h *harness) startCallers(ctx context.Context, l *recorder) *sync.WaitGroup {
	var callers sync.WaitGroup
	for c := range streamCallers {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				h.stream(l, fmt.Sprintf("stream-%d-%d", c, n))
			}
		})
	}
	for c := range callCallers {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				h.call(l, fmt.Sprintf("call-%d-%d", c, n), n%2 == 0)
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
	rng     *rand.Rand
	pending sync.WaitGroup // timers that end faults
}

// run injects faults until ctx ends; they may overlap.
func (s *faultInjector) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(200+s.rng.IntN(500))*time.Millisecond)
		fault := faults[s.rng.IntN(len(faults))]
		s.t.Logf("%s", fault.name)
		fault.inject(s)
	}
}

// afterDelay runs end, which ends a fault, after a random delay.
func (s *faultInjector) afterDelay(end func()) {
	d := restartMin + time.Duration(s.rng.Int64N(int64(restartSpread)))
	s.pending.Go(func() {
		sleep(context.Background(), d)
		end()
	})
}

func (s *faultInjector) pick(nodes []*testfleet.Node) *testfleet.Node {
	return nodes[s.rng.IntN(len(nodes))]
}

// faults are the possible faults and changes; each fault schedules its own end.
var faults = []struct {
	name   string
	inject func(s *faultInjector)
}{
	{"engine killed", func(s *faultInjector) { s.killAndRestart(s.pick(s.Engines)) }},
	{"engine killed", func(s *faultInjector) { s.killAndRestart(s.pick(s.Engines)) }},
	{"engine paused", func(s *faultInjector) { s.pause(s.pick(s.Engines)) }},
	{"plain server killed", func(s *faultInjector) { s.killAndRestart(s.pick(s.PlainServers)) }},
	{"plain server paused", func(s *faultInjector) { s.pause(s.pick(s.PlainServers)) }},
	{"failure domain of engines killed", func(s *faultInjector) {
		d := s.rng.IntN(domains)
		for _, n := range s.Engines[d*enginesEach : (d+1)*enginesEach] {
			s.killAndRestart(n)
		}
	}},
	{"gateway killed", func(s *faultInjector) { s.killAndRestart(s.pick(s.Gateways)) }},
	{"half of the gateways killed", func(s *faultInjector) {
		for i, n := range s.Gateways {
			if i%2 == 0 {
				s.killAndRestart(n)
			}
		}
	}},
	{"gateway paused", func(s *faultInjector) { s.pause(s.pick(s.Gateways)) }},
	{"gateway shut down gracefully", func(s *faultInjector) { s.drain(s.pick(s.Gateways)) }},
	{"gateway receives SIGHUP", func(s *faultInjector) { s.pick(s.Gateways).Signal(syscall.SIGHUP) }},
	{"server reports leaving", func(s *faultInjector) {
		n := s.pick(s.servers())
		s.setServerFault(n, emulator.ServerFault{Leaving: true})
		s.afterDelay(func() { s.restart(n) })
	}},
	{"server sends pushback", func(s *faultInjector) { s.injectFaultAtRandomServer(emulator.ServerFault{PushbackMS: 1500}) }},
	{"endless response head", func(s *faultInjector) {
		s.injectFaultAtRandomServer(emulator.ServerFault{Endless: emulator.EndlessHead})
	}},
	{"endless response body", func(s *faultInjector) {
		s.injectFaultAtRandomServer(emulator.ServerFault{Endless: emulator.EndlessBody})
	}},
	{"endless refusal body", func(s *faultInjector) {
		s.injectFaultAtRandomServer(emulator.ServerFault{Endless: emulator.EndlessRefusal})
	}},
	{"endless load reports", func(s *faultInjector) {
		s.injectFaultAtRandomServer(emulator.ServerFault{Endless: emulator.EndlessReport})
	}},
	{"stalled streams send comments", func(s *faultInjector) {
		s.injectServerFault(s.pick(s.Engines), emulator.ServerFault{StallOutput: emulator.StallComments})
	}},
	{"stalled streams send old events", func(s *faultInjector) {
		s.injectServerFault(s.pick(s.Engines), emulator.ServerFault{StallOutput: emulator.StallOldEvent})
	}},
	{"connections reset", func(s *faultInjector) { s.pick(s.Nodes()).Proxy.ResetConnections() }},
	{"open connections silent", func(s *faultInjector) {
		s.pick(s.Nodes()).Proxy.SetFault(emulator.ProxyFault{Silence: true, OpenConnectionsOnly: true})
	}},
	{"server unreachable", func(s *faultInjector) { s.injectProxyFault(emulator.ProxyFault{Silence: true}) }},
	{"responses lost", func(s *faultInjector) { s.injectProxyFault(emulator.ProxyFault{DropResponses: true}) }},
	{"connections refused", func(s *faultInjector) { s.injectProxyFault(emulator.ProxyFault{Refuse: true}) }},
	{"connections slow", func(s *faultInjector) { s.injectProxyFault(emulator.ProxyFault{Delay: 60 * time.Millisecond}) }},
	{"store refuses", func(s *faultInjector) { s.injectStoreFault(emulator.StoreFault{Status: http.StatusServiceUnavailable}) }},
	{"store limits the request rate", func(s *faultInjector) { s.injectStoreFault(emulator.StoreFault{Status: http.StatusTooManyRequests}) }},
	{"store silent", func(s *faultInjector) { s.injectStoreFault(emulator.StoreFault{DelayMS: 5000}) }},
	{"store slow", func(s *faultInjector) { s.injectStoreFault(emulator.StoreFault{DelayMS: 300}) }},
	{"store forgets history", func(s *faultInjector) { s.injectStoreFault(emulator.StoreFault{DropHistory: true}) }},
	{"route added", func(s *faultInjector) {
		s.AddRoute()
		_ = s.WriteConfiguration() // the store may be down
	}},
	{"route removed", func(s *faultInjector) {
		s.RemoveRoute()
		_ = s.WriteConfiguration() // the store may be down
	}},
	{"invalid server entry", func(s *faultInjector) {
		_ = s.WriteRow("servers", "strange", []byte(`{"service":7}`)) // the store may be down
	}},
}

func (s *faultInjector) killAndRestart(n *testfleet.Node) {
	n.Signal(syscall.SIGCONT)
	n.Kill()
	s.afterDelay(func() { s.restart(n) })
}

func (s *faultInjector) restart(n *testfleet.Node) {
	if err := n.Restart(); err != nil {
		s.t.Errorf("restart %s: %v", n.Name, err)
	}
}

func (s *faultInjector) servers() []*testfleet.Node { return slices.Concat(s.Engines, s.PlainServers) }

// setServerFault sets the fault of a server; it has no effect on one that is down or paused.
func (s *faultInjector) setServerFault(n *testfleet.Node, fault emulator.ServerFault) {
	if err := s.SetFault(n, fault); err != nil {
		s.t.Logf("set fault of %s: %v", n.Name, err)
	}
}

func (s *faultInjector) injectServerFault(n *testfleet.Node, fault emulator.ServerFault) {
	s.setServerFault(n, fault)
	s.afterDelay(func() { s.setServerFault(n, emulator.ServerFault{}) })
}

func (s *faultInjector) injectFaultAtRandomServer(fault emulator.ServerFault) {
	s.injectServerFault(s.pick(s.servers()), fault)
}

func (s *faultInjector) pause(n *testfleet.Node) {
	process := n.Process()
	_ = process.Signal(syscall.SIGSTOP) // it may have exited
	s.afterDelay(func() { _ = process.Signal(syscall.SIGCONT) })
}

// drain shuts a gateway down gracefully and restarts it after it has exited. It is
// killed after the grace period, as the platform does.
func (s *faultInjector) drain(n *testfleet.Node) {
	process := n.Process()
	_ = process.Signal(syscall.SIGTERM)
	s.pending.Go(func() {
		select {
		case <-process.Exited():
		case <-time.After(8 * time.Second):
		}
		if n.Process() == process {
			if err := n.Restart(); err != nil {
				s.t.Errorf("restart %s: %v", n.Name, err)
			}
		}
	})
}

func (s *faultInjector) injectProxyFault(fault emulator.ProxyFault) {
	proxy := s.pick(s.Nodes()).Proxy
	proxy.SetFault(fault)
	s.afterDelay(func() { proxy.SetFault(emulator.ProxyFault{}) })
}

func (s *faultInjector) injectStoreFault(fault emulator.StoreFault) {
	s.setStoreFault(fault)
	if !fault.DropHistory {
		s.afterDelay(func() { s.setStoreFault(emulator.StoreFault{}) })
	}
}

func (s *faultInjector) setStoreFault(fault emulator.StoreFault) {
	body, err := json.Marshal(fault)
	s.g.Expect(err).NotTo(HaveOccurred())
	response, err := http.Post("http://"+s.Store.Address+"/fault", "application/json", bytes.NewReader(body))
	s.g.Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
}

// heal ends all faults and writes the configuration again.
func (s *faultInjector) heal() {
	s.pending.Wait()
	s.setStoreFault(emulator.StoreFault{})
	for _, n := range s.Nodes() {
		n.Proxy.SetFault(emulator.ProxyFault{})
		n.Signal(syscall.SIGCONT)
	}
	for _, n := range s.servers() {
		s.setServerFault(n, emulator.ServerFault{})
	}
	s.g.Expect(s.WriteConfiguration()).To(Succeed())
}

// checkRecovery checks that all gateways serve again under the last configuration
// within recoveryBound.
func (h *harness) checkRecovery(l *recorder) {
	sleep(context.Background(), recoveryBound)
	h.g.Eventually(h.ReadyAddresses, recoveryBound, 50*time.Millisecond).Should(HaveLen(len(h.Gateways)))
	for _, gateway := range h.Gateways {
		for _, prefix := range append(h.AddedRoutePrefixes(), "/removed/") {
			h.checkRoute(l, gateway, prefix)
		}
	}
	for n := range 10 {
		if !h.stream(l, fmt.Sprintf("last-stream-%d", n)) {
			l.violation("stream not completed after the faults")
		}
		if !h.call(l, fmt.Sprintf("last-call-%d", n), true) {
			l.violation("call not completed after the faults")
		}
	}
}

func (h *harness) checkRoute(l *recorder, gateway *testfleet.Node, prefix string) {
	ctx, cancel := context.WithTimeout(context.Background(), testfleet.CallDeadline)
	defer cancel()
	response, err := h.RequestTo(ctx, gateway.Address, "probe", http.MethodGet, prefix+"x", "", nil)
	if err != nil {
		l.violation("%s does not respond after the faults: %v", gateway.Name, err)
		return
	}
	defer response.Body.Close()
	if found := response.StatusCode != http.StatusNotFound; found != (prefix != "/removed/") {
		l.violation("%s responds with %d on route %s after the last change", gateway.Name, response.StatusCode, prefix)
	}
}
