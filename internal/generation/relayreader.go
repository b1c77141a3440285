package generation

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// relayReader reads a generation that a peer holds. If the relay fails, it takes
// over the generation if possible; otherwise the caller has to reconnect.
type relayReader struct {
	registry    *Registry
	request     Request
	connection  *relayConnection
	position    contract.Position
	locator     string
	started     bool               // the start event was received
	firstEvent  *Event             // received while the relay was opened
	texts       []string           // the text before position, if digester is set
	digester    *contract.Digester // of texts; nil if the text is incomplete
	takeover    *Subscription      // of the generation on this instance after a takeover; nil before
	lastFrameAt time.Time          // time of the last frame from the holder
}

func newRelayReader(registry *Registry, request Request, connection *relayConnection) *relayReader {
	r := &relayReader{registry: registry, request: request, connection: connection, position: request.position()}
	r.locator = request.Resume.Locator
	texts, complete := request.received()
	if !complete {
		return r
	}
	r.texts = slices.Clone(texts)
	r.digester = contract.NewDigester()
	for _, text := range texts {
		r.digester.Add(text)
	}
	return r
}

func (r *relayReader) close() {
	r.connection.close()
	if r.takeover != nil {
		r.takeover.Close()
	}
}

// open waits for the first frame: it confirms that the peer has the generation.
func (r *relayReader) open(ctx context.Context) error {
	frame, err := r.connection.receive(ctx)
	if err != nil {
		return err
	}
	r.lastFrameAt = time.Now()
	if frame.Event != nil {
		r.firstEvent = frame.Event
		return r.accept(*frame.Event)
	}
	return nil
}

func (r *relayReader) next(ctx context.Context) (Event, error) {
	if r.takeover != nil {
		return r.nextAfterTakeover(ctx)
	}
	if r.firstEvent != nil {
		event := *r.firstEvent
		r.firstEvent = nil
		return event, nil
	}
	event, err := r.receive(ctx)
	if ctx.Err() != nil && err != nil {
		return Event{}, ctx.Err()
	}
	if err != nil || event.Kind == EventBroken {
		return r.takeOver(ctx)
	}
	return event, nil
}

// receive returns the next event from the holder and skips keep-alive frames.
func (r *relayReader) receive(ctx context.Context) (Event, error) {
	for {
		frame, err := r.receiveFrame(ctx)
		if err != nil {
			return Event{}, err
		}
		if frame.Event != nil {
			return *frame.Event, r.accept(*frame.Event)
		}
	}
}

// receiveFrame waits for a frame until relaySilence has passed since the last
// one. It waits at least relayKeepAlive, so that a frame that has arrived is read
// even if the caller was slow.
func (r *relayReader) receiveFrame(ctx context.Context) (RelayFrame, error) {
	wait := max(time.Until(r.lastFrameAt.Add(relaySilence)), relayKeepAlive)
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	frame, err := r.connection.receive(waiting)
	if err == nil {
		r.lastFrameAt = time.Now()
	}
	return frame, err
}

// accept checks an event of the holder against the text received so far.
func (r *relayReader) accept(e Event) error {
	if _, err := contract.ParsePosition(e.Position.String()); err != nil {
		return errors.Wrapf(ErrRelayFrameInvalid, "%v", err)
	}
	switch e.Kind {
	case EventStart, EventAttempt:
		r.locator = e.Locator
		r.started = true
		return r.expect(e.Position == r.position)
	case EventToken:
		return r.acceptToken(e)
	case EventEnd, EventBroken:
		return r.expect(e.Position == r.position)
	default:
		return ErrRelayFrameInvalid
	}
}

func (r *relayReader) acceptToken(e Event) error {
	if err := r.expect(e.Position.Offset == r.position.Offset+1); err != nil {
		return err
	}
	if r.digester != nil {
		r.digester.Add(e.Text)
		r.texts = append(r.texts, e.Text)
		if err := r.expect(r.digester.PrefixDigest() == e.Position.Digest); err != nil {
			r.texts, r.digester = nil, nil
			return err
		}
	}
	r.position = e.Position
	return nil
}

func (r *relayReader) expect(ok bool) error {
	if !ok {
		return ErrRelayFrameInvalid
	}
	return nil
}

// takeOver continues the generation on this instance from the position reached.
func (r *relayReader) takeOver(ctx context.Context) (Event, error) {
	r.connection.close()
	broken := Event{Kind: EventBroken, Position: r.position}
	if r.request.Prompt == "" {
		return broken, nil // the caller joined by identifier only
	}
	request := r.request
	request.QueueUntil = request.Deadline // the request has already waited in the queue
	request.Resume = &ResumeState{Position: r.position, Locator: r.locator}
	if r.digester != nil {
		request.Resume.Received = r.texts
	}
	s, ok := r.registry.takeOver(ctx, request)
	if !ok {
		return broken, ctx.Err()
	}
	r.takeover = s
	return r.nextAfterTakeover(ctx)
}

func (r *relayReader) nextAfterTakeover(ctx context.Context) (Event, error) {
	event, err := r.takeover.Next(ctx)
	if event.Kind == EventStart && r.started {
		event.Kind = EventAttempt // the caller already has its start event
	}
	return event, err
}

// takeOver opens a generation on this instance without a request to the holder.
func (r *Registry) takeOver(ctx context.Context, request Request) (*Subscription, bool) {
	joined := r.join(request.ID, request.position(), request.content, true)
	if joined.subscription != nil || joined.refused {
		return joined.subscription, !joined.refused
	}
	s, _, ok := r.create(ctx, request, joined)
	return s, ok
}
