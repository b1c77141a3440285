package upstreamtest

import (
	"context"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// connection is one connection to a stream; its fields are guarded by the
// engine's lock.
type connection struct {
	engine         *FakeEngine
	stream         *fakeStream
	incarnation    upstream.Incarnation
	next           int64
	expectedDigest contract.PrefixDigest // digest that the stream must have at offset next; "" once checked
	silent         bool
	closed         bool
	ended          bool
	skip           bool // drop the next token
	duplicate      bool // send the next token twice
	injected       []upstream.StreamEvent
}

var _ upstream.Stream = (*connection)(nil)

// connect opens a connection; the caller holds the engine's lock.
func (e *FakeEngine) connect(s *fakeStream, from int64, expectedDigest contract.PrefixDigest) *connection {
	c := &connection{engine: e, stream: s, incarnation: e.currentIncarnation(), next: from, expectedDigest: expectedDigest}
	e.connections = append(e.connections, c)
	return c
}

// Incarnation returns the incarnation of the engine when the connection opened.
func (c *connection) Incarnation() upstream.Incarnation { return c.incarnation }

// Next returns the next event.
func (c *connection) Next(ctx context.Context) (upstream.StreamEvent, error) {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	for {
		if c.closed || c.ended {
			return upstream.StreamEvent{}, upstream.ErrConnectionLost
		}
		if !c.engine.paused && !c.silent {
			event, ready, err := c.nextEvent()
			if ready || err != nil {
				return event, err
			}
		}
		if err := c.engine.wait(ctx); err != nil {
			return upstream.StreamEvent{}, err
		}
	}
}

// Close closes the connection and keeps the stream.
func (c *connection) Close() {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	c.closed = true
	c.engine.broadcast()
}

func (c *connection) nextEvent() (upstream.StreamEvent, bool, error) {
	if len(c.injected) > 0 {
		event := c.injected[0]
		c.injected = c.injected[1:]
		return event, true, nil
	}
	if c.next >= int64(len(c.stream.positions)) {
		return upstream.StreamEvent{}, false, nil
	}
	if c.expectedDigest != "" && c.stream.positions[c.next] != c.expectedDigest {
		return upstream.StreamEvent{}, false, upstream.ErrPrefixMismatch
	}
	c.expectedDigest = ""
	length := int64(len(c.stream.texts))
	if c.skip && c.next < length {
		c.skip = false
		c.next++
	}
	event := upstream.StreamEvent{Stream: c.stream.request.Stream, Request: c.stream.request.Request}
	switch {
	case c.next < length:
		event.Token = contract.Token{Offset: c.next, Text: c.stream.texts[c.next]}
		if c.duplicate {
			c.duplicate = false
			c.injected = append(c.injected, event)
		}
		c.next++
		return event, true, nil
	case c.stream.done:
		c.ended = true
		event.End = true
		event.TokenCount = length
		return event, true, nil
	default:
		return upstream.StreamEvent{}, false, nil
	}
}
