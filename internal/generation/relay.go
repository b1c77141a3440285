package generation

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// RelayMessage asks a peer for the events of a generation that it holds. The
// body is a RelayRequest, the answer a sequence of RelayFrame.
const RelayMessage link.MessageType = "generation/relay"

// Times of a relay.
const (
	relayOpenTimeout = 500 * time.Millisecond // until the first frame of a peer
	relayKeepAlive   = 250 * time.Millisecond // between frames of the holder when no event comes
	relaySilence     = time.Second            // without a frame the holder is taken as lost
)

// RelayRequest names a generation and the position from which to read it.
type RelayRequest struct {
	Request      contract.RequestID  `cbor:"1,keyasint"`
	Position     contract.Position   `cbor:"2,keyasint"`
	Content      upstream.ContentKey `cbor:"3,keyasint"`
	CheckContent bool                `cbor:"4,keyasint"` // Content must be that of the held generation
}

// RelayFrame is one event, or none to show that the holder is alive.
type RelayFrame struct {
	Event *Event `cbor:"1,keyasint,omitempty"`
}

// Errors of relays.
var (
	ErrRelayRequestInvalid = errors.New("relay request is invalid")
	ErrRelayFrameInvalid   = errors.New("relay frame is invalid")
	ErrNotHeld             = errors.New("generation is not held here with this text")
)

// handle registers the handler for relays.
func (r *Registry) handle() {
	if r.config.Transport != nil {
		r.config.Transport.HandleStream(RelayMessage, r.serveRelay)
	}
}

// serveRelay sends the events of a held generation to a peer.
func (r *Registry) serveRelay(
	ctx context.Context, _ contract.InstanceID, body []byte, send func([]byte) error,
) error {
	var request RelayRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		return errors.Mark(err, ErrRelayRequestInvalid)
	}
	if err := request.check(); err != nil {
		return err
	}
	joined := r.join(request.Request, request.Position, request.Content, request.CheckContent)
	if joined.subscription == nil {
		return ErrNotHeld
	}
	defer joined.subscription.Close()
	return forward(ctx, joined.subscription, send)
}

func (r RelayRequest) check() error {
	if err := contract.CheckKey(r.Request.Key); err != nil {
		return errors.Mark(err, ErrRelayRequestInvalid)
	}
	if _, err := contract.ParsePosition(r.Position.String()); err != nil {
		return errors.Mark(err, ErrRelayRequestInvalid)
	}
	return nil
}

// forward sends all events, and empty frames while there is none.
func forward(ctx context.Context, s *Subscription, send func([]byte) error) error {
	for {
		event, err := nextOrIdle(ctx, s)
		if err != nil {
			return err
		}
		frame, err := cbor.Marshal(RelayFrame{Event: event})
		contract.Invariant(err == nil, "relay frame cannot be encoded", "error", err)
		if err := send(frame); err != nil {
			return err
		}
		if event != nil && event.final() {
			return nil
		}
	}
}

// nextOrIdle returns the next event, nil if there is none for a while.
func nextOrIdle(ctx context.Context, s *Subscription) (*Event, error) {
	idle, cancel := context.WithTimeout(ctx, relayKeepAlive)
	defer cancel()
	event, err := s.Next(idle)
	if err == nil {
		return &event, nil
	}
	return nil, ctx.Err()
}

func (e Event) final() bool { return e.Kind == EventEnd || e.Kind == EventBroken }

// relay looks for the generation at the holder that the caller's locator names
// or, without one, at all linked peers.
func (r *Registry) relay(ctx context.Context, request Request) (*Subscription, bool) {
	if r.config.Transport == nil || request.Resume == nil {
		return nil, false
	}
	for _, peer := range r.candidates(request) {
		if s, found := r.relayFrom(ctx, peer, request); found {
			return s, true
		}
	}
	return nil, false
}

func (r *Registry) candidates(request Request) []contract.InstanceID {
	locator, err := DecodeLocator(request.Resume.Locator)
	if err == nil && locator.Holder == r.config.Instance {
		return nil
	}
	if err == nil {
		return []contract.InstanceID{locator.Holder}
	}
	if r.config.Peers == nil {
		return nil
	}
	return r.config.Peers()
}

// relayFrom subscribes at a peer; found is false if it does not answer in time
// or does not hold the generation.
func (r *Registry) relayFrom(ctx context.Context, peer contract.InstanceID, request Request) (*Subscription, bool) {
	body, err := cbor.Marshal(RelayRequest{
		Request: request.ID, Position: request.position(),
		Content: ContentOf(request), CheckContent: request.Prompt != "",
	})
	contract.Invariant(err == nil, "relay request cannot be encoded", "error", err)
	opening, cancel := context.WithTimeout(ctx, relayOpenTimeout)
	defer cancel()
	// The sequence of frames outlives the time limit of its opening.
	frames, err := openFrames(opening, context.WithoutCancel(ctx), r.config.Transport, peer, body)
	if err != nil {
		return nil, false
	}
	relayed := &relayed{registry: r, request: request, frames: frames, position: request.position()}
	relayed.texts, relayed.complete = request.received()
	first, err := relayed.receive(opening)
	if err != nil {
		frames.Close()
		return nil, false
	}
	relayed.first = &first
	return NewSubscription(relayed.next, relayed.close), true
}

// openFrames opens a sequence of frames within the time limit of one context;
// the sequence itself lives until it is closed.
func openFrames(
	opening, life context.Context, transport link.Transport, peer contract.InstanceID, body []byte,
) (link.Frames, error) {
	life, cancel := context.WithCancel(life)
	stop := context.AfterFunc(opening, cancel)
	frames, err := transport.Open(life, peer, RelayMessage, body)
	if !stop() && err == nil {
		frames.Close()
		err = context.Cause(opening)
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return &framesWithCancel{Frames: frames, cancel: cancel}, nil
}

type framesWithCancel struct {
	link.Frames
	cancel context.CancelFunc
}

// Close closes the frames and ends their context.
func (f *framesWithCancel) Close() {
	f.Frames.Close()
	f.cancel()
}
