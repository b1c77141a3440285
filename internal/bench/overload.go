package bench

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/client"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

// immediateRefusalLimit is the time within which a refusal counts as immediate.
const immediateRefusalLimit = 100 * time.Millisecond

// overloadMeasurement measures the outcomes of generations at an offered load
// above the capacity of the engines.
type overloadMeasurement struct {
	instances, engines, slots, length int
	factor, heavyShare                float64
	tokenInterval, deadline, duration time.Duration
}

func (m *overloadMeasurement) flags(set *flag.FlagSet) {
	set.IntVar(&m.instances, "instances", 3, "instances")
	set.IntVar(&m.engines, "engines", 3, "engines")
	set.IntVar(&m.slots, "slots", 8, "slots of each engine")
	set.IntVar(&m.length, "length", 40, "tokens of each generation")
	set.Float64Var(&m.factor, "factor", 2, "offered load as a multiple of the capacity")
	set.Float64Var(&m.heavyShare, "heavy-share", 0.8, "share of the heavy workspace in the offered load")
	set.DurationVar(&m.tokenInterval, "token-interval", 20*time.Millisecond, "time between two tokens")
	set.DurationVar(&m.deadline, "deadline", 4*time.Second, "deadline of each generation")
	set.DurationVar(&m.duration, "duration", 20*time.Second, "time in which load is offered")
}

// workspaceResults counts the outcomes of the generations of one workspace.
type workspaceResults struct {
	mu                                             sync.Mutex // guards all fields below
	offered, inTime, refused, late, other          int
	withoutRetryAfter, slowRefusals                int
	refusalTimes, completionTimes, firstTokenTimes durations
	reasons                                        map[contract.Reason]int
}

func newWorkspaceResults() *workspaceResults {
	return &workspaceResults{
		refusalTimes: newDurations(), completionTimes: newDurations(), firstTokenTimes: newDurations(), reasons: map[contract.Reason]int{},
	}
}

func (r *workspaceResults) count(result client.GenerationResult, err error, elapsed, deadline time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.offered++
	switch {
	case err == nil && result.Verdict.Outcome == contract.Completed && elapsed <= deadline:
		r.inTime++
		r.completionTimes.record(elapsed)
		r.firstTokenTimes.record(result.TimeToFirstToken)
	case err == nil && result.Verdict.Outcome == contract.NotRun:
		r.refused++
		r.refusalTimes.record(elapsed)
		if elapsed > immediateRefusalLimit {
			r.slowRefusals++
		}
		r.reasons[result.Verdict.Reason]++
		if result.Verdict.RetryAfter <= 0 {
			r.withoutRetryAfter++
		}
	case err == nil && (result.Verdict.Outcome == contract.Completed || result.Verdict.Reason == contract.ReasonDeadlineExceeded):
		r.late++
	default:
		r.other++
		r.reasons[result.Verdict.Reason]++
	}
}

// run offers load as a Poisson process that is split over both workspaces.
func (m *overloadMeasurement) run(ctx context.Context, e *environment) error {
	cluster, err := e.start(ctx, testcluster.Options{
		Instances: m.instances, Engines: m.engines, Slots: m.slots, TokenInterval: m.tokenInterval,
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	c, err := cluster.Client()
	if err != nil {
		return err
	}
	capacity := float64(m.engines*m.slots) / (float64(m.length) * m.tokenInterval.Seconds())
	heavy, light := newWorkspaceResults(), newWorkspaceResults()
	var group sync.WaitGroup
	random := rand.New(rand.NewPCG(e.seed, 0))
	loadStart := time.Now()
	nextArrival := loadStart
	for number := 0; nextArrival.Sub(loadStart) < m.duration; number++ {
		nextArrival = nextArrival.Add(time.Duration(random.ExpFloat64() / (m.factor * capacity) * float64(time.Second)))
		workspace, counts := testcluster.OtherWorkspace, light
		if random.Float64() < m.heavyShare {
			workspace, counts = testcluster.Workspace, heavy
		}
		if err := waitFor(ctx, time.Until(nextArrival)); err != nil {
			return err
		}
		group.Go(func() { m.submit(ctx, c, workspace, counts, e.seed, number) })
	}
	group.Wait()
	m.addTables(e, capacity, heavy, light)
	return nil
}

func (m *overloadMeasurement) submit(
	ctx context.Context, c *client.Client, workspace contract.WorkspaceID, counts *workspaceResults, seed uint64, number int,
) {
	ctx, cancel := context.WithTimeout(ctx, 2*m.deadline)
	defer cancel()
	start := time.Now()
	result, err := c.Generate(ctx, client.GenerationRequest{
		RequestID: contract.RequestID{Workspace: workspace, Key: contract.NewKey()},
		Service:   testcluster.GenerationService, Deadline: m.deadline, Seed: seed, Temperature: 1,
		Prompt: fmt.Sprintf("%d-%d reorder summary len=%d", seed, number, m.length),
	})
	counts.count(result, err, time.Since(start), m.deadline)
}

func (m *overloadMeasurement) addTables(e *environment, capacity float64, heavy, light *workspaceResults) {
	var answers, refusals [][]any
	for _, w := range []struct {
		name   string
		counts *workspaceResults
	}{{"heavy", heavy}, {"light", light}} {
		counts := w.counts
		answers = append(answers, []any{
			w.name, counts.offered, counts.inTime, formatShare(int64(counts.inTime), int64(counts.offered)),
			float64(counts.inTime) / m.duration.Seconds(), counts.refused, counts.late, counts.other,
			counts.firstTokenTimes.percentileMS(50), counts.firstTokenTimes.percentileMS(95), counts.completionTimes.percentileMS(95),
		})
		refusals = append(refusals, append(append([]any{w.name}, counts.refusalTimes.percentileCells()...), counts.slowRefusals, counts.withoutRetryAfter, fmt.Sprint(counts.reasons)))
	}
	e.report.add(fmt.Sprintf("answers at %.1f times the capacity of %.1f generations a second", m.factor, capacity),
		[]string{
			"workspace", "offered", "in time", "share", "answered/s", "refused", "late", "other",
			"first token p50 ms", "first token p95 ms", "answer p95 ms",
		}, answers)
	e.report.add("time to the refusal",
		append(append([]string{"workspace"}, percentileColumns...), "later than 100 ms", "without retry-after", "reasons"), refusals)
}
