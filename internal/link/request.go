package link

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// frameBufferSize is the number of frames that are buffered for a slow consumer.
const frameBufferSize = 16

// Request sends a request and returns the body of the response. On ErrUnreachable
// the request was not sent; on every other error the peer may have handled it.
func (q *QUICTransport) Request(ctx context.Context, peer contract.InstanceID, kind MessageType, body []byte) ([]byte, error) {
	c, err := q.acquire(ctx, peer)
	if err != nil {
		return nil, err
	}
	defer c.endRequest()
	packets := c.conn.ConnectionStats().PacketsReceived
	response, err := c.request(ctx, kind, body)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.handleTimeout(packets)
	}
	return response, err
}

func (c *connection) request(ctx context.Context, kind MessageType, body []byte) ([]byte, error) {
	select {
	case c.requestSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Wrapf(ErrUnreachable, "%s: %v", c.peer, ctx.Err())
	}
	defer func() { <-c.requestSlots }()
	stream, err := c.open(ctx, kind, body)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { abort(stream, streamCancelled) })
	defer stop()
	frame, err := c.readResponse(stream)
	if readEnd(stream) != nil {
		stream.CancelRead(streamCancelled)
	}
	return frame.Body, err
}

// OpenStream sends a request whose response is a stream of frames. ctx bounds only the
// sending of the request; Close cancels the stream.
func (q *QUICTransport) OpenStream(ctx context.Context, peer contract.InstanceID, kind MessageType, body []byte) (FrameReader, error) {
	c, err := q.acquire(ctx, peer)
	if err != nil {
		return nil, err
	}
	packets := c.conn.ConnectionStats().PacketsReceived
	stream, err := c.open(ctx, kind, body)
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.handleTimeout(packets)
		}
		c.endRequest()
		return nil, err
	}
	f := &frames{stream: stream, received: make(chan responseFrame, frameBufferSize), closed: make(chan struct{})}
	if !q.start(func() { f.read(c) }) {
		c.endRequest()
		return nil, errors.Wrap(ErrInterrupted, "link has stopped")
	}
	return f, nil
}

// frames implements FrameReader on a QUIC stream.
type frames struct {
	stream    *quic.Stream
	received  chan responseFrame // closed after err is set
	err       error
	closed    chan struct{}
	closeOnce sync.Once
}

func (f *frames) read(c *connection) {
	defer c.endRequest()
	defer close(f.received)
	for {
		frame, err := c.readResponse(f.stream)
		if err != nil || frame.End {
			f.err = err
			if err != nil || readEnd(f.stream) != nil {
				f.stream.CancelRead(streamCancelled)
			}
			return
		}
		select {
		case f.received <- frame:
		case <-f.closed:
			return
		case <-c.conn.Context().Done(): // unblocks if the consumer does not read
			f.err = errors.Wrapf(ErrInterrupted, "%s: connection was closed", c.peer)
			return
		}
	}
}

// Next returns the next frame, io.EOF after the last one.
func (f *frames) Next(ctx context.Context) ([]byte, error) {
	select {
	case frame, ok := <-f.received:
		if ok {
			return frame.Body, nil
		}
	case <-f.closed:
		return nil, io.ErrClosedPipe
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if f.err != nil {
		return nil, f.err
	}
	return nil, io.EOF
}

// Close cancels the stream and the peer's handler.
func (f *frames) Close() {
	f.closeOnce.Do(func() {
		close(f.closed)
		abort(f.stream, streamCancelled)
	})
}
