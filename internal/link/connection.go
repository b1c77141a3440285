package link

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Reasons for closing a connection.
const (
	codeStopping quic.ApplicationErrorCode = iota + 1
	codeRejected
	codeIdle
	codeDuplicate
	codeUnresponsive
)

// Reasons for ending a stream.
const (
	streamMalformed quic.StreamErrorCode = iota + 1
	streamCancelled
	streamBusy
)

const (
	readTimeout  = 5 * time.Second  // for receiving a whole request
	writeTimeout = 10 * time.Second // for sending a response
	maxTimeouts  = 3                // consecutive requests without a response, after which a connection is replaced
	creditBatch  = 16               // streams whose credit is returned to the peer at once
	maxErrorText = 512              // maximum bytes of an error text sent to a peer
)

// connection is a QUIC connection to another instance.
type connection struct {
	transport *QUICTransport
	peer      contract.InstanceID
	conn      *quic.Conn
	dialled   bool      // by this side
	release   func()    // closes the socket of a dialled connection; may be nil
	retiredAt time.Time // guarded by QUICTransport.mu

	active              atomic.Int64  // running requests in both directions
	lastUsed            atomic.Int64  // end of the last request in Unix nanoseconds
	incomingRequests    atomic.Int64  // running requests of the peer
	consecutiveTimeouts atomic.Int64  // own requests that timed out since the last received frame
	responded           atomic.Bool   // a frame was received
	requestSlots        chan struct{} // semaphore of own running requests

	mu              sync.Mutex     // guards finishedStreams
	finishedStreams []*quic.Stream // ended streams of the peer whose credit was not yet returned
}

func newConnection(q *QUICTransport, peer contract.InstanceID, conn *quic.Conn, dialled bool, release func()) *connection {
	c := &connection{transport: q, peer: peer, conn: conn, dialled: dialled, release: release, requestSlots: make(chan struct{}, maxRequests)}
	c.lastUsed.Store(time.Now().UnixNano())
	return c
}

func (c *connection) beginRequest() { c.active.Add(1) }

func (c *connection) endRequest() {
	c.lastUsed.Store(time.Now().UnixNano())
	c.active.Add(-1)
}

// idleTime returns the time since the end of the last request, 0 while one is running.
func (c *connection) idleTime(now time.Time) time.Duration {
	if c.active.Load() > 0 {
		return 0
	}
	return now.Sub(time.Unix(0, c.lastUsed.Load()))
}

func (c *connection) close(code quic.ApplicationErrorCode, reason string) {
	_ = c.conn.CloseWithError(code, reason)
}

// cleanUp adds the statistics of a closed connection to the counters and closes
// its socket.
func (c *connection) cleanUp() {
	stats := c.conn.ConnectionStats()
	c.transport.counters.wireIn.Add(int64(stats.BytesReceived))
	c.transport.counters.wireOut.Add(int64(stats.BytesSent))
	c.transport.counters.packetsIn.Add(int64(stats.PacketsReceived))
	c.transport.counters.packetsOut.Add(int64(stats.PacketsSent))
	if c.release != nil {
		c.release()
	}
}

// handleTimeout closes the connection after a request has timed out if the
// connection is dead rather than the request slow: no packet arrived since the
// start of the request, or maxTimeouts consecutive requests had no response. The
// latter detects a connection that is lost in one direction only.
func (c *connection) handleTimeout(packets uint64) {
	dead := c.consecutiveTimeouts.Add(1) >= maxTimeouts || c.conn.ConnectionStats().PacketsReceived == packets
	if !dead || c.conn.Context().Err() != nil {
		return
	}
	c.transport.counters.unresponsive.Add(1)
	c.transport.log.WithField("peer", c.peer).Info("closing unresponsive connection to a peer")
	c.transport.detach(c)
	c.close(codeUnresponsive, "silent")
}

// serve handles the peer's requests until the connection is closed.
func (c *connection) serve() {
	ctx := c.conn.Context()
	for {
		stream, err := c.conn.AcceptStream(ctx)
		if err != nil {
			break
		}
		c.beginRequest()
		c.transport.running.Go(func() {
			defer c.endRequest()
			c.handle(stream)
			c.returnCredit(stream)
		})
	}
	c.transport.detach(c)
	c.cleanUp()
}

// returnCredit allows the peer to open further streams. It returns credit in
// batches because the QUIC library sends credit in a separate packet. Per stream,
// that packet and its acknowledgement would be two of five packets of an exchange.
func (c *connection) returnCredit(stream *quic.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishedStreams = append(c.finishedStreams, stream)
	if len(c.finishedStreams) < creditBatch {
		return
	}
	for _, s := range c.finishedStreams {
		s.ReleaseStreamCredit()
	}
	clear(c.finishedStreams)
	c.finishedStreams = c.finishedStreams[:0]
}

