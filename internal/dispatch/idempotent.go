package dispatch

import (
	"context"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

const (
	// maxSends bounds retries and hedges of one idempotent call, whatever the
	// budget allows.
	maxSends = 4
	// retryPause is the time before a call is sent again to upstreams that
	// have all failed it.
	retryPause = 50 * time.Millisecond
)

// idempotentRunner runs idempotent calls.
type idempotentRunner struct {
	config    Config
	latencies *latencies
}

// idempotentRun is the state of one call. Only the goroutine of the run uses it.
type idempotentRun struct {
	runner   *idempotentRunner
	request  Request
	content  upstream.ContentKey
	avoid    []contract.UpstreamID // upstreams that failed the call
	using    []contract.UpstreamID // upstreams that the call was sent to
	answers  chan idempotentAnswer
	inFlight int
	sends    int
	mayRun   bool // the call was sent at least once
}

type idempotentAnswer struct {
	target   contract.UpstreamID
	response upstream.CallResponse
	err      error
}

func (r *idempotentRunner) run(ctx context.Context, request Request) Result {
	run := &idempotentRun{
		runner:  r,
		request: request,
		content: ContentOf(request),
		answers: make(chan idempotentAnswer, maxSends),
	}
	standing := r.config.Router.Standing(run.content)
	if standing.Quarantined {
		return quarantined(standing, time.Now())
	}
	// Ends the sends that lost against the first answer.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if wait, ok := run.send(ctx); !ok {
		return refused(contract.ReasonNoUpstream, wait)
	}
	return run.loop(ctx, standing)
}

func (run *idempotentRun) loop(ctx context.Context, standing upstream.Standing) Result {
	now := time.Now()
	observed := run.runner.latencies.summary(run.request.Service, now)
	var hedge <-chan time.Time
	if delay, ok := HedgeDelay(observed, run.request.Deadline.Sub(now), standing); ok {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		hedge = timer.C
	}
	for {
		select {
		case answer := <-run.answers:
			run.inFlight--
			if answer.err == nil {
				return completed(answer.response)
			}
			run.failed(answer)
			if run.inFlight > 0 {
				continue // the other send may still be answered
			}
			if wait, ok := run.retry(ctx); !ok {
				return run.giveUp(ctx, wait)
			}
		case <-hedge:
			hedge = nil
			run.hedge(ctx)
		case <-ctx.Done():
			return run.giveUp(ctx, 0)
		}
	}
}

func (run *idempotentRun) failed(answer idempotentAnswer) {
	run.avoid = append(run.avoid, answer.target)
	if !notSent(answer.err) {
		run.mayRun = true
	}
}

// retry sends the call again, if possible to an upstream that has not failed it.
func (run *idempotentRun) retry(ctx context.Context) (time.Duration, bool) {
	if run.sends >= maxSends || !run.runner.config.Budget.Take() {
		return retryPause, false
	}
	if run.standing().Quarantined {
		return 0, false
	}
	wait, ok := run.send(ctx)
	if ok {
		return 0, true
	}
	run.avoid = nil
	if !sleep(ctx, retryPause) {
		return wait, false
	}
	return run.send(ctx)
}

// hedge sends the call to a second upstream while the first does not answer.
func (run *idempotentRun) hedge(ctx context.Context) {
	if run.sends >= maxSends || run.standing().Deaths > 0 || !run.runner.config.Budget.Take() {
		return
	}
	failed := run.avoid
	run.avoid = append(append([]contract.UpstreamID{}, failed...), run.using...)
	run.send(ctx)
	run.avoid = failed
}

func (run *idempotentRun) standing() upstream.Standing {
	return run.runner.config.Router.Standing(run.content)
}

func (run *idempotentRun) send(ctx context.Context) (time.Duration, bool) {
	placement, wait, ok := run.runner.config.Router.Place(upstream.Need{
		Service:   run.request.Service,
		Workspace: run.request.ID.Workspace,
		Content:   run.content,
		Avoid:     run.avoid,
	})
	if !ok {
		return wait, false
	}
	run.sends++
	run.inFlight++
	run.using = append(run.using, placement.Target.ID)
	go run.call(ctx, placement)
	return 0, true
}

func (run *idempotentRun) call(ctx context.Context, placement upstream.Placement) {
	config := run.runner.config
	began := time.Now()
	response, err := config.Services.Service(placement.Target).CallIdempotent(ctx, run.request.call())
	latency := time.Since(began)
	if err == nil {
		run.runner.latencies.observe(run.request.Service, latency, time.Now())
	}
	placement.Done(observe(response, err, latency))
	run.answers <- idempotentAnswer{target: placement.Target.ID, response: response, err: err}
}

func (run *idempotentRun) giveUp(ctx context.Context, wait time.Duration) Result {
	if standing := run.standing(); standing.Quarantined {
		return quarantined(standing, time.Now())
	}
	reason := contract.ReasonAttempts
	if ctx.Err() != nil {
		reason = contract.ReasonDeadline
	}
	if run.mayRun || run.inFlight > 0 {
		return unknown(reason, wait)
	}
	return refused(reason, wait)
}
