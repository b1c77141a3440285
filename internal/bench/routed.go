package bench

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
	"foxtailhub.example/foxtailhub/internal/testfleet"
)

// Goals and weights of routed requests, as specified by the users: time to the
// first event, pause between events, response time of a call, and worth of a
// request that is served late.
const (
	firstEventGoal = 4500 * time.Millisecond
	pauseGoal      = 700 * time.Millisecond
	callGoal       = 150 * time.Millisecond
	lateWorth      = 0.3
)

// windowLength is the period covered by a row of the table over time.
const windowLength = time.Second

// routedMeasurement measures routed requests at gateways of the emulated
// platform while one process fails.
type routedMeasurement struct {
	gateways, domains, enginesEach        int
	streams, calls, events                int
	duration, tokenInterval, workDuration time.Duration
	fault                                 string
	faultAt, faultFor                     time.Duration
	plot                                  string
}

func (m *routedMeasurement) flags(set *flag.FlagSet) {
	set.IntVar(&m.gateways, "gateways", 3, "gateways")
	set.IntVar(&m.domains, "domains", 3, "failure domains, each with one plain server")
	set.IntVar(&m.enginesEach, "engines", 2, "engines in each failure domain")
	set.IntVar(&m.streams, "streams", 24, "callers that ask for one stream after the other")
	set.IntVar(&m.calls, "calls", 8, "callers that make calls, by turns ones that may and ones that must not repeat")
	set.IntVar(&m.events, "events", 100, "events of a stream")
	set.DurationVar(&m.duration, "duration", 15*time.Second, "time in which requests are begun")
	set.DurationVar(&m.tokenInterval, "event-interval", 15*time.Millisecond, "time between two events at an engine")
	set.DurationVar(&m.workDuration, "work", 20*time.Millisecond, "time that a plain server works on a call")
	set.StringVar(&m.fault, "fault", "kill-engine", "one of "+strings.Join(faultNames(), ", "))
	set.DurationVar(&m.faultAt, "fault-at", 6*time.Second, "begin of the fault")
	set.DurationVar(&m.faultFor, "fault-for", 1500*time.Millisecond, "how long it lasts")
	set.StringVar(&m.plot, "plot", "", "file for a plot of worth and pauses over time (.svg, .png or .pdf)")
}

// routedFaults start a fault and return a function that ends it.
var routedFaults = map[string]func(f *testfleet.Fleet) (end func() error){
	"none":         func(*testfleet.Fleet) func() error { return func() error { return nil } },
	"kill-engine":  func(f *testfleet.Fleet) func() error { return killNodes(f.Engines[:1]) },
	"kill-domain":  func(f *testfleet.Fleet) func() error { return killNodes(f.Engines[:f.EnginesPerDomain]) },
	"kill-gateway": func(f *testfleet.Fleet) func() error { return killNodes(f.Gateways[:1]) },
	"pause-engine": func(f *testfleet.Fleet) func() error {
		f.Engines[0].Signal(syscall.SIGSTOP)
		return func() error {
			f.Engines[0].Signal(syscall.SIGCONT)
			return nil
		}
	},
	"silence-engine": func(f *testfleet.Fleet) func() error {
		f.Engines[0].Proxy.SetFault(emulator.ProxyFault{Silence: true})
		return func() error {
			f.Engines[0].Proxy.SetFault(emulator.ProxyFault{})
			return nil
		}
	},
	"stop-gateway": func(f *testfleet.Fleet) func() error {
		process := f.Gateways[0].Process()
		f.Gateways[0].Signal(syscall.SIGTERM)
		return func() error {
			<-process.Exited() // it exits after its last request
			return f.Gateways[0].Restart()
		}
	},
	"silence-store": func(f *testfleet.Fleet) func() error {
		for _, n := range f.Gateways {
			n.Proxy.SetFault(emulator.ProxyFault{Silence: true})
		}
		return func() error {
			for _, n := range f.Gateways {
				n.Proxy.SetFault(emulator.ProxyFault{})
			}
			return nil
		}
	},
}

func faultNames() []string { return slices.Sorted(maps.Keys(routedFaults)) }

// killNodes kills processes and returns a function that restarts them.
func killNodes(nodes []*testfleet.Node) (restart func() error) {
	for _, n := range nodes {
		n.Kill()
	}
	return func() error {
		for _, n := range nodes {
			if err := n.Restart(); err != nil {
				return err
			}
		}
		return nil
	}
}

