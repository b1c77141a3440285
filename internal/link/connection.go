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
	readTimeout  = 5 * time.Second  // for a whole request to arrive
	writeTimeout = 10 * time.Second // for an answer to be taken
	maxTimeouts  = 3                // requests in a row without an answer, after which a connection is replaced
	creditBatch  = 16               // streams whose credit is returned to the peer at a time
	maxErrorText = 512              // bytes of an error that is sent to a peer
)

// connection is one QUIC connection to an instance.
type connection struct {
	link      *QUIC
	peer      contract.InstanceID
	conn      *quic.Conn
	dialled   bool      // by this side
	release   func()    // frees the socket of a dialled connection; may be nil
	retiredAt time.Time // guarded by QUIC.mu

	active              atomic.Int64  // requests in both directions
	lastUsed            atomic.Int64  // Unix nanoseconds, at the end of the last request
	incomingRequests    atomic.Int64  // requests of the peer that run
	consecutiveTimeouts atomic.Int64  // own requests without an answer since the last frame that arrived
	responded           atomic.Bool   // a frame has arrived
	requestSlots        chan struct{} // own requests that run

	mu              sync.Mutex     // guards finished
	finishedStreams []*quic.Stream // streams of the peer whose credit was not returned yet
}

func newConnection(q *QUIC, peer contract.InstanceID, conn *quic.Conn, dialled bool, release func()) *connection {
	c := &connection{link: q, peer: peer, conn: conn, dialled: dialled, release: release, requestSlots: make(chan struct{}, maxRequests)}
	c.lastUsed.Store(time.Now().UnixNano())
	return c
}

func (c *connection) beginRequest() { c.active.Add(1) }

func (c *connection) endRequest() {
	c.lastUsed.Store(time.Now().UnixNano())
	c.active.Add(-1)
}

// idleTime returns how long no request has run, 0 if one runs.
func (c *connection) idleTime(now time.Time) time.Duration {
	if c.active.Load() > 0 {
		return 0
	}
	return now.Sub(time.Unix(0, c.lastUsed.Load()))
}

func (c *connection) close(code quic.ApplicationErrorCode, reason string) {
	_ = c.conn.CloseWithError(code, reason)
}

// cleanUp frees what belongs to a connection that has ended.
func (c *connection) cleanUp() {
	stats := c.conn.ConnectionStats()
	c.link.counters.wireIn.Add(int64(stats.BytesReceived))
	c.link.counters.wireOut.Add(int64(stats.BytesSent))
	c.link.counters.packetsIn.Add(int64(stats.PacketsReceived))
	c.link.counters.packetsOut.Add(int64(stats.PacketsSent))
	if c.release != nil {
		c.release()
	}
}

// handleTimeout closes the connection if it is dead, and not only the request slow:
// no packet has arrived since packets were counted, or several requests in a
// row had no answer. The latter occurs where only one direction is lost.
func (c *connection) handleTimeout(packets uint64) {
	dead := c.consecutiveTimeouts.Add(1) >= maxTimeouts || c.conn.ConnectionStats().PacketsReceived == packets
	if !dead || c.conn.Context().Err() != nil {
		return
	}
	c.link.counters.unresponsive.Add(1)
	c.link.log.WithField("peer", c.peer).Info("replacing a silent connection")
	c.link.detach(c)
	c.close(codeUnresponsive, "silent")
}

// serve handles the peer's requests until the connection ends.
func (c *connection) serve() {
	ctx := c.conn.Context()
	for {
		stream, err := c.conn.AcceptStream(ctx)
		if err != nil {
			break
		}
		c.beginRequest()
		c.link.running.Go(func() {
			defer c.endRequest()
			c.handle(stream)
			c.returnCredit(stream)
		})
	}
	c.link.detach(c)
	c.cleanUp()
}

// returnCredit allows the peer to open further streams. Credit is returned in
// batches: the library sends it in a packet of its own, and with the
// acknowledgement it would cost two of five packets of an exchange.
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

// handle reads one request and answers it. Whatever is wrong with the request
// ends this stream only.
func (c *connection) handle(stream *quic.Stream) {
	q := c.link
	_ = stream.SetReadDeadline(time.Now().Add(readTimeout))
	var request requestFrame
	n, err := readFrame(stream, &request)
	q.counters.in(n)
	if err == nil {
		err = readEnd(stream)
	}
	if err != nil {
		if !endedByPeer(err) {
			q.rejectedMessage(c.peer, "", err)
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
		q.rejectedMessage(c.peer, request.Kind, errors.New("too many requests at a time"))
		abort(stream, streamBusy)
		return
	}
	defer c.incomingRequests.Add(-1)
	c.respondUnary(stream, request)
}

func (c *connection) respondUnary(stream *quic.Stream, request requestFrame) {
	q := c.link
	var response responseFrame
	handler := q.unary[request.Kind]
	if handler == nil {
		err := errors.Newf("message type %.64q is not known", request.Kind)
		q.rejectedMessage(c.peer, "", err)
		response.Error = err.Error()
	} else if body, err := handler(stream.Context(), c.peer, request.Body); err != nil {
		q.rejectedMessage(c.peer, request.Kind, err)
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
		c.link.counters.out(n)
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
	c.link.counters.out(n)
	if err != nil {
		abort(stream, streamCancelled)
		return
	}
	_ = stream.Close()
}

// readEnd reads the end of a stream, which usually has arrived with the last
// frame. Cancelling the stream instead would cost a packet per request.
func readEnd(stream io.Reader) error {
	var rest [1]byte
	n, err := stream.Read(rest[:])
	if n > 0 {
		return errors.Wrap(ErrMalformed, "bytes follow the last frame")
	}
	if err == io.EOF {
		return nil
	}
	return err
}

// endedByPeer reports whether a read failed because the peer cancelled its
// request or the connection ended, which is not a fault of the message.
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
	c.link.counters.out(n)
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

// readResponse reads the next frame of an answer.
func (c *connection) readResponse(stream io.Reader) (responseFrame, error) {
	var frame responseFrame
	n, err := readFrame(stream, &frame)
	c.link.counters.in(n)
	if n > 0 {
		c.consecutiveTimeouts.Store(0)
		c.link.resetBackoff(c)
	}
	switch {
	case errors.Is(err, ErrMalformed), errors.Is(err, ErrFrameTooLarge):
		c.link.rejectedMessage(c.peer, "", err)
		return frame, err
	case err != nil:
		return frame, errors.Wrapf(ErrInterrupted, "%s: %v", c.peer, err)
	case frame.Error != "":
		return frame, errors.Wrapf(ErrRefused, "%s: %s", c.peer, frame.Error)
	}
	return frame, nil
}
