package bench

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/client"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/testcluster"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/enginehttp"
)

// latencyMeasurement measures the latency that one instance adds and its cost per
// token and per request.
type latencyMeasurement struct {
	concurrency, levels          intList
	rounds, length               int
	tokenInterval, levelInterval time.Duration
	window                       time.Duration
	requesters                   int
}

func (m *latencyMeasurement) flags(set *flag.FlagSet) {
	m.concurrency, m.levels = intList{1, 20}, intList{60, 240, 540}
	set.Var(&m.concurrency, "concurrency", "streams at a time for the comparison with the engine alone")
	set.IntVar(&m.rounds, "rounds", 20, "rounds of that many streams, in turn direct and through the instance")
	set.IntVar(&m.length, "length", 50, "tokens of each stream of the comparison")
	set.DurationVar(&m.tokenInterval, "token-interval", 10*time.Millisecond, "time between two tokens in the comparison")
	set.Var(&m.levels, "generations", "generations in progress for the cost per token")
	set.DurationVar(&m.levelInterval, "level-interval", 50*time.Millisecond, "time between two tokens for the cost per token")
	set.DurationVar(&m.window, "window", 8*time.Second, "length of each window")
	set.IntVar(&m.requesters, "requesters", 16, "concurrent callers for the cost per request")
}

func (m *latencyMeasurement) run(ctx context.Context, e *environment) error {
	if err := m.compareWithDirect(ctx, e); err != nil {
		return err
	}
	if err := m.measurePerToken(ctx, e); err != nil {
		return err
	}
	return m.measurePerRequest(ctx, e)
}

// pathTimes holds the times of one path of the comparison: direct or through the
// instance.
type pathTimes struct{ firstToken, betweenTokens durations }

func (m *latencyMeasurement) compareWithDirect(ctx context.Context, e *environment) error {
	cluster, err := e.start(ctx, testcluster.Options{Instances: 1, Engines: 1, Slots: 64, TokenInterval: m.tokenInterval})
	if err != nil {
		return err
	}
	defer cluster.Close()
	c, err := cluster.Client()
	if err != nil {
		return err
	}
	engine := enginehttp.NewDialer().Engine(upstream.Target{Address: cluster.Engines[0].Address})
	var rows [][]any
	for _, n := range m.concurrency {
		direct := pathTimes{newDurations(), newDurations()}
		viaInstance := pathTimes{newDurations(), newDurations()}
		for round := range m.rounds {
			direct.runRound(n, func(i int) *stream { return m.runDirect(ctx, engine, e.seed, round*n+i) })
			viaInstance.runRound(n, func(i int) *stream {
				s := newStream(e.seed+1, round*n+i, m.length)
				s.generate(ctx, c, e.seed)
				return s
			})
		}
		for name, p := range map[string]pathTimes{"direct": direct, "instance": viaInstance} {
			rows = append(rows,
				append([]any{n, name, "first token"}, p.firstToken.percentileCells()...),
				append([]any{n, name, "between tokens"}, p.betweenTokens.percentileCells()...))
		}
	}
	e.report.add("time at the caller, direct to the engine and through one instance",
		append([]string{"streams", "path", "time"}, percentileColumns...), rows)
	return nil
}

// runRound runs n streams concurrently and records their times.
func (p pathTimes) runRound(n int, runStream func(i int) *stream) {
	var group sync.WaitGroup
	finished := make([]*stream, n)
	for i := range n {
		group.Go(func() { finished[i] = runStream(i) })
	}
	group.Wait()
	for _, s := range finished {
		p.firstToken.record(s.result.TimeToFirstToken)
		s.recordGaps(p.betweenTokens)
	}
}

func (m *latencyMeasurement) runDirect(ctx context.Context, engine upstream.Engine, seed uint64, number int) *stream {
	s := newStream(seed, number, m.length)
	started := time.Now()
	running, err := engine.Start(ctx, upstream.StreamRequest{
		Stream: upstream.StreamID(s.request.Key), Request: s.request, Attempt: 1, Prompt: s.prompt,
		Pin:       upstream.ModelPin{Model: testcluster.Model, Version: testcluster.ModelVersion},
		MaxTokens: int64(m.length), Priority: upstream.PriorityInteractive,
	})
	if err != nil {
		return s
	}
	defer running.Close()
	for {
		event, err := running.Next(ctx)
		if err != nil || event.End {
			return s
		}
		now := time.Now()
		if s.tokens() == 0 {
			s.result.TimeToFirstToken = now.Sub(started)
		}
		s.recordArrival(now)
	}
}

// measurePerToken measures the cost per token of an instance with many generations in
// progress.
func (m *latencyMeasurement) measurePerToken(ctx context.Context, e *environment) error {
	var rows [][]any
	var tokens, cpu, generations, resident []float64
	for _, n := range m.levels {
		row, rate, used, err := m.measureLevel(ctx, e, n)
		if err != nil {
			return err
		}
		e.logf("%d generations: %.0f tokens/s, %.1f%% of a core, %.1f MB", n, rate, used.cpu, used.resident)
		rows = append(rows, row)
		tokens, cpu = append(tokens, rate), append(cpu, used.cpu)
		generations, resident = append(generations, float64(n)), append(resident, used.resident)
	}
	e.report.add("one instance that holds generations", []string{
		"generations", "tokens/s", "cpu % of a core", "cpu us per token", "resident MB",
		"between tokens p50 ms", "p95 ms", "p99 ms", "client cpu % of a core",
	}, rows)
	if len(tokens) > 1 {
		perToken, perGeneration := fitLine(tokens, cpu), fitLine(generations, resident)
		e.report.add("slopes", []string{"figure", "intercept", "slope"}, [][]any{
			{"cpu us per token", perToken.intercept, perToken.slope * 1e4},
			{"resident MB per generation", perGeneration.intercept, fmt.Sprintf("%.4f", perGeneration.slope)},
		})
	}
	return nil
}

