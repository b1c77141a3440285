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

// RelayMessage requests the events of a generation that a peer holds. The body
// is a RelayRequest, the response a sequence of RelayFrame.
const RelayMessage link.MessageType = "generation/relay"

// Time-outs and intervals of a relay.
const (
	// Time-out for the first frame. A caller whose holder has crashed waits for
	// all of it. Takeover from a slow holder is safe, because digests are compared.
	relayOpenTimeout = 200 * time.Millisecond
	relayKeepAlive   = 250 * time.Millisecond // between frames of the holder while there is no event
	relaySilence     = time.Second            // the holder is considered lost after this time without a frame
)

// RelayRequest names a generation and the position from which to read it.
type RelayRequest struct {
	Request      contract.RequestID  `cbor:"1,keyasint"`
	Position     contract.Position   `cbor:"2,keyasint"`
	Content      upstream.ContentKey `cbor:"3,keyasint"`
	CheckContent bool                `cbor:"4,keyasint"` // the held generation must have this Content
}

// RelayFrame carries one event, or none as a keep-alive of the holder.
type RelayFrame struct {
	Event *Event `cbor:"1,keyasint,omitempty"`
}

// Errors of relays.
var (
	ErrRelayRequestInvalid = errors.New("relay request is invalid")
	ErrRelayFrameInvalid   = errors.New("relay frame is invalid")
	ErrNotHeld             = errors.New("generation is not held here with this text")
)

// registerHandlers registers the handler for relay requests.
func (r *Registry) registerHandlers() {
	if r.config.Transport != nil {
		r.config.Transport.HandleStream(RelayMessage, r.serveRelay)
	}
}

// serveRelay streams the events of a held generation to a peer.
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
	return sendEvents(ctx, joined.subscription, send)
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

// sendEvents sends all events, and empty frames as keep-alives between them.
func sendEvents(ctx context.Context, s *Subscription, send func([]byte) error) error {
	for {
		event, err := nextOrKeepAlive(ctx, s)
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

// nextOrKeepAlive returns the next event, or nil after relayKeepAlive.
func nextOrKeepAlive(ctx context.Context, s *Subscription) (*Event, error) {
	idleCtx, cancel := context.WithTimeout(ctx, relayKeepAlive)
	defer cancel()
	event, err := s.Next(idleCtx)
	if err == nil {
		return &event, nil
	}
	return nil, ctx.Err()
}

func (e Event) final() bool { return e.Kind == EventEnd || e.Kind == EventBroken }

// relay requests the generation from the holder that the caller's locator names
// or, without a locator, from all linked peers at once.
func (r *Registry) relay(ctx context.Context, request Request) (*Subscription, bool) {
	if r.config.Transport == nil || request.Resume == nil {
		return nil, false
	}
	peers := r.relayPeers(request)
	responses := make(chan *relayReader, len(peers))
	openCtx, cancel := context.WithTimeout(ctx, relayOpenTimeout)
	defer cancel()
	for _, peer := range peers {
		go func() { responses <- r.relayFrom(openCtx, peer, request) }()
	}
	for received := range peers {
		if found := <-responses; found != nil {
			go closeRemaining(responses, len(peers)-received-1)
			return NewSubscription(found.next, found.close), true
		}
	}
	return nil, false
}

func closeRemaining(responses <-chan *relayReader, count int) {
	for range count {
		if other := <-responses; other != nil {
			other.close()
		}
	}
}

func (r *Registry) relayPeers(request Request) []contract.InstanceID {
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

// relayFrom subscribes at a peer. It returns nil if the peer does not respond in
// time or does not hold the generation.
func (r *Registry) relayFrom(openCtx context.Context, peer contract.InstanceID, request Request) *relayReader {
	body, err := cbor.Marshal(RelayRequest{
		Request: request.ID, Position: request.position(),
		Content: request.content, CheckContent: request.Prompt != "",
	})
	contract.Invariant(err == nil, "relay request cannot be encoded", "error", err)
	connection, err := openRelay(openCtx, r.config.Transport, peer, body)
	if err != nil {
		return nil
	}
	reader := newRelayReader(r, request, connection)
	if reader.open(openCtx) != nil {
		connection.close()
		return nil
	}
	return reader
}

// relayConnection reads frames in its own goroutine, so that no frame is lost
// when a call of receive times out.
type relayConnection struct {
	frames   link.FrameReader
	incoming chan incomingFrame
	cancel   context.CancelFunc
}

type incomingFrame struct {
	encoded []byte
	err     error
}

// openRelay opens the sequence of frames. openCtx limits only the opening, not
// the lifetime of the connection.
func openRelay(
	openCtx context.Context, transport link.Transport, peer contract.InstanceID, body []byte,
) (*relayConnection, error) {
	connCtx, cancel := context.WithCancel(context.WithoutCancel(openCtx))
	stop := context.AfterFunc(openCtx, cancel)
	frames, err := transport.OpenStream(connCtx, peer, RelayMessage, body)
	if err != nil {
		cancel()
		return nil, err
	}
	if !stop() {
		frames.Close()
		return nil, context.Cause(openCtx)
	}
	c := &relayConnection{frames: frames, incoming: make(chan incomingFrame, 1), cancel: cancel}
	go c.read(connCtx)
	return c, nil
}

func (c *relayConnection) read(connCtx context.Context) {
	for {
		encoded, err := c.frames.Next(connCtx)
		select {
		case c.incoming <- incomingFrame{encoded: encoded, err: err}:
		case <-connCtx.Done():
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
