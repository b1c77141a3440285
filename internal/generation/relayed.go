package generation

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// relayed reads a generation that a peer holds. When the relay breaks off it
// takes the generation over if it can; else the caller has to reconnect.
type relayed struct {
	registry   *Registry
	request    Request
	connection *relayConnection
	position   contract.Position
	locator    string
	started    bool               // the start event was received
	first      *Event             // received while the relay was opened
	texts      []string           // the text before position, if digester is set
	digester   *contract.Digester // of texts; nil if the text is not complete
	taken      *Subscription      // the generation after the takeover
	lastFrame  time.Time          // when the holder was last heard
}

func newRelayed(registry *Registry, request Request, connection *relayConnection) *relayed {
	r := &relayed{registry: registry, request: request, connection: connection, position: request.position()}
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

func (r *relayed) close() {
	r.connection.close()
	if r.taken != nil {
		r.taken.Close()
	}
}

// open waits for the first frame, which shows that the peer holds the generation.
func (r *relayed) open(ctx context.Context) error {
	frame, err := r.connection.receive(ctx)
	if err != nil {
		return err
	}
	r.lastFrame = time.Now()
	if frame.Event != nil {
		r.first = frame.Event
		return r.accept(*frame.Event)
	}
	return nil
}

func (r *relayed) next(ctx context.Context) (Event, error) {
	if r.taken != nil {
		return r.nextTaken(ctx)
	}
	if r.first != nil {
		event := *r.first
		r.first = nil
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

// receive returns the next event from the holder. Each frame, also an empty
// one, shows that the holder is alive.
func (r *relayed) receive(ctx context.Context) (Event, error) {
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

// receiveFrame waits for a frame until the holder was silent for too long. A
// frame that is already here counts even if the caller was slow to read it.
func (r *relayed) receiveFrame(ctx context.Context) (RelayFrame, error) {
	wait := max(time.Until(r.lastFrame.Add(relaySilence)), relayKeepAlive)
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	frame, err := r.connection.receive(waiting)
	if err == nil {
		r.lastFrame = time.Now()
	}
	return frame, err
}

// accept checks an event of the holder against what was received so far.
func (r *relayed) accept(e Event) error {
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

func (r *relayed) acceptToken(e Event) error {
	if err := r.expect(e.Position.Offset == r.position.Offset+1); err != nil {
		return err
	}
	if r.digester != nil {
		r.digester.Add(e.Text)
		r.texts = append(r.texts, e.Text)
		if err := r.expect(r.digester.Prefix() == e.Position.Digest); err != nil {
			r.texts, r.digester = nil, nil
			return err
		}
	}
	r.position = e.Position
	return nil
}

func (r *relayed) expect(ok bool) error {
	if !ok {
		return ErrRelayFrameInvalid
	}
	return nil
}

// takeOver continues the generation here from the position reached.
func (r *relayed) takeOver(ctx context.Context) (Event, error) {
	r.connection.close()
	broken := Event{Kind: EventBroken, Position: r.position}
	if r.request.Prompt == "" {
		return broken, nil // the caller joined by identifier only
	}
	request := r.request
	request.QueueUntil = request.Deadline // it has waited for its turn already
	request.Resume = &Resume{Position: r.position, Locator: r.locator}
	if r.digester != nil {
		request.Resume.Received = r.texts
	}
	s, ok := r.registry.takeOver(ctx, request)
	if !ok {
		return broken, ctx.Err()
	}
	r.taken = s
	return r.nextTaken(ctx)
}

func (r *relayed) nextTaken(ctx context.Context) (Event, error) {
	event, err := r.taken.Next(ctx)
	if event.Kind == EventStart && r.started {
		event.Kind = EventAttempt // the caller has had its start event
	}
	return event, err
}

// takeOver opens a generation here without asking the holder.
func (r *Registry) takeOver(ctx context.Context, request Request) (*Subscription, bool) {
	joined := r.join(request.ID, request.position(), request.content, true)
	if joined.subscription != nil || joined.refused {
		return joined.subscription, !joined.refused
	}
	s, _, ok := r.create(ctx, request, joined)
	return s, ok
}
