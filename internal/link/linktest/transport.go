package linktest

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
)

// Transport is the link.Transport of one instance in a Network.
type Transport struct {
	network *Network
	id      contract.InstanceID
	mu      sync.RWMutex // guards unary, streams and peers
	unary   map[link.MessageType]link.Handler
	streams map[link.MessageType]link.StreamHandler
	peers   []contract.InstanceID
	bytes   atomic.Int64
	count   atomic.Int64
}

var _ link.Transport = (*Transport)(nil)

func newTransport(n *Network, id contract.InstanceID) *Transport {
	return &Transport{
		network: n,
		id:      id,
		unary:   map[link.MessageType]link.Handler{},
		streams: map[link.MessageType]link.StreamHandler{},
	}
}

// Handle registers the handler for a message type.
func (t *Transport) Handle(kind link.MessageType, handler link.Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unary[kind] = handler
}

// HandleStream registers the stream handler for a message type.
func (t *Transport) HandleStream(kind link.MessageType, handler link.StreamHandler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams[kind] = handler
}

// SetPeers records the peers, which have no effect on the connections.
func (t *Transport) SetPeers(ids []contract.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers = slices.Clone(ids)
}

// Peers returns the peers of the last SetPeers call.
func (t *Transport) Peers() []contract.InstanceID {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Clone(t.peers)
}

// Sent returns the number of messages (requests and responses) that this instance
// has sent, and the total size of their bodies in bytes.
func (t *Transport) Sent() (messages, bytes int64) { return t.count.Load(), t.bytes.Load() }

func (t *Transport) countSent(body []byte) {
	t.count.Add(1)
	t.bytes.Add(int64(len(body)))
}

func (n *Network) lookup(id contract.InstanceID) (*Transport, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t := n.transports[id]; t != nil {
		return t, nil
	}
	return nil, errors.Wrapf(ErrNoPeer, "%s", id)
}

type result struct {
	body []byte
	err  error
}

// Request sends a request and returns the body of the response.
func (t *Transport) Request(ctx context.Context, peer contract.InstanceID, kind link.MessageType, body []byte) ([]byte, error) {
	t.countSent(body)
	results := make(chan result, 1)
	go func() { results <- t.roundTrip(ctx, peer, kind, slices.Clone(body)) }()
	select {
	case r := <-results:
		t.network.waitResumed(t.id)
		return r.body, r.err
	case <-ctx.Done():
	}
	if t.network.resumeSignal(t.id) == nil {
		return nil, ctx.Err()
	}
	t.network.waitResumed(t.id)
	r := <-results
	return r.body, r.err
}

func (t *Transport) roundTrip(ctx context.Context, peer contract.InstanceID, kind link.MessageType, body []byte) result {
	if err := t.network.deliver(ctx, t.id, peer); err != nil {
		return result{err: err}
	}
	target, err := t.network.lookup(peer)
	if err != nil {
		return result{err: err}
	}
	target.mu.RLock()
	handler := target.unary[kind]
	target.mu.RUnlock()
	if handler == nil {
		return result{err: errors.Newf("no handler for message type %q", kind)}
	}
	response, err := handler(ctx, t.id, body)
	if err == nil {
		target.countSent(response)
	}
	if lost := t.network.deliver(ctx, peer, t.id); lost != nil {
		return result{err: lost}
	}
	return result{body: response, err: err}
}

// OpenStream sends a request whose response is a stream of frames.
func (t *Transport) OpenStream(ctx context.Context, peer contract.InstanceID, kind link.MessageType, body []byte) (link.FrameReader, error) {
	t.countSent(body)
	if err := t.network.deliver(ctx, t.id, peer); err != nil {
		return nil, err
	}
	target, err := t.network.lookup(peer)
	if err != nil {
		return nil, err
	}
	target.mu.RLock()
	handler := target.streams[kind]
	target.mu.RUnlock()
	if handler == nil {
		return nil, errors.Newf("no handler for message type %q", kind)
	}
	streamCtx, cancel := context.WithCancel(ctx)
	f := &frames{received: make(chan []byte, 16), ended: make(chan struct{}), ctx: streamCtx, cancel: cancel}
	go f.run(target, t.id, slices.Clone(body), handler)
	return f, nil
}

type frames struct {
	received chan []byte
	ended    chan struct{} // closed after err is set
	err      error
	ctx      context.Context
	cancel   context.CancelFunc
}

func (f *frames) run(target *Transport, caller contract.InstanceID, body []byte, handler link.StreamHandler) {
	defer close(f.ended)
	send := func(frame []byte) error {
		target.countSent(frame)
		if err := target.network.deliver(f.ctx, target.id, caller); err != nil {
			return err
		}
		select {
		case f.received <- slices.Clone(frame):
			return nil
		case <-f.ctx.Done():
			return f.ctx.Err()
		}
	}
	f.err = handler(f.ctx, caller, body, send)
}

// Next returns the next frame, io.EOF after the last one.
func (f *frames) Next(ctx context.Context) ([]byte, error) {
	select {
	case frame := <-f.received:
		return frame, nil
	default:
	}
	select {
	case frame := <-f.received:
		return frame, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-f.ctx.Done():
		return nil, f.ctx.Err()
	case <-f.ended:
	}
	select {
	case frame := <-f.received:
		return frame, nil
	default:
	}
	if f.err != nil {
		return nil, f.err
	}
	return nil, io.EOF
}

// Close cancels the stream and its handler.
func (f *frames) Close() { f.cancel() }
