package generation

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
)

// relayed reads a generation that a peer holds. When the relay breaks off it
// takes the generation over if it can; else the caller has to reconnect.
type relayed struct {
	registry *Registry
	request  Request
	frames   link.Frames
	position contract.Position
	locator  string
	first    *Event   // received while the relay was opened
	texts    []string // the text before position, if complete
	complete bool
	taken    *Subscription // the generation after the takeover
}

func (r *relayed) close() {
	r.frames.Close()
	if r.taken != nil {
		r.taken.Close()
	}
}

func (r *relayed) next(ctx context.Context) (Event, error) {
	if r.taken != nil {
		return r.taken.Next(ctx)
	}
	if r.first != nil {
		event := *r.first
		r.first = nil
		return event, nil
	}
	waiting, cancel := context.WithTimeout(ctx, relaySilence)
	defer cancel()
	event, err := r.receive(waiting)
	if ctx.Err() != nil {
		return Event{}, ctx.Err()
	}
	if err != nil || event.Kind == EventBroken {
		return r.takeOver(ctx)
	}
	return event, nil
}

// receive returns the next event from the holder. Each frame, also an empty
// one, shows that the holder is alive; ctx limits the wait for one of them.
func (r *relayed) receive(ctx context.Context) (Event, error) {
	for {
		encoded, err := r.frames.Next(ctx)
		if err != nil {
			return Event{}, err
		}
		var frame RelayFrame
		if err := cbor.Unmarshal(encoded, &frame); err != nil {
			return Event{}, errors.Mark(err, ErrRelayFrameInvalid)
		}
		if frame.Event != nil {
			return *frame.Event, r.accept(*frame.Event)
		}
	}
}

// accept checks an event of the holder against what was received so far.
func (r *relayed) accept(e Event) error {
	if _, err := contract.ParsePosition(e.Position.String()); err != nil {
		return errors.Mark(err, ErrRelayFrameInvalid)
	}
	switch e.Kind {
	case EventStart, EventAttempt:
		r.locator = e.Locator
		return r.expect(e.Position == r.position)
	case EventToken:
		if err := r.expect(e.Position.Offset == r.position.Offset+1); err != nil {
			return err
		}
		r.position = e.Position
		if r.complete {
			r.texts = append(slices.Clip(r.texts), e.Text)
		}
		return nil
	case EventEnd, EventBroken:
		return r.expect(e.Position == r.position)
	default:
		return ErrRelayFrameInvalid
	}
}

func (r *relayed) expect(ok bool) error {
	if !ok {
		return ErrRelayFrameInvalid
	}
	return nil
}

// takeOver continues the generation here from the position reached.
func (r *relayed) takeOver(ctx context.Context) (Event, error) {
	r.frames.Close()
	broken := Event{Kind: EventBroken, Position: r.position}
	if r.request.Prompt == "" {
		return broken, nil // the caller joined by identifier only
	}
	request := r.request
	request.Resume = &Resume{Position: r.position, Locator: r.locator}
	if r.complete {
		request.Resume.Received = r.texts
	}
	s, ok := r.registry.takeOver(ctx, request)
	if !ok {
		return broken, ctx.Err()
	}
	event, err := s.Next(ctx)
	if err != nil {
		s.Close()
		return Event{}, err
	}
	r.taken = s
	if event.Kind == EventStart {
		event.Kind = EventAttempt // the caller has had its start event
	}
	return event, nil
}

// takeOver opens a generation here without asking the holder.
func (r *Registry) takeOver(ctx context.Context, request Request) (*Subscription, bool) {
	joined := r.join(request.ID, request.position(), ContentOf(request), true)
	if joined.subscription != nil || joined.refused {
		return joined.subscription, !joined.refused
	}
	s, _, ok := r.create(ctx, request, joined)
	return s, ok
}
