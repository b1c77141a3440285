package bench

import (
	"context"
	"flag"
	"math/rand/v2"
	"strings"
	"time"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/standin"
	"foxtailhub.example/foxtailhub/internal/testcluster"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// variantNaive is the naive version, which restarts from scratch. The other
// variants are resume policies.
const variantNaive = "naive"

// launchInterval is the time between the starts of generations. Engines report
// their load with a lag, so a burst would overload some of them.
const launchInterval = 30 * time.Millisecond

// minStartedTokens is the number of tokens after which a generation counts as in
// progress.
const minStartedTokens = 10

// resumeMeasurement measures the pause of callers after a fault of an engine and
// the tokens that the engines generate without use.
type resumeMeasurement struct {
	variants, faults, headroom                string
	full                                      bool
	runs, generations, engines, slots, length int
	interval                                  time.Duration
}

func (m *resumeMeasurement) flags(set *flag.FlagSet) {
	set.StringVar(&m.variants, "variants", "naive,sparing,fast", "variants to compare")
	set.StringVar(&m.faults, "faults", "killed,paused,silent,cut", "faults of the engine")
	set.StringVar(&m.headroom, "loss-headroom", "none", "loss_headroom of the service")
	set.BoolVar(&m.full, "full", false, "more generations are wanted than there is room for: wait until no further one begins instead of for all")
	set.IntVar(&m.runs, "runs", 3, "runs of each variant and fault; run n has seed+n")
	set.IntVar(&m.generations, "generations", 60, "generations in progress")
	set.IntVar(&m.engines, "engines", 6, "engines")
	set.IntVar(&m.slots, "slots", 12, "slots of each engine")
	set.IntVar(&m.length, "length", 300, "tokens of each generation")
	set.DurationVar(&m.interval, "token-interval", 20*time.Millisecond, "time between two tokens")
}

// resumeRun is the result of one run.
type resumeRun struct {
	pauses       durations // from the fault to the next token at the caller
	usefulPauses durations // from the fault to the first token that is new to the caller
	affected     int
	damaged      int
	refused      int
	running      int   // generations in progress before the fault
	slots        int   // of all engines
	usefulTokens int64 // total length of the generations that were not refused
	counters     standin.EngineCounters
	started      int64
}

var resumeColumns = []string{
	"variant", "fault", "slots unused", "refused", "affected", "p50 ms", "p95 ms", "p99 ms", "max ms", "p50 of runs", "max of runs", "useful p50 ms", "useful max ms", "damaged",
}

var costColumns = []string{
	"variant", "fault", "useful tokens", "generated in vain", "prefix computed again", "extra streams", "extra connections", "in vain, spread",
}

func (m *resumeMeasurement) run(ctx context.Context, e *environment) error {
	var latencies, costs [][]any
	for fault := range strings.SplitSeq(m.faults, ",") {
		for variant := range strings.SplitSeq(m.variants, ",") {
			total := resumeRun{pauses: newDurations(), usefulPauses: newDurations()}
			var medians, longest, wasted []float64
			for n := range m.runs {
				result, err := m.runOnce(ctx, e, variant, fault, e.seed+uint64(n))
				if err != nil {
					return err
				}
				e.logf("%s %s run %d: affected=%d p50=%.0f max=%.0f ms damaged=%d", variant, fault, n,
					result.affected, result.pauses.percentileMS(50), result.pauses.maxMS(), result.damaged)
				total.merge(result)
				medians, longest = append(medians, result.pauses.percentileMS(50)), append(longest, result.pauses.maxMS())
				wasted = append(wasted, 100*float64(result.wastedTokens())/float64(result.usefulTokens))
			}
			latencies = append(latencies, []any{
				variant, fault, formatShare(int64(max(0, total.slots-total.running)), int64(total.slots)), total.refused, total.affected, total.pauses.percentileMS(50), total.pauses.percentileMS(95), total.pauses.percentileMS(99), total.pauses.maxMS(),
				formatRange(medians), formatRange(longest), total.usefulPauses.percentileMS(50), total.usefulPauses.maxMS(), total.damaged,
			})
			costs = append(costs, append([]any{variant, fault}, append(total.costCells(), formatRange(wasted)+"%")...))
		}
	}
	e.report.add("resume latency at the caller, from the fault to the next token (useful: to the first token it did not have)", resumeColumns, latencies)
	e.report.add("extra resource use, as a share of the useful tokens of all generations", costColumns, costs)
	return nil
}

func (r *resumeRun) merge(o resumeRun) {
	r.pauses.merge(o.pauses)
	r.usefulPauses.merge(o.usefulPauses)
	r.affected += o.affected
	r.damaged += o.damaged
	r.refused += o.refused
	r.running += o.running
	r.slots += o.slots
	r.usefulTokens += o.usefulTokens
	r.started += o.started
	addCounters(&r.counters, o.counters)
}

// wastedTokens returns the number of generated tokens that no caller received as
// new text.
func (r *resumeRun) wastedTokens() int64 { return max(0, r.counters.TokensGenerated-r.usefulTokens) }

func (r *resumeRun) costCells() []any {
	extra := r.counters.StreamsStarted - r.started
	return []any{
		r.usefulTokens, formatShare(r.wastedTokens(), r.usefulTokens), formatShare(r.counters.PrefixTokensRecomputed, r.usefulTokens),
		extra, extra + r.counters.StreamsResumed,
	}
}

func (m *resumeMeasurement) runOnce(ctx context.Context, e *environment, variant, fault string, seed uint64) (resumeRun, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	policy := configuration.ResumeSparing
	if variant != variantNaive {
		policy = configuration.ResumePolicy(variant)
	}
	cluster, err := e.start(ctx, testcluster.Options{
		Engines: m.engines, Slots: m.slots, TokenInterval: m.interval, ResumePolicy: policy,
		LossHeadroom: configuration.LossHeadroom(m.headroom),
	})
	if err != nil {
		return resumeRun{}, err
	}
	defer cluster.Close()
	streams, placed, err := m.launch(ctx, cluster, variant, seed)
	if err != nil {
		return resumeRun{}, err
	}
	random := rand.New(rand.NewPCG(seed, 0))
	if err := m.awaitStarted(ctx, streams); err != nil {
		return resumeRun{}, err
	}
	if err := waitFor(ctx, time.Duration(500+random.IntN(1000))*time.Millisecond); err != nil {
		return resumeRun{}, err
	}
	if placed == nil {
		if placed, err = enginesByKey(ctx, cluster); err != nil {
			return resumeRun{}, err
		}
	}
	return m.measureFault(ctx, cluster, streams, placed, fault, random.IntN(m.engines), seed, variant)
}

// awaitStarted waits until all generations are in progress. If m.full is set, it
// waits until no more generations start, because some have no slot.
func (m *resumeMeasurement) awaitStarted(ctx context.Context, streams []*stream) error {
	if !m.full {
		return awaitTokens(ctx, streams, minStartedTokens)
	}
	for before := -1; ; {
		now := countStarted(streams)
		if now == before {
			return nil
		}
		before = now
		if err := waitFor(ctx, time.Second); err != nil {
			return err
		}
	}
}

// countStarted returns the number of streams in progress.
func countStarted(streams []*stream) int {
	n := 0
	for _, s := range streams {
		if s.tokens() >= minStartedTokens {
			n++
		}
	}
	return n
}

// launch starts all generations. For the naive version it also returns the engine
// of each.
func (m *resumeMeasurement) launch(
	ctx context.Context, cluster *testcluster.Cluster, variant string, seed uint64,
) ([]*stream, map[string]int, error) {
	var streams []*stream
	for i := range m.generations {
		streams = append(streams, newStream(seed, i, m.length))
	}
	if variant == variantNaive {
		return streams, launchNaive(ctx, cluster, streams), nil
	}
	c, err := cluster.Client()
	if err != nil {
		return nil, nil, err
	}
	for _, s := range streams {
		go s.generate(ctx, c, seed)
		if err := waitFor(ctx, launchInterval); err != nil {
			return nil, nil, err
		}
	}
	return streams, nil, nil
}

// launchNaive starts the streams one after the other, to record the engine of each.
func launchNaive(ctx context.Context, cluster *testcluster.Cluster, streams []*stream) map[string]int {
	router := newLeastBusyRouter(cluster.Engines)
	generations := naiveGenerations(router, upstream.ModelPin{Model: testcluster.Model, Version: testcluster.ModelVersion})
	placed := map[string]int{}
	for i, s := range streams {
		go s.generateNaive(ctx, generations)
		_ = waitFor(ctx, launchInterval) // Await checks ctx
		if testcluster.Await(ctx, func() bool { return router.placements() > i }) == nil {
			placed[s.request.Key] = router.lastPlaced()
		}
	}
	return placed
}

// measureFault injects the fault and collects the results after all generations
// have ended.
func (m *resumeMeasurement) measureFault(
	ctx context.Context, cluster *testcluster.Cluster, streams []*stream, placed map[string]int,
	fault string, engine int, seed uint64, variant string,
) (resumeRun, error) {
	r := resumeRun{pauses: newDurations(), usefulPauses: newDurations(), started: int64(len(streams))}
	unreadable := -1 // an engine whose counters cannot be read after the fault
	if fault == faultKilled || fault == faultPaused {
		unreadable = engine
		if err := testcluster.GetJSON(ctx, cluster.Engines[engine].URL()+"/counters", &r.counters); err != nil {
			return r, err
		}
	}
	r.running = countStarted(streams)
	r.slots = m.engines * m.slots
	faultTime := time.Now()
	if err := inject(ctx, fault, cluster.Engines[engine]); err != nil {
		return r, err
	}
	for _, s := range streams {
		<-s.done
	}
	for _, s := range streams {
		if m.full && s.err == nil && s.result.Verdict.Outcome == contract.NotRun {
			r.refused++
			r.started--
			continue
		}
		r.usefulTokens += int64(s.length)
		if !s.correct(seed, variant) {
			r.damaged++
		}
		if on, found := placed[s.request.Key]; found && on == engine && s.startedBefore(faultTime) {
			r.affected++
			r.recordPause(s, faultTime, variant)
		}
	}
	otherCounters, err := settledCounters(ctx, cluster.Engines, unreadable)
	addCounters(&r.counters, otherCounters)
	return r, err
}

// correct reports whether the caller received the complete text of a single run.
// The naive version does not forward the sampling seed.
func (s *stream) correct(seed uint64, variant string) bool {
	if variant == variantNaive {
		seed = 0
	}
	return s.complete(seed)
}

func (r *resumeRun) recordPause(s *stream, fault time.Time, variant string) {
	pause, before := s.pauseAfter(fault)
	r.pauses.record(pause)
	if variant != variantNaive {
		r.usefulPauses.record(pause)
		return
	}
	// The restarted text first repeats the tokens that the caller already has.
	if first := 2 * before; first < len(s.arrivals) && s.result.Verdict.Outcome == contract.Completed {
		r.usefulPauses.record(s.arrivals[first].Sub(fault))
	}
}
