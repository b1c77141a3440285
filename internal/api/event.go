// Package api defines the parts of the HTTP interface that are not generated:
// the server-sent events of a generation and the mapping of outcomes to HTTP
// statuses.
//
// The package must never decide the outcome of a request; it only encodes it.
package api

import (
	"encoding/json"
	"io"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	sse "github.com/tmaxmax/go-sse"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// EventType is the type of a server-sent event of a generation's stream.
type EventType string

// The event types, in the order in which they occur: one start, any number of
// tokens and attempts, one end.
const (
	EventStart   EventType = "start"
	EventToken   EventType = "token"
	EventAttempt EventType = "attempt"
	EventEnd     EventType = "end"
)

// KeepAliveInterval is the longest time between two writes to a stream. A caller
// that receives nothing for several intervals should reconnect: the connection
// may be lost without having been closed (half-open).
const KeepAliveInterval = 500 * time.Millisecond

// keepAlive is an SSE comment, which readers of server-sent events ignore.
const keepAlive = ":\n\n"

// StartEvent is the first event of each connection.
type StartEvent struct {
	Request contract.RequestID `json:"request"`
	Model   string             `json:"model"`
	Version string             `json:"version"`
	Locator string             `json:"locator"` // sent back by the caller when it reconnects
}

// TokenEvent carries one token.
type TokenEvent struct {
	Text string `json:"text"`
}

// AttemptEvent reports that the generation continues on another engine.
type AttemptEvent struct {
	Locator string `json:"locator"` // replaces the locator of the start event
}

// EndEvent is the last event of a generation; the caller must not reconnect.
type EndEvent struct {
	Outcome      contract.Outcome `json:"outcome"`
	Reason       contract.Reason  `json:"reason,omitempty"`
	RetryAfterMS int64            `json:"retry_after_ms,omitempty"`
	TokenCount   int64            `json:"count"`            // tokens of the full text
	SHA256       string           `json:"sha256,omitempty"` // checksum of the full text, in hex; set if completed
}

// Event is a decoded event of a stream.
type Event struct {
	Type     EventType
	Position contract.Position // position after this event; not set for EventEnd
	Start    StartEvent
	Token    TokenEvent
	Attempt  AttemptEvent
	End      EndEvent
}

// ErrInvalidEvent reports an event that cannot be decoded.
var ErrInvalidEvent = errors.New("invalid stream event")

// ErrInvalidUTF8 reports a token that is not valid UTF-8. JSON encoding would
// replace the invalid bytes, and the text would no longer match its digest.
var ErrInvalidUTF8 = errors.New("token text is not valid UTF-8")

// WriteEvent writes one event. payload is the event struct that belongs to kind.
func WriteEvent(w io.Writer, kind EventType, position contract.Position, payload any) error {
	if token, ok := payload.(TokenEvent); ok && !utf8.ValidString(token.Text) {
		return errors.Wrapf(ErrInvalidUTF8, "at %s", position)
	}
	data, err := json.Marshal(payload)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	message := sse.Message{Type: sse.Type(string(kind))}
	if kind != EventEnd {
		message.ID = sse.ID(position.String())
	}
	message.AppendData(string(data))
	_, err = message.WriteTo(w)
	return err
}

// WriteKeepAlive writes an SSE comment, so that the caller sees an open connection.
func WriteKeepAlive(w io.Writer) error {
	_, err := io.WriteString(w, keepAlive)
	return err
}

// maxEventBytes bounds the memory for one event at the reader. The largest
// legitimate event, a token of an engine, is far smaller.
const maxEventBytes = 1 << 20

// ReadEvents yields the events of a stream, then the error if one occurs.
func ReadEvents(r io.Reader) func(yield func(Event, error) bool) {
	return func(yield func(Event, error) bool) {
		for raw, err := range sse.Read(r, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
			if err != nil {
				yield(Event{}, err)
				return
			}
			event, err := decodeEvent(raw)
			if !yield(event, err) || err != nil {
				return
			}
		}
	}
}

func decodeEvent(raw sse.Event) (Event, error) {
	event := Event{Type: EventType(raw.Type)}
	var payload any
	switch event.Type {
	case EventStart:
		payload = &event.Start
	case EventToken:
		payload = &event.Token
	case EventAttempt:
		payload = &event.Attempt
	case EventEnd:
		payload = &event.End
	default:
		return event, errors.Wrapf(ErrInvalidEvent, "unknown type %q", raw.Type)
	}
	if err := json.Unmarshal([]byte(raw.Data), payload); err != nil {
		return event, errors.Wrapf(ErrInvalidEvent, "%s: %v", raw.Type, err)
	}
	if event.Type == EventEnd {
		return event, nil
	}
	position, err := contract.ParsePosition(raw.LastEventID)
	if err != nil {
		return event, errors.Wrapf(ErrInvalidEvent, "%s: %v", raw.Type, err)
	}
	event.Position = position
	return event, nil
}
