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

// connect sends the request once and reads the response stream.
func (r *generationRun) connect(ctx context.Context, endpoint *oas.Client) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.startReceived = false
	r.result.Message = ""
	responseTimer := time.AfterFunc(r.responseTimeout(), cancel)
	response, err := endpoint.StartGeneration(ctx, r.body(), oas.StartGenerationParams{
		Workspace:      oas.Name(r.generation.RequestID.Workspace),
		Service:        oas.Name(r.generation.Service),
		IdempotencyKey: oas.Key(r.generation.RequestID.Key),
	})
	responseTimer.Stop()
	if err != nil {
		return r.handleError(err)
	}
	stream, ok := response.(*oas.StartGenerationOKRawTextEventStream)
	if !ok {
		return errors.Newf("unexpected response type %T", response)
	}
	defer stream.Response.Body.Close() //nolint:errcheck // the stream was read or is given up
	err = r.readStream(newIdleReader(stream.Response.Body, cancel))
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

// responseTimeout returns how long to wait for the response header. An instance
// that has the generation responds immediately; a new generation may wait for
// admission and for its first token. The timeout doubles with each failed
// connection, so that a slow response is not abandoned repeatedly.
func (r *generationRun) responseTimeout() time.Duration {
	timeout := firstResponseTimeout
	if r.locator != "" {
		timeout = idleTimeout
	}
	return min(timeout<<min(r.failedConnections, maxDoublings), maxResponseTimeout)
}

func (r *generationRun) readStream(body io.Reader) error {
	for event, err := range api.ReadEvents(body) {
		if err != nil {
			return err
		}
		r.failedConnections = 0
		if err := r.handleEvent(event); err != nil || r.finished {
			return err
		}
	}
	return io.ErrUnexpectedEOF
}

func (r *generationRun) handleEvent(event api.Event) error {
	switch event.Type {
	case api.EventStart:
		return r.handleStart(event)
	case api.EventEnd:
		return r.handleEnd(event.End)
	}
	if !r.startReceived {
		return errors.Wrapf(ErrCorruptStream, "%s event before the start event", event.Type)
	}
	if event.Type == api.EventToken {
		return r.handleToken(event)
	}
	r.locator = event.Attempt.Locator
	return nil
}

func (r *generationRun) handleStart(event api.Event) error {
	if event.Start.Request != r.generation.RequestID {
		return errors.Wrapf(ErrCorruptStream, "stream belongs to another request: %s", event.Start.Request)
	}
	if event.Position != r.position() {
		return errors.Wrapf(ErrCorruptStream, "stream starts at %s, expected %s", event.Position, r.position())
	}
	r.startReceived = true
	r.locator = event.Start.Locator
	return nil
}

func (r *generationRun) handleToken(event api.Event) error {
	offset := r.digester.Tokens()
	r.digester.Add(event.Token.Text)
	if event.Position != r.position() {
		return errors.Wrapf(ErrCorruptStream, "token at %s, expected %s", event.Position, r.position())
	}
	now := time.Now()
	if offset == 0 {
		r.result.TimeToFirstToken = now.Sub(r.started)
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

func (r *generationRun) handleEnd(end api.EndEvent) error {
	switch end.Outcome {
	case contract.Completed:
		if !r.startReceived {
			return errors.Wrap(ErrCorruptStream, "end event before the start event")
		}
		if end.TokenCount != r.digester.Tokens() || end.SHA256 != r.digester.Checksum() {
			return errors.Wrapf(ErrCorruptStream, "received %d tokens, the end event reports %d", r.digester.Tokens(), end.TokenCount)
		}
	case contract.NotRun, contract.Unknown, contract.Quarantined, contract.Interrupted:
	default:
		return errors.Wrapf(ErrCorruptStream, "unknown outcome %q", end.Outcome)
	}
	return r.conclude(contract.Verdict{
		Outcome:    end.Outcome,
		Reason:     end.Reason,
		RetryAfter: time.Duration(end.RetryAfterMS) * time.Millisecond,
	})
}

// idleReader cancels a request whose connection delivers no bytes for
// idleTimeout. Time that the caller spends on received data does not count.
type idleReader struct {
	body  io.Reader
	timer *time.Timer
}

func newIdleReader(body io.Reader, cancel func()) *idleReader {
	r := &idleReader{body: body, timer: time.AfterFunc(idleTimeout, cancel)}
	r.timer.Stop()
	return r
}

// Read reads from the connection. The idle timer runs only during the read.
func (r *idleReader) Read(p []byte) (int, error) {
	r.timer.Reset(idleTimeout)
	defer r.timer.Stop()
	return r.body.Read(p)
}
