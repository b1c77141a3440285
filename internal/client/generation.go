package client

import (
	"context"
	"io"
	"net/http"
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
	Message    string // one line on a refusal
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
	started    time.Time
	lastToken  time.Time
	finished   bool
}

// Generate runs a generation to its final answer. It reconnects with the last
// position when a connection fails or goes silent. A refusal with a time to
// come back ends it: the caller decides whether to come back.
func (c *Client) Generate(ctx context.Context, generation Generation) (GenerationResult, error) {
	run := &generationRun{
		generation: generation,
		digester:   contract.NewDigester(),
		started:    time.Now(),
	}
	for connection := 0; ; connection++ {
		run.result.Reconnects = connection
		err := run.connect(ctx, c.Endpoint())
		if run.finished {
			return run.result, err
		}
		if ctx.Err() != nil {
			return run.result, errors.Mark(errors.Wrapf(ctx.Err(), "after %d tokens", run.digester.Tokens()), ErrGaveUp)
		}
		if errors.Is(err, ErrIncomplete) {
			return run.result, err
		}
		if err := pause(ctx, reconnectPause); err != nil {
			return run.result, errors.Mark(err, ErrGaveUp)
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *generationRun) connect(ctx context.Context, endpoint *oas.Client) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer, err := endpoint.StartGeneration(ctx, r.body(), oas.StartGenerationParams{
		Workspace:      oas.Name(r.generation.Request.Workspace),
		Service:        oas.Name(r.generation.Service),
		IdempotencyKey: oas.Key(r.generation.Request.Key),
	})
	if err != nil {
		return r.refused(err)
	}
	stream, ok := answer.(*oas.StartGenerationOKRawTextEventStream)
	if !ok {
		return errors.Newf("unexpected answer %T", answer)
	}
	defer stream.Response.Body.Close() //nolint:errcheck // the stream was read or is given up
	return r.read(newIdleReader(stream.Response, cancel))
}

func (r *generationRun) body() *oas.GenerationRequest {
	body := &oas.GenerationRequest{Prompt: r.generation.Prompt}
	if r.generation.MaxTokens > 0 {
		body.MaxTokens.SetTo(r.generation.MaxTokens)
	}
	if r.generation.Deadline > 0 {
		body.DeadlineMs.SetTo(r.generation.Deadline.Milliseconds())
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

// refused handles an answer without a stream. A refusal is final; any other
// error leads to another connection.
func (r *generationRun) refused(err error) error {
	var answer *oas.ErrorStatusCodeWithHeaders
	if !errors.As(err, &answer) {
		return err
	}
	r.result.Verdict = api.ErrorVerdict(answer)
	r.result.Message = answer.Response.Message
	// An instance that is unready, or on its way out, says nothing about the
	// others: the balancer leads the next connection elsewhere.
	if r.result.Verdict.Reason == contract.ReasonUnconfirmed {
		return err
	}
	r.finished = true
	return nil
}

func (r *generationRun) read(body io.Reader) error {
	for event, err := range api.ReadEvents(body) {
		if err != nil {
			return err
		}
		if err := r.apply(event); err != nil || r.finished {
			return err
		}
	}
	return io.ErrUnexpectedEOF
}

func (r *generationRun) apply(event api.Event) error {
	switch event.Type {
	case api.EventStart:
		if event.Start.Request != r.generation.Request {
			return errors.Wrapf(ErrIncomplete, "answer to another request: %s", event.Start.Request)
		}
		r.locator = event.Start.Locator
	case api.EventAttempt:
		r.locator = event.Attempt.Locator
	case api.EventToken:
		return r.token(event)
	case api.EventEnd:
		return r.end(event.End)
	}
	return nil
}

func (r *generationRun) token(event api.Event) error {
	offset := r.digester.Tokens()
	r.digester.Add(event.Token.Text)
	if event.Position != r.position() {
		return errors.Wrapf(ErrIncomplete, "token at %s, expected %s", event.Position, r.position())
	}
	now := time.Now()
	if offset == 0 {
		r.result.FirstToken = now.Sub(r.started)
	} else {
		r.result.LongestGap = max(r.result.LongestGap, now.Sub(r.lastToken))
	}
	r.lastToken = now
	r.result.Tokens = append(r.result.Tokens, event.Token.Text)
	if r.generation.OnToken != nil {
		r.generation.OnToken(contract.Token{Offset: offset, Text: event.Token.Text})
	}
	return nil
}

func (r *generationRun) end(end api.EndEvent) error {
	r.finished = true
	r.result.Checksum = r.digester.Checksum()
	r.result.Verdict = contract.Verdict{
		Outcome:    end.Outcome,
		Reason:     end.Reason,
		RetryAfter: time.Duration(end.RetryAfterMS) * time.Millisecond,
	}
	if end.Outcome != contract.Completed {
		return nil
	}
	if end.Count != r.digester.Tokens() || end.SHA256 != r.result.Checksum {
		return errors.Wrapf(ErrIncomplete, "received %d tokens, the end says %d", r.digester.Tokens(), end.Count)
	}
	return nil
}

// idleReader gives up a connection on which nothing arrives for idleTimeout.
type idleReader struct {
	body  io.Reader
	timer *time.Timer
}

func newIdleReader(response *http.Response, giveUp func()) *idleReader {
	return &idleReader{body: response.Body, timer: time.AfterFunc(idleTimeout, giveUp)}
}

// Read reads from the connection and restarts the idle time.
func (r *idleReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != nil {
		r.timer.Stop()
		return n, err
	}
	r.timer.Reset(idleTimeout)
	return n, nil
}
