package generation_test

import (
	"context"
	"io"
	"sync"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// fakeLinks connects instances in memory.
type fakeLinks struct {
	mu       sync.Mutex // guards all fields below
	handlers map[contract.InstanceID]map[link.MessageType]link.StreamHandler
	down     chan struct{} // closed once the links are cut
	silent   bool          // frames are dropped
}

func newFakeLinks() *fakeLinks {
	return &fakeLinks{
		handlers: map[contract.InstanceID]map[link.MessageType]link.StreamHandler{},
		down:     make(chan struct{}),
	}
}

// sever cuts all links permanently.
func (l *fakeLinks) sever() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.down)
}

// silence drops all further frames.
func (l *fakeLinks) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
}

func (l *fakeLinks) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

func (l *fakeLinks) transport(id contract.InstanceID) link.Transport {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers[id] = map[link.MessageType]link.StreamHandler{}
	return &fakeTransport{links: l, id: id}
}

type fakeTransport struct {
	links *fakeLinks
	id    contract.InstanceID
}

func (t *fakeTransport) Request(context.Context, contract.InstanceID, link.MessageType, []byte) ([]byte, error) {
	return nil, upstream.ErrUnreachable
}

func (t *fakeTransport) Handle(link.MessageType, link.Handler) {}

func (t *fakeTransport) HandleStream(kind link.MessageType, handler link.StreamHandler) {
	t.links.mu.Lock()
	defer t.links.mu.Unlock()
	t.links.handlers[t.id][kind] = handler
}

func (t *fakeTransport) OpenStream(
	_ context.Context, peer contract.InstanceID, kind link.MessageType, body []byte,
) (link.FrameReader, error) {
	t.links.mu.Lock()
	handler := t.links.handlers[peer][kind]
	t.links.mu.Unlock()
	select {
	case <-t.links.down:
		return nil, upstream.ErrUnreachable
	default:
	}
	if handler == nil {
		return nil, upstream.ErrUnreachable
	}
	ctx, cancel := context.WithCancel(context.Background())
	frames := &fakeFrames{links: t.links, frames: make(chan []byte), cancel: cancel}
	go func() {
		defer close(frames.frames)
		_ = handler(ctx, t.id, body, func(frame []byte) error {
			select {
			case frames.frames <- frame:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()
	return frames, nil
}

type fakeFrames struct {
	links  *fakeLinks
	frames chan []byte
	cancel context.CancelFunc
}

func (f *fakeFrames) Next(ctx context.Context) ([]byte, error) {
	for {
		select {
		case frame, ok := <-f.frames:
			if !ok {
				return nil, io.EOF
			}
			if !f.links.isSilent() {
				return frame, nil
			}
		case <-f.links.down:
			return nil, upstream.ErrConnectionLost
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (f *fakeFrames) Close() { f.cancel() }
