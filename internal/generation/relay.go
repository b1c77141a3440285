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
	// Until the first frame of a peer. A caller whose holder was killed waits
	// for all of it; a takeover from a slow holder is safe, as digests are compared.
	relayOpenTimeout = 200 * time.Millisecond
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
		return errors.Wrapf(ErrRelayRequestInvalid, "%v", err)
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
		return errors.Wrapf(ErrRelayRequestInvalid, "%v", err)
	}
	if _, err := contract.ParsePosition(r.Position.String()); err != nil {
		return errors.Wrapf(ErrRelayRequestInvalid, "%v", err)
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
// or, without one, at all linked peers at once.
func (r *Registry) relay(ctx context.Context, request Request) (*Subscription, bool) {
	if r.config.Transport == nil || request.Resume == nil {
		return nil, false
	}
	peers := r.candidates(request)
	answers := make(chan *relayed, len(peers))
	opening, cancel := context.WithTimeout(ctx, relayOpenTimeout)
	defer cancel()
	for _, peer := range peers {
		go func() { answers <- r.relayFrom(opening, peer, request) }()
	}
	for asked := range peers {
		if found := <-answers; found != nil {
			go closeOthers(answers, len(peers)-asked-1)
			return NewSubscription(found.next, found.close), true
		}
	}
	return nil, false
}

func closeOthers(answers <-chan *relayed, count int) {
	for range count {
		if other := <-answers; other != nil {
			other.close()
		}
	}
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

// relayFrom subscribes at a peer; nil if it does not answer in time or does not
// hold the generation.
func (r *Registry) relayFrom(opening context.Context, peer contract.InstanceID, request Request) *relayed {
	body, err := cbor.Marshal(RelayRequest{
		Request: request.ID, Position: request.position(),
		Content: request.content, CheckContent: request.Prompt != "",
	})
	contract.Invariant(err == nil, "relay request cannot be encoded", "error", err)
	connection, err := openRelay(opening, r.config.Transport, peer, body)
	if err != nil {
		return nil
	}
	relayed := newRelayed(r, request, connection)
	if relayed.open(opening) != nil {
		connection.close()
		return nil
	}
	return relayed
}

// relayConnection reads frames in its own goroutine, so that a reader that
// gives up waiting loses none.
type relayConnection struct {
	frames   link.Frames
	incoming chan incomingFrame
	cancel   context.CancelFunc
}

type incomingFrame struct {
	encoded []byte
	err     error
}

// openRelay opens the sequence of frames; opening limits only the wait for that.
func openRelay(
	opening context.Context, transport link.Transport, peer contract.InstanceID, body []byte,
) (*relayConnection, error) {
	life, cancel := context.WithCancel(context.WithoutCancel(opening))
	stop := context.AfterFunc(opening, cancel)
	frames, err := transport.Open(life, peer, RelayMessage, body)
	if err != nil {
		cancel()
		return nil, err
	}
	if !stop() {
		frames.Close()
		return nil, context.Cause(opening)
	}
	c := &relayConnection{frames: frames, incoming: make(chan incomingFrame, 1), cancel: cancel}
	go c.read(life)
	return c, nil
}

func (c *relayConnection) read(life context.Context) {
	for {
		encoded, err := c.frames.Next(life)
		select {
		case c.incoming <- incomingFrame{encoded: encoded, err: err}:
		case <-life.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

func (c *relayConnection) close() {
	c.cancel()
	c.frames.Close()
}

// receive waits for the next frame.
func (c *relayConnection) receive(ctx context.Context) (RelayFrame, error) {
	select {
	case in := <-c.incoming:
		if in.err != nil {
			return RelayFrame{}, in.err
		}
		var frame RelayFrame
		if err := cbor.Unmarshal(in.encoded, &frame); err != nil {
			return RelayFrame{}, errors.Wrapf(ErrRelayFrameInvalid, "%v", err)
		}
		return frame, nil
	case <-ctx.Done():
		return RelayFrame{}, ctx.Err()
	}
}
