package generation

import (
	"context"
	"sync"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	// EventStart is the first event, sent once an engine has accepted the request.
	// A generation that ends before that has no start event.
	EventStart EventKind = "start"
	// EventToken carries the next token.
	EventToken EventKind = "token"
	// EventAttempt carries the locator of the new current attempt.
	EventAttempt EventKind = "attempt"
	// EventEnd carries the verdict and is the last event.
	EventEnd EventKind = "end"
	// EventBroken ends the subscription without a verdict. The caller should
	// reconnect with its position.
	EventBroken EventKind = "broken"
)

// Event is one event of a subscription.
type Event struct {
	Kind       EventKind         `cbor:"1,keyasint"`
	Position   contract.Position `cbor:"2,keyasint"` // after the event
	Text       string            `cbor:"3,keyasint,omitempty"`
	Locator    string            `cbor:"4,keyasint,omitempty"` // start, attempt
	Pin        upstream.ModelPin `cbor:"5,keyasint"`           // start, attempt
	Verdict    contract.Verdict  `cbor:"6,keyasint"`           // end
	TokenCount int64             `cbor:"7,keyasint,omitempty"` // end: tokens of the whole text
	Checksum   string            `cbor:"8,keyasint,omitempty"` // end: SHA-256 of the whole text in hex
}

// Subscription reads the events of a generation from a position. Next must be
// called by one goroutine at a time.
type Subscription struct {
	next  func(ctx context.Context) (Event, error)
	close func()
	once  sync.Once
}

// NewSubscription returns a subscription with the given functions; close is
// called once.
func NewSubscription(next func(ctx context.Context) (Event, error), close func()) *Subscription {
	return &Subscription{next: next, close: close}
}

// Next waits for the next event. Its error is that of ctx. It must not be
// called after EventEnd or EventBroken.
func (s *Subscription) Next(ctx context.Context) (Event, error) { return s.next(ctx) }

// Close ends the subscription. The generation continues for its grace period.
func (s *Subscription) Close() { s.once.Do(s.close) }

// cursor is the read position of a subscription in a held generation.
type cursor struct {
	generation *Generation
	position   contract.Position
	digester   *contract.Digester // independent of the generation's digester; nil until started
	nextSwitch int
	ended      bool
}

func (c *cursor) next(ctx context.Context) (Event, error) {
	contract.Invariant(!c.ended, "subscription read after its end", "request", c.generation.request.ID)
	for {
		event, ready, changed := c.poll()
		if ready {
			return event, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Event{}, ctx.Err()
		}
	}
}

func (c *cursor) poll() (Event, bool, <-chan struct{}) {
	g := c.generation
	g.mu.Lock()
	defer g.mu.Unlock()
	event, ready := c.nextEvent(g)
	c.ended = event.Kind == EventEnd || event.Kind == EventBroken
	return event, ready, g.changed
}

// nextEvent returns the next event; the caller holds the generation's lock.
func (c *cursor) nextEvent(g *Generation) (Event, bool) {
	if g.replaced {
		return Event{Kind: EventBroken, Position: c.position}, true
	}
	if c.digester == nil {
		return c.startEvent(g)
	}
	if c.nextSwitch < len(g.attemptSwitches) && g.attemptSwitches[c.nextSwitch].offset <= c.position.Offset {
		c.nextSwitch++
		return c.locatorEvent(g, EventAttempt), true
	}
	if c.position.Offset < g.length() {
		return c.tokenEvent(g), true
	}
	if g.verdict != nil {
		return c.endEvent(g, *g.verdict), true
	}
	return Event{}, false
}

// startEvent returns the first event once the text reaches the caller's position.
func (c *cursor) startEvent(g *Generation) (Event, bool) {
	reached := c.position.Offset <= g.length()
	if !reached || len(g.attemptSwitches) == 0 {
		if g.verdict == nil {
			return Event{}, false
		}
		return c.endEvent(g, *g.verdict), true
	}
	if !g.matches(c.position) {
		return c.endEvent(g, contract.Verdict{Outcome: contract.Interrupted, Reason: contract.ReasonPrefixMismatch}), true
	}
	c.digester = g.digesterAt(c.position.Offset)
	c.nextSwitch = len(g.attemptSwitches)
	return c.locatorEvent(g, EventStart), true
}

func (c *cursor) locatorEvent(g *Generation, kind EventKind) Event {
	return Event{Kind: kind, Position: c.position, Locator: g.attemptSwitches[c.nextSwitch-1].locator, Pin: g.pin}
}

func (c *cursor) tokenEvent(g *Generation) Event {
	text := g.texts[c.position.Offset-g.base]
	c.digester.Add(text)
	after := contract.Position{Offset: c.position.Offset + 1, Digest: c.digester.PrefixDigest()}
	contract.Invariant(g.matches(after), "delivered text differs from the held text",
		"request", g.request.ID, "position", after)
	contract.Invariant(c.digester.Tokens() == after.Offset, "delivered offset is not the next",
		"request", g.request.ID, "position", after, "delivered", c.digester.Tokens())
	c.position = after
	return Event{Kind: EventToken, Position: after, Text: text}
}

func (c *cursor) endEvent(g *Generation, verdict contract.Verdict) Event {
	g.endDelivered = true
	return Event{
		Kind: EventEnd, Position: c.position, Verdict: verdict,
		TokenCount: g.length(), Checksum: g.digester.Checksum(),
	}
}
