package dispatch

import (
	"context"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

const (
	// maxAttempts bounds the attempts of one idempotent call, including retries
	// and hedges, regardless of the budget.
	maxAttempts = 4
	// retryDelay is the delay before a retry when all upstreams have failed the
	// call.
	retryDelay = 50 * time.Millisecond
)

// idempotentRunner runs idempotent calls with retries and hedges.
type idempotentRunner struct {
	config    Config
	latencies *latencyTracker
}

// idempotentRun is the state of one call. Only the goroutine of the run modifies
// it; attempts report to it through results.
type idempotentRun struct {
	runner     *idempotentRunner
	request    Request
	content    upstream.ContentKey
	avoid      []contract.UpstreamID // upstreams that failed the call
	attempted  []contract.UpstreamID // upstreams that the call was sent to
	results    chan attemptResult
	inFlight   int
	attempts   int
	mayHaveRun bool // the call was sent at least once
}

type attemptResult struct {
	target   contract.UpstreamID
	response upstream.CallResponse
	err      error
}

func (r *idempotentRunner) run(ctx context.Context, request Request) Result {
	run := &idempotentRun{
		runner:  r,
		request: request,
		content: ContentKeyOf(request),
		results: make(chan attemptResult, maxAttempts),
	}
	status := r.config.Router.ContentStatus(run.content)
	if status.Quarantined {
		return quarantinedResult(status, time.Now())
	}
	// Cancels the attempts that are still in flight when the run returns.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if retryAfter, ok := run.startAttempt(ctx); !ok {
		return refusedResult(contract.ReasonNoUpstream, retryAfter)
	}
	return run.awaitResponse(ctx, status)
}

func (run *idempotentRun) awaitResponse(ctx context.Context, status upstream.ContentStatus) Result {
	now := time.Now()
	observed := run.runner.latencies.summary(run.request.Service, now)
	var hedge <-chan time.Time
	if delay, ok := HedgeDelay(observed, run.request.Deadline.Sub(now), status); ok {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		hedge = timer.C
	}
	for {
		select {
		case result := <-run.results:
			run.inFlight--
			if result.err == nil {
				return completedResult(result.response)
			}
			run.recordFailure(result)
			if run.inFlight > 0 {
				continue // another attempt may still get a response
			}
			if retryAfter, ok := run.retry(ctx); !ok {
				return run.failedResult(ctx, retryAfter)
			}
		case <-hedge:
			hedge = nil
			run.hedge(ctx)
		case <-ctx.Done():
			return run.failedResult(ctx, 0)
		}
	}
}

func (run *idempotentRun) recordFailure(result attemptResult) {
	run.avoid = append(run.avoid, result.target)
	if !notExecuted(result.err) {
		run.mayHaveRun = true
	}
}

// retry sends the call again, preferably to an upstream that has not failed it.
func (run *idempotentRun) retry(ctx context.Context) (time.Duration, bool) {
	if run.attempts >= maxAttempts || !run.runner.config.RetryBudget.Take() {
		return retryDelay, false
	}
	if run.contentStatus().Quarantined {
		return 0, false
	}
	retryAfter, ok := run.startAttempt(ctx)
	if ok {
		return 0, true
	}
	run.avoid = nil
	if !sleep(ctx, retryDelay) {
		return retryAfter, false
	}
	return run.startAttempt(ctx)
}

// hedge sends the call to a second upstream while the first has not responded.
func (run *idempotentRun) hedge(ctx context.Context) {
	if run.attempts >= maxAttempts || run.contentStatus().Crashes > 0 || !run.runner.config.RetryBudget.Take() {
		return
	}
	failed := run.avoid
	run.avoid = append(append([]contract.UpstreamID{}, failed...), run.attempted...)
	run.startAttempt(ctx)
	run.avoid = failed
}

func (run *idempotentRun) contentStatus() upstream.ContentStatus {
	return run.runner.config.Router.ContentStatus(run.content)
}

func (run *idempotentRun) startAttempt(ctx context.Context) (time.Duration, bool) {
	placement, retryAfter, ok := run.runner.config.Router.Place(upstream.Requirements{
		Service:   run.request.Service,
		Workspace: run.request.ID.Workspace,
		Content:   run.content,
		Avoid:     run.avoid,
	})
	if !ok {
		return retryAfter, false
	}
	run.attempts++
	run.inFlight++
	run.attempted = append(run.attempted, placement.Target.ID)
	go run.call(ctx, placement)
	return 0, true
}

func (run *idempotentRun) call(ctx context.Context, placement upstream.Placement) {
	config := run.runner.config
	started := time.Now()
	response, err := config.Services.Service(placement.Target).CallIdempotent(ctx, run.request.callRequest())
	latency := time.Since(started)
	if err == nil {
		run.runner.latencies.observe(run.request.Service, latency, time.Now())
	}
	placement.Done(observationOf(response, err, latency))
	run.results <- attemptResult{target: placement.Target.ID, response: response, err: err}
}

func (run *idempotentRun) failedResult(ctx context.Context, retryAfter time.Duration) Result {
	if status := run.contentStatus(); status.Quarantined {
		return quarantinedResult(status, time.Now())
	}
	reason := contract.ReasonAttemptsExhausted
	if ctx.Err() != nil {
		reason = contract.ReasonDeadlineExceeded
	}
	if run.mayHaveRun || run.inFlight > 0 {
		return unknownResult(reason, retryAfter)
	}
	return refusedResult(reason, retryAfter)
}