func (m *routedMeasurement) check() error {
	if routedFaults[m.fault] == nil {
		return errors.Newf("unknown fault %q: must be one of %s", m.fault, strings.Join(faultNames(), ", "))
	}
	if extension := filepath.Ext(m.plot); m.plot != "" && !slices.Contains([]string{".svg", ".png", ".pdf"}, extension) {
		return errors.Newf("plot %q: the extension must be .svg, .png or .pdf", m.plot)
	}
	if m.gateways < 1 || m.domains < 1 || m.enginesEach < 1 || m.events < 1 || m.duration < windowLength {
		return errors.Newf("the numbers of gateways, failure domains, engines and events must be at least 1, and the duration at least %s", windowLength)
	}
	return nil
}

func (m *routedMeasurement) run(ctx context.Context, e *environment) error {
	if err := m.check(); err != nil {
		return err
	}
	dir := filepath.Join(e.workDir, "fleet")
	if err := os.Mkdir(dir, 0o700); err != nil {
		return err
	}
	fleet, err := testfleet.Start(ctx, testfleet.Options{
		Binaries: e.binaries, Dir: dir, Domains: m.domains, EnginesPerDomain: m.enginesEach, Gateways: m.gateways,
		Slots: 64, TokenInterval: m.tokenInterval, WorkDuration: m.workDuration,
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	results, err := m.load(ctx, fleet)
	if err != nil {
		return err
	}
	results.report(e.report)
	if m.plot == "" {
		return nil
	}
	return plotRouted(m.plot, fmt.Sprintf("routed requests, %s at %s for %s", m.fault, m.faultAt, m.faultFor),
		results.windows(), m.faultAt)
}

// load runs the callers and injects the fault.
func (m *routedMeasurement) load(ctx context.Context, fleet *testfleet.Fleet) (*routedResults, error) {
	results := &routedResults{startedAt: time.Now()}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var callers sync.WaitGroup
	running := func() bool { return ctx.Err() == nil && time.Since(results.startedAt) < m.duration }
	for c := range m.streams {
		callers.Go(func() {
			for n := 0; running(); n++ {
				at := time.Since(results.startedAt)
				results.addStream(at, fleet.Stream(ctx, fmt.Sprintf("stream-%d-%d", c, n), m.events))
			}
		})
	}
	for c := range m.calls {
		callers.Go(func() {
			for n := 0; running(); n++ {
				at := time.Since(results.startedAt)
				repeatable := n%2 == 0
				results.addCall(at, repeatable, fleet.Call(ctx, fmt.Sprintf("call-%d-%d", c, n), repeatable))
			}
		})
	}
	err := m.injectFault(ctx, fleet)
	if err != nil {
		cancel()
	}
	callers.Wait()
	return results, errors.CombineErrors(err, ctx.Err())
}

func (m *routedMeasurement) injectFault(ctx context.Context, fleet *testfleet.Fleet) error {
	if err := waitFor(ctx, m.faultAt); err != nil {
		return err
	}
	end := routedFaults[m.fault](fleet)
	if err := waitFor(ctx, m.faultFor); err != nil {
		return err
	}
	return end()
}

// requestResult is the result of one request as observed by its caller.
type requestResult struct {
	at     time.Duration // start of the request, since the start of the load
	kind   string
	worth  float64
	pause  time.Duration // longest pause of a stream, or response time of a call
	status string
}

// routedResults holds the results of all requests.
type routedResults struct {
	startedAt time.Time

	mu         sync.Mutex // guards the fields below
	requests   []requestResult
	streams    []testfleet.StreamResult
	calls      map[string]durations // by kind
	violations []string
}

func (r *routedResults) addStream(at time.Duration, result testfleet.StreamResult) {
	entry := requestResult{at: at, kind: "stream", pause: result.LongestGap, status: "complete"}
	switch {
	case !result.Complete:
		entry.status = "given up"
	case result.TimeToFirstEvent <= firstEventGoal && result.LongestGap <= pauseGoal:
		entry.worth = 1
	default:
		entry.worth, entry.status = lateWorth, "late"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests, r.streams = append(r.requests, entry), append(r.streams, result)
	r.addViolation(result.Violation)
}

func (r *routedResults) addCall(at time.Duration, repeatable bool, result testfleet.CallResult) {
	entry := requestResult{at: at, kind: "call that must not repeat", pause: result.Latency, status: fmt.Sprint(result.Status)}
	if repeatable {
		entry.kind = "call that may repeat"
	}
	switch {
	case result.Status != http.StatusOK:
	case result.Latency <= callGoal:
		entry.worth = 1
	default:
		entry.worth, entry.status = lateWorth, "late"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, entry)
	if r.calls == nil {
		r.calls = map[string]durations{}
	}
	if _, found := r.calls[entry.kind]; !found {
		r.calls[entry.kind] = newDurations()
	}
	r.calls[entry.kind].record(result.Latency)
	r.addViolation(result.Violation)
}

// addViolation records a violation of a guarantee. The caller must hold mu.
func (r *routedResults) addViolation(violation string) {
	if violation != "" {
		r.violations = append(r.violations, violation)
	}
}

// routedWindow summarizes the requests that started within one window.
type routedWindow struct {
	begin        time.Duration
	requests     int
	streams      int           // requests that are streams
	missed       int           // requests that were not served within the goal
	worth        float64       // mean
	longestPause time.Duration // of streams
	longestCall  time.Duration
}

func (r *routedResults) windows() []routedWindow {
	var windows []routedWindow
	for _, entry := range r.requests {
		i := int(entry.at / windowLength)
		for len(windows) <= i {
			windows = append(windows, routedWindow{begin: time.Duration(len(windows)) * windowLength})
		}
		w := &windows[i]
		w.requests++
		w.worth += entry.worth
		if entry.worth < 1 {
			w.missed++
		}
		if entry.kind == "stream" {
			w.streams++
			w.longestPause = max(w.longestPause, entry.pause)
		} else {
			w.longestCall = max(w.longestCall, entry.pause)
		}
	}
	for i := range windows {
		windows[i].worth /= float64(max(1, windows[i].requests))
	}
	return windows
}

func (r *routedResults) report(report *Report) {
	kinds := map[string]map[string]int{}
	for _, entry := range r.requests {
		if kinds[entry.kind] == nil {
			kinds[entry.kind] = map[string]int{}
		}
		kinds[entry.kind][entry.status]++
	}
	var rows [][]any
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		for _, status := range slices.Sorted(maps.Keys(kinds[kind])) {
			rows = append(rows, []any{kind, status, kinds[kind][status]})
		}
	}
	report.add("requests by their end (late: served, not within the goal)", []string{"kind", "end", "n"}, rows)

	first, pauses, withoutRetry := newDurations(), newDurations(), 0
	for _, s := range r.streams {
		if !s.Complete {
			continue
		}
		first.record(s.TimeToFirstEvent)
		pauses.record(s.LongestGap)
		if len(s.FailedAttempts) == 0 {
			withoutRetry++
		}
	}
	report.add("complete streams", append([]string{"figure"}, percentileColumns...), [][]any{
		append([]any{"first event"}, first.percentileCells()...), append([]any{"longest pause"}, pauses.percentileCells()...),
	})
	report.add("streams that were complete without a return of their caller", []string{"n", "share"},
		[][]any{{withoutRetry, formatShare(int64(withoutRetry), int64(len(r.streams)))}})
	rows = nil
	for _, kind := range slices.Sorted(maps.Keys(r.calls)) {
		rows = append(rows, append([]any{kind}, r.calls[kind].percentileCells()...))
	}
	report.add("answers of calls", append([]string{"kind"}, percentileColumns...), rows)

	rows = nil
	for _, w := range r.windows() {
		rows = append(rows, []any{
			w.begin.Seconds(), w.requests, w.streams, w.worth, w.missed, float64(w.longestPause.Milliseconds()), float64(w.longestCall.Milliseconds()),
		})
	}
	report.add("over time, by the second in which a request began (worth: 1 within the goal, 0.3 later, 0 not served)",
		[]string{"second", "requests", "streams", "worth", "not within the goal", "longest pause ms", "longest call ms"}, rows)

	rows = [][]any{{len(r.violations), strings.Join(r.violations[:min(len(r.violations), 3)], "; ")}}
	report.add("broken promises", []string{"n", "first"}, rows)
}