func (m *latencyMeasurement) measureLevel(ctx context.Context, e *environment, n int) ([]any, float64, usage, error) {
	const engines = 4
	cluster, err := e.start(ctx, testcluster.Options{Instances: 1, Engines: engines, Slots: n, TokenInterval: m.levelInterval})
	if err != nil {
		return nil, 0, usage{}, err
	}
	defer cluster.Close()
	c, err := cluster.Client()
	if err != nil {
		return nil, 0, usage{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var streams []*stream
	for i := range n {
		s := newStream(e.seed, i, 32000)
		streams = append(streams, s)
		go s.generate(ctx, c, e.seed)
	}
	if err := awaitTokens(ctx, streams, 20); err != nil {
		return nil, 0, usage{}, err
	}
	before := totalTokens(streams)
	clientCPU, err := ownCPU()
	if err != nil {
		return nil, 0, usage{}, err
	}
	w, err := openWindow(ctx, cluster.Instances, false)
	if err != nil {
		return nil, 0, usage{}, err
	}
	if err := waitFor(ctx, m.window); err != nil {
		return nil, 0, usage{}, err
	}
	rate := float64(totalTokens(streams)-before) / time.Since(w.started).Seconds()
	all, elapsed, err := w.close(ctx)
	if err != nil {
		return nil, 0, usage{}, err
	}
	clientCPUAfter, err := ownCPU()
	between := newDurations()
	for _, s := range streams {
		s.recordGaps(between)
	}
	clientPercent := 100 * (clientCPUAfter - clientCPU).Seconds() / elapsed.Seconds()
	return []any{
		n, rate, all[0].cpu, all[0].cpu * 1e4 / rate, all[0].resident, between.percentileMS(50), between.percentileMS(95), between.percentileMS(99), clientPercent,
	}, rate, all[0], err
}

func totalTokens(streams []*stream) int {
	total := 0
	for _, s := range streams {
		total += s.tokens()
	}
	return total
}

// measurePerRequest measures an instance under short requests in a closed loop.
func (m *latencyMeasurement) measurePerRequest(ctx context.Context, e *environment) error {
	kinds := []struct {
		name string
		send func(ctx context.Context, c *client.Client, n int64) error
	}{
		{"generation of 1 token", m.shortGenerationFunc(e.seed)},
		{"idempotent call", callFunc(testcluster.LookupService)},
		{"non-idempotent call", callFunc(testcluster.ChargeService)},
	}
	var rows [][]any
	for _, kind := range kinds {
		row, err := m.measureRequests(ctx, e, kind.send)
		if err != nil {
			return err
		}
		rows = append(rows, append([]any{kind.name}, row...))
	}
	columns := append([]string{"request", "requests/s", "failed", "cpu % of a core", "cpu ms per request", "table transactions per request", "table writes per request"}, percentileColumns...)
	e.report.add("one instance under short requests", columns, rows)
	return nil
}

func (m *latencyMeasurement) shortGenerationFunc(seed uint64) func(context.Context, *client.Client, int64) error {
	return func(ctx context.Context, c *client.Client, n int64) error {
		s := newStream(seed, int(n), 1)
		s.generate(ctx, c, seed)
		return s.err
	}
}

func callFunc(service contract.ServiceID) func(context.Context, *client.Client, int64) error {
	return func(ctx context.Context, c *client.Client, _ int64) error {
		request := contract.RequestID{Workspace: testcluster.Workspace, Key: contract.NewKey()}
		result, err := c.Call(ctx, request, service, oas.CallRequest{
			Method: oas.NewOptCallRequestMethod(oas.CallRequestMethodPOST), Path: oas.NewOptString("/charges"), Body: oas.NewOptString("{}"),
		})
		if err == nil && result.Verdict.Outcome != contract.Completed {
			err = errNotCompleted
		}
		return err
	}
}

func (m *latencyMeasurement) measureRequests(
	ctx context.Context, e *environment, send func(context.Context, *client.Client, int64) error,
) ([]any, error) {
	cluster, err := e.start(ctx, testcluster.Options{
		Instances: 1, Engines: 4, Services: 2, Slots: 64, TokenInterval: time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	c, err := cluster.Client()
	if err != nil {
		return nil, err
	}
	before, err := platformCounters(ctx, cluster)
	if err != nil {
		return nil, err
	}
	w, err := openWindow(ctx, cluster.Instances, false)
	if err != nil {
		return nil, err
	}
	times := make([]durations, m.requesters)
	var number, failed atomic.Int64
	var group sync.WaitGroup
	for i := range m.requesters {
		times[i] = newDurations()
		group.Go(func() {
			for time.Since(w.started) < m.window {
				sentAt := time.Now()
				if send(ctx, c, number.Add(1)) != nil {
					failed.Add(1)
				}
				times[i].record(time.Since(sentAt))
			}
		})
	}
	group.Wait()
	all, elapsed, err := w.close(ctx)
	if err != nil {
		return nil, err
	}
	after, err := platformCounters(ctx, cluster)
	total := newDurations()
	for _, t := range times {
		total.merge(t)
	}
	rate := float64(number.Load()) / elapsed.Seconds()
	perRequest := func(delta int64) float64 { return float64(delta) / float64(number.Load()) }
	return append([]any{
		rate, failed.Load(), all[0].cpu, all[0].cpu * 10 / rate,
		perRequest(after.Transactions - before.Transactions), perRequest(after.Writes - before.Writes),
	}, total.percentileCells()...), err
}
