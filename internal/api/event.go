// Package api defines what travels over the HTTP interface besides the
// generated types: the events of a generation's stream and the mapping of
// outcomes to HTTP statuses.
//
// The package must never decide how a request ends; it only writes it down.
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

// The types of events, in the order in which they can occur: one start, any
// number of tokens and attempts, one end.
const (
	EventStart   EventType = "start"
	EventToken   EventType = "token"
	EventAttempt EventType = "attempt"
	EventEnd     EventType = "end"
)

// KeepAliveInterval is the longest time without a byte on a stream. A caller
// that receives nothing for several intervals should reconnect: the connection
// may be dead although no end was seen.
const KeepAliveInterval = 500 * time.Millisecond

// keepAlive is a comment line, which readers of server-sent events skip.
const keepAlive = ":\n\n"

// StartEvent begins each connection.
type StartEvent struct {
	Request contract.RequestID `json:"request"`
	Model   string             `json:"model"`
	Version string             `json:"version"`
	Locator string             `json:"locator"` // to be sent back when reconnecting
}

// TokenEvent carries one token.
type TokenEvent struct {
	Text string `json:"text"`
}

// AttemptEvent says that the generation moved to another engine.
type AttemptEvent struct {
	Locator string `json:"locator"` // replaces the locator of the start event
}

// EndEvent ends the stream for good.
type EndEvent struct {
	Outcome      contract.Outcome `json:"outcome"`
	Reason       contract.Reason  `json:"reason,omitempty"`
	RetryAfterMS int64            `json:"retry_after_ms,omitempty"`
	Count        int64            `json:"count"`            // tokens of the whole text
	SHA256       string           `json:"sha256,omitempty"` // checksum of the whole text, in hex; set if completed
}

// Event is a decoded event of a stream.
type Event struct {
	Type     EventType
	Position contract.Position // after this event; valid unless Type is EventEnd
	Start    StartEvent
	Token    TokenEvent
	Attempt  AttemptEvent
	End      EndEvent
}

// ErrEventInvalid reports an event that cannot be decoded.
var ErrEventInvalid = errors.New("event of the stream is invalid")

// ErrTextInvalid reports a token that is not valid UTF-8. JSON would replace its
// bytes, and the text would no longer match its digest.
var ErrTextInvalid = errors.New("text of a token is not valid UTF-8")

// WriteEvent writes one event. payload is one of the event types above.
func WriteEvent(w io.Writer, kind EventType, position contract.Position, payload any) error {
	if token, ok := payload.(TokenEvent); ok && !utf8.ValidString(token.Text) {
		return errors.Wrapf(ErrTextInvalid, "at %s", position)
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

// WriteKeepAlive writes a comment that keeps the connection alive.
func WriteKeepAlive(w io.Writer) error {
	_, err := io.WriteString(w, keepAlive)
	return err
}

// maxEventBytes bounds one event at the reader. The largest event is a token
// of an engine, which is far below.
const maxEventBytes = 1 << 20

// ReadEvents yields the events of a stream until it ends or is invalid.
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
		return event, errors.Wrapf(ErrEventInvalid, "unknown type %q", raw.Type)
	}
	if err := json.Unmarshal([]byte(raw.Data), payload); err != nil {
		return event, errors.Wrapf(ErrEventInvalid, "%s: %v", raw.Type, err)
	}
	if event.Type == EventEnd {
		return event, nil
	}
	position, err := contract.ParsePosition(raw.LastEventID)
	if err != nil {
		return event, errors.Wrapf(ErrEventInvalid, "%s: %v", raw.Type, err)
	}
	event.Position = position
	return event, nil
}
