package client

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/api"
	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/contract"
)

// connect sends the request once and reads the stream that answers it.
func (r *generationRun) connect(ctx context.Context, endpoint *oas.Client) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.joined = false
	r.result.Message = ""
	overdue := time.AfterFunc(r.answerTimeout(), cancel)
	answer, err := endpoint.StartGeneration(ctx, r.body(), oas.StartGenerationParams{
		Workspace:      oas.Name(r.generation.Request.Workspace),
		Service:        oas.Name(r.generation.Service),
		IdempotencyKey: oas.Key(r.generation.Request.Key),
	})
	overdue.Stop()
	if err != nil {
		return r.refused(err)
	}
	stream, ok := answer.(*oas.StartGenerationOKRawTextEventStream)
	if !ok {
		return errors.Newf("unexpected answer %T", answer)
	}
	defer stream.Response.Body.Close() //nolint:errcheck // the stream was read or is given up
	err = r.read(newIdleReader(stream.Response.Body, cancel))
	if err != nil {
		r.mayHaveRun = true
	}
	return err
}

// neverSent reports whether the request cannot have reached an instance.
func neverSent(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// answerTimeout returns how long to wait for the first byte of the answer. An
// instance that holds the text answers at once; a new generation may have to
// wait for admission and for its first token. The time doubles with each
// failure, so that a slow answer is not given up again and again.
func (r *generationRun) answerTimeout() time.Duration {
	timeout := firstAnswerTimeout
	if r.locator != "" {
		timeout = idleTimeout
	}
	return min(timeout<<min(r.failures, maxDoublings), maxAnswerTimeout)
}

func (r *generationRun) read(body io.Reader) error {
	for event, err := range api.ReadEvents(body) {
		if err != nil {
			return err
		}
		r.failures = 0
		if err := r.apply(event); err != nil || r.finished {
			return err
		}
	}
	return io.ErrUnexpectedEOF
}

func (r *generationRun) apply(event api.Event) error {
	switch event.Type {
	case api.EventStart:
		return r.start(event)
	case api.EventEnd:
		return r.end(event.End)
	}
	if !r.joined {
		return errors.Wrapf(ErrIncomplete, "%s event before the start event", event.Type)
	}
	if event.Type == api.EventToken {
		return r.token(event)
	}
	r.locator = event.Attempt.Locator
	return nil
}

func (r *generationRun) start(event api.Event) error {
	if event.Start.Request != r.generation.Request {
		return errors.Wrapf(ErrIncomplete, "answer to another request: %s", event.Start.Request)
	}
	if event.Position != r.position() {
		return errors.Wrapf(ErrIncomplete, "stream starts at %s, expected %s", event.Position, r.position())
	}
	r.joined = true
	r.locator = event.Start.Locator
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
	switch end.Outcome {
	case contract.Completed:
		if !r.joined {
			return errors.Wrap(ErrIncomplete, "end event before the start event")
		}
		if end.Count != r.digester.Tokens() || end.SHA256 != r.digester.Checksum() {
			return errors.Wrapf(ErrIncomplete, "received %d tokens, the end says %d", r.digester.Tokens(), end.Count)
		}
	case contract.NotRun, contract.Unknown, contract.Quarantined, contract.Interrupted:
	default:
		return errors.Wrapf(ErrIncomplete, "unknown outcome %q", end.Outcome)
	}
	return r.conclude(contract.Verdict{
		Outcome:    end.Outcome,
		Reason:     end.Reason,
		RetryAfter: time.Duration(end.RetryAfterMS) * time.Millisecond,
	})
}

// idleReader gives up a connection on which nothing arrives for idleTimeout.
// The time that the caller takes to use what has arrived does not count.
type idleReader struct {
	body  io.Reader
	timer *time.Timer
}

func newIdleReader(body io.Reader, giveUp func()) *idleReader {
	r := &idleReader{body: body, timer: time.AfterFunc(idleTimeout, giveUp)}
	r.timer.Stop()
	return r
}

// Read reads from the connection; the idle time runs meanwhile.
func (r *idleReader) Read(p []byte) (int, error) {
	r.timer.Reset(idleTimeout)
	defer r.timer.Stop()
	return r.body.Read(p)
}
