package client

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/api"
	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/contract"
)

// GenerationRequest holds the parameters of a generation request.
type GenerationRequest struct {
	RequestID   contract.RequestID
	Service     contract.ServiceID
	Prompt      string
	MaxTokens   int64         // 0: the service's limit
	Temperature float64       // 0: greedy
	Seed        uint64        // seed of the sampler
	Deadline    time.Duration // 0: the service's deadline

	OnToken func(contract.Token) // called for each token in order; may be nil
}

// GenerationResult is the result of a generation.
type GenerationResult struct {
	Verdict          contract.Verdict
	Message          string // one-line explanation of a refusal, from the instance
	Tokens           []string
	Checksum         string
	Reconnects       int           // connections after the first
	TimeToFirstToken time.Duration // from the first request to the first token
	LongestGap       time.Duration // longest time between two tokens
}

// generationRun is the state of one call of Generate across its connections.
type generationRun struct {
	generation    GenerationRequest
	result        GenerationResult
	digester      *contract.Digester
	locator       string
	startReceived bool // the current connection has delivered a valid start event
	started       time.Time
	lastToken     time.Time
	finished      bool // result holds the final verdict

	mayHaveRun        bool             // an earlier submission may still run
	lastRefusal       contract.Verdict // of the last instance whose configuration was unconfirmed
	retryAfter        time.Duration    // least wait before the next connection, as reported by an instance
	failedConnections int              // connections since the last event
}

// Generate runs a generation to its final outcome. It reconnects with the last
// position after a failed or idle connection. A refusal of a generation that never
// ran is final: the caller decides whether to retry. With an error, the outcome is
// Unknown, or NotRun if no submission can have run.
func (c *Client) Generate(ctx context.Context, generation GenerationRequest) (GenerationResult, error) {
	if generation.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, generation.Deadline+deadlineGrace)
		defer cancel()
	}
	run := &generationRun{generation: generation, digester: contract.NewDigester(), started: time.Now()}
	for connection := 0; ; connection++ {
		run.result.Reconnects = connection
		err := run.connect(ctx, c.NextEndpoint())
		switch {
		case run.finished:
			return run.result, nil
		case errors.Is(err, ErrCorruptStream):
			return run.failedResult(err)
		case ctx.Err() != nil:
			return run.failedResult(run.noFinalOutcome(err))
		}
		if sleep(ctx, run.nextBackoff()) != nil {
			return run.failedResult(run.noFinalOutcome(err))
		}
	}
}

// failedResult returns the result of a run without a final outcome.
func (r *generationRun) failedResult(err error) (GenerationResult, error) {
	r.result.Verdict = contract.Verdict{Outcome: contract.Unknown}
	if r.lastRefusal.Outcome == contract.NotRun && !r.mayHaveRun {
		r.result.Verdict = r.lastRefusal
	}
	return r.result, err
}

func (r *generationRun) noFinalOutcome(last error) error {
	return errors.Wrapf(ErrNoFinalOutcome, "%d tokens received, last error: %v", r.digester.Tokens(), last)
}

// nextBackoff returns the wait before the next connection. It doubles with each
// connection without an event and is at least the time that an instance reported.
func (r *generationRun) nextBackoff() time.Duration {
	backoff := min(reconnectBackoff<<min(r.failedConnections, maxDoublings), maxReconnectBackoff)
	r.failedConnections++
	backoff = max(backoff, r.retryAfter)
	r.retryAfter = 0
	return backoff
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *generationRun) body() *oas.GenerationRequest {
	body := &oas.GenerationRequest{Prompt: r.generation.Prompt}
	if r.generation.MaxTokens != 0 {
		body.MaxTokens.SetTo(r.generation.MaxTokens)
	}
	if r.generation.Deadline > 0 {
		timeLeft := r.generation.Deadline - time.Since(r.started)
		body.DeadlineMs.SetTo(max(timeLeft.Milliseconds(), 1))
	}
	body.Temperature.SetTo(r.generation.Temperature)
	body.Seed.SetTo(int64(r.generation.Seed))
	if r.locator == "" && r.digester.Tokens() == 0 {
		return body
	}
	resume := oas.Resume{Position: r.position().String(), Received: r.result.Tokens}
	if r.locator != "" {
		resume.Locator.SetTo(r.locator)
	}
	body.Resume.SetTo(resume)
	return body
}

func (r *generationRun) position() contract.Position {
	return contract.Position{Offset: r.digester.Tokens(), Digest: r.digester.PrefixDigest()}
}

// errRetry marks a response after which the same request must be sent again.
var errRetry = errors.New("response is not final")

// handleError handles a request that got no stream. An error that is not the
// refusal of an instance leads to another connection.
func (r *generationRun) handleError(err error) error {
	var httpError *oas.ErrorStatusCodeWithHeaders
	if !errors.As(err, &httpError) {
		r.mayHaveRun = r.mayHaveRun || !neverSent(err)
		return err
	}
	r.result.Message = httpError.Response.Message
	verdict := api.VerdictFromError(httpError)
	switch verdict.Reason {
	case contract.ReasonConfigurationUnconfirmed, contract.ReasonLeaving:
		// Only this instance cannot take it; another one may accept the request.
		r.lastRefusal = verdict
		return errors.Wrap(errRetry, httpError.Response.Message)
	case contract.ReasonInProgress:
		r.mayHaveRun = true
		r.retryAfter = verdict.RetryAfter
		return errors.Wrap(errRetry, httpError.Response.Message)
	}
	return r.conclude(verdict)
}

// conclude ends the run with a verdict, or requests a reconnect if the generation
// has tokens and may be resumed later. NotRun covers only the last submission: if an
// earlier one may have run, the outcome is Unknown, or Interrupted after tokens.
func (r *generationRun) conclude(verdict contract.Verdict) error {
	hasText := r.digester.Tokens() > 0
	transient := verdict.Outcome == contract.NotRun || verdict.Outcome == contract.Interrupted
	if transient && hasText && verdict.RetryAfter > 0 {
		r.retryAfter = verdict.RetryAfter
		return errors.Wrapf(errRetry, "not continued: %s", verdict.Reason)
	}
	if verdict.Outcome == contract.NotRun && (hasText || r.mayHaveRun) {
		verdict.Outcome = contract.Unknown
		if hasText {
			verdict.Outcome = contract.Interrupted
		}
	}
	r.result.Verdict = verdict
	r.result.Checksum = r.digester.Checksum()
	r.finished = true
	return nil
}
