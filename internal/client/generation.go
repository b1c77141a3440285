package client

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/api"
	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/contract"
)

// Generation is a generation to run.
type Generation struct {
	Request     contract.RequestID
	Service     contract.ServiceID
	Prompt      string
	MaxTokens   int64         // 0: the service's limit
	Temperature float64       // 0: greedy
	Seed        uint64        // chooses among sampled texts
	Deadline    time.Duration // 0: the service's deadline

	OnToken func(contract.Token) // called for each token in order; may be nil
}

// GenerationResult is the end of a generation.
type GenerationResult struct {
	Verdict    contract.Verdict
	Message    string // what an instance says of a refusal, in one line
	Tokens     []string
	Checksum   string
	Reconnects int           // connections after the first one
	FirstToken time.Duration // from the first request to the first token
	LongestGap time.Duration // longest time between two tokens
}

// generationRun is the state of one Generate over all its connections.
type generationRun struct {
	generation Generation
	result     GenerationResult
	digester   *contract.Digester
	locator    string
	joined     bool // the current connection has begun with a start event
	started    time.Time
	lastToken  time.Time
	finished   bool // result holds the final verdict

	mayHaveRun bool             // an earlier submission may still run
	refusal    contract.Verdict // of the last instance that could not say more
	retryAfter time.Duration    // wait before the next connection, if an instance named one
	failures   int              // connections since the last event
}

// Generate runs a generation to its final answer. It reconnects with the last
// position when a connection fails or goes silent. A refusal of a generation
// that never ran ends it: the caller decides whether to come back. With an
// error the outcome is not known, unless no submission can have run.
func (c *Client) Generate(ctx context.Context, generation Generation) (GenerationResult, error) {
	if generation.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, generation.Deadline+answerGrace)
		defer cancel()
	}
	run := &generationRun{generation: generation, digester: contract.NewDigester(), started: time.Now()}
	for connection := 0; ; connection++ {
		run.result.Reconnects = connection
		err := run.connect(ctx, c.Endpoint())
		switch {
		case run.finished:
			return run.result, nil
		case errors.Is(err, ErrIncomplete):
			return run.failed(err)
		case ctx.Err() != nil:
			return run.failed(run.gaveUp(err))
		}
		if pause(ctx, run.nextPause()) != nil {
			return run.failed(run.gaveUp(err))
		}
	}
}

// failed returns the result of a run without a final answer.
func (r *generationRun) failed(err error) (GenerationResult, error) {
	r.result.Verdict = contract.Verdict{Outcome: contract.Unknown}
	if r.refusal.Outcome == contract.NotRun && !r.mayHaveRun {
		r.result.Verdict = r.refusal
	}
	return r.result, err
}

func (r *generationRun) gaveUp(last error) error {
	return errors.Wrapf(ErrGaveUp, "%d tokens received, last: %v", r.digester.Tokens(), last)
}

// nextPause returns how long to wait before the next connection: as long as an
// instance asked for, else twice as long after each connection without an event.
func (r *generationRun) nextPause() time.Duration {
	wait := min(reconnectPause<<min(r.failures, maxDoublings), maxReconnectPause)
	r.failures++
	wait = max(wait, r.retryAfter)
	r.retryAfter = 0
	return wait
}

func pause(ctx context.Context, d time.Duration) error {
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
		left := r.generation.Deadline - time.Since(r.started)
		body.DeadlineMs.SetTo(max(left.Milliseconds(), 1))
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
	return contract.Position{Offset: r.digester.Tokens(), Digest: r.digester.Prefix()}
}

// errNotFinal reports an answer after which the same request is to be sent again.
var errNotFinal = errors.New("answer is not final")

// refused handles an answer without a stream. An error that is not an
// instance's refusal leads to another connection.
func (r *generationRun) refused(err error) error {
	var answer *oas.ErrorStatusCodeWithHeaders
	if !errors.As(err, &answer) {
		r.mayHaveRun = r.mayHaveRun || !neverSent(err)
		return err
	}
	r.result.Message = answer.Response.Message
	verdict := api.ErrorVerdict(answer)
	switch verdict.Reason {
	case contract.ReasonUnconfirmed:
		// An instance that is unready says nothing about the others.
		r.refusal = verdict
		return errors.Wrap(errNotFinal, answer.Response.Message)
	case contract.ReasonInProgress:
		r.mayHaveRun = true
		r.retryAfter = verdict.RetryAfter
		return errors.Wrap(errNotFinal, answer.Response.Message)
	}
	return r.conclude(verdict)
}

// conclude ends the run with a verdict. A text that has begun is continued when
// the instance names a time to come back. A verdict that this submission was not
// run says nothing of the earlier ones: then the outcome is not "not run".
func (r *generationRun) conclude(verdict contract.Verdict) error {
	hasText := r.digester.Tokens() > 0
	transient := verdict.Outcome == contract.NotRun || verdict.Outcome == contract.Interrupted
	if transient && hasText && verdict.RetryAfter > 0 {
		r.retryAfter = verdict.RetryAfter
		return errors.Wrapf(errNotFinal, "not continued: %s", verdict.Reason)
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