// handle reads a request and responds to it. An invalid request ends only its stream.
func (c *connection) handle(stream *quic.Stream) {
	q := c.transport
	_ = stream.SetReadDeadline(time.Now().Add(readTimeout))
	var request requestFrame
	n, err := readFrame(stream, &request)
	q.counters.countIn(n)
	if err == nil {
		err = readEnd(stream)
	}
	if err != nil {
		if !endedByPeer(err) {
			q.recordRejectedMessage(c.peer, "", err)
		}
		abort(stream, streamMalformed)
		return
	}
	if handler := q.streams[request.Kind]; handler != nil {
		c.respondStream(stream, request, handler)
		return
	}
	if c.incomingRequests.Add(1) > maxRequests {
		c.incomingRequests.Add(-1)
		q.recordRejectedMessage(c.peer, request.Kind, errors.New("too many concurrent requests"))
		abort(stream, streamBusy)
		return
	}
	defer c.incomingRequests.Add(-1)
	c.respondUnary(stream, request)
}

func (c *connection) respondUnary(stream *quic.Stream, request requestFrame) {
	q := c.transport
	var response responseFrame
	handler := q.unary[request.Kind]
	if handler == nil {
		err := errors.Newf("message type %.64q is not known", request.Kind)
		q.recordRejectedMessage(c.peer, "", err)
		response.Error = err.Error()
	} else if body, err := handler(stream.Context(), c.peer, request.Body); err != nil {
		q.recordRejectedMessage(c.peer, request.Kind, err)
		response.Error = errorText(err)
	} else {
		response.Body = body
	}
	_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.writeLastFrame(stream, response)
}

func (c *connection) respondStream(stream *quic.Stream, request requestFrame, handler StreamHandler) {
	send := func(frame []byte) error {
		n, err := writeFrame(stream, responseFrame{Body: frame})
		c.transport.counters.countOut(n)
		return err
	}
	err := handler(stream.Context(), c.peer, request.Body, send)
	last := responseFrame{End: true}
	if err != nil {
		last.Error = errorText(err)
	}
	_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.writeLastFrame(stream, last)
}

// writeLastFrame writes the last frame of a stream and closes it.
func (c *connection) writeLastFrame(stream *quic.Stream, frame responseFrame) {
	n, err := writeFrame(stream, frame)
	c.transport.counters.countOut(n)
	if err != nil {
		abort(stream, streamCancelled)
		return
	}
	_ = stream.Close()
}

// readEnd reads the end of a stream, which usually arrives with the last frame.
// Cancelling the stream instead would cost an additional packet per request.
func readEnd(stream io.Reader) error {
	var rest [1]byte
	n, err := stream.Read(rest[:])
	if n > 0 {
		return errors.Wrap(ErrMalformed, "trailing bytes after the last frame")
	}
	if err == io.EOF {
		return nil
	}
	return err
}

// endedByPeer reports whether a read failed because the peer cancelled its request
// or the connection was closed, in which case the message is not malformed.
func endedByPeer(err error) bool {
	var reset *quic.StreamError
	var closed *quic.ApplicationError
	var idle *quic.IdleTimeoutError
	return errors.As(err, &reset) || errors.As(err, &closed) || errors.As(err, &idle)
}

func abort(stream *quic.Stream, code quic.StreamErrorCode) {
	stream.CancelRead(code)
	stream.CancelWrite(code)
}

func errorText(err error) string {
	text := err.Error()
	if text == "" {
		text = "unknown error"
	}
	return text[:min(len(text), maxErrorText)]
}

// open sends a request on a new stream.
func (c *connection) open(ctx context.Context, kind MessageType, body []byte) (*quic.Stream, error) {
	stream, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "%s: %v", c.peer, err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetWriteDeadline(deadline)
	}
	n, err := writeFrame(stream, requestFrame{Kind: kind, Body: body})
	c.transport.counters.countOut(n)
	if errors.Is(err, ErrFrameTooLarge) {
		abort(stream, streamCancelled)
		return nil, err
	}
	if err != nil {
		abort(stream, streamCancelled)
		return nil, errors.Wrapf(ErrInterrupted, "%s: %v", c.peer, err)
	}
	return stream, stream.Close()
}

// readResponse reads the next frame of a response.
func (c *connection) readResponse(stream io.Reader) (responseFrame, error) {
	var frame responseFrame
	n, err := readFrame(stream, &frame)
	c.transport.counters.countIn(n)
	if n > 0 {
		c.consecutiveTimeouts.Store(0)
		c.transport.resetBackoff(c)
	}
	switch {
	case errors.Is(err, ErrMalformed), errors.Is(err, ErrFrameTooLarge):
		c.transport.recordRejectedMessage(c.peer, "", err)
		return frame, err
	case err != nil:
		return frame, errors.Wrapf(ErrInterrupted, "%s: %v", c.peer, err)
	case frame.Error != "":
		return frame, errors.Wrapf(ErrRejected, "%s: %s", c.peer, frame.Error)
	}
	return frame, nil
}
