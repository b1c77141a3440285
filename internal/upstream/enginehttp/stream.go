package enginehttp

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// eventBuffer is the number of events that are read ahead of Next.
const eventBuffer = 64

// identity holds the identifiers that each event of a stream must carry. The
// request is empty after a resume, where the first event sets it.
type identity struct {
	stream  upstream.StreamID
	request contract.RequestID
}

// stream implements upstream.Stream over one HTTP response.
type stream struct {
	incarnation upstream.Incarnation
	events      chan upstream.StreamEvent
	err         error // why events was closed; set before the close
	cancel      context.CancelFunc
	done        chan struct{}
	closeOnce   sync.Once
}

func newStream(response *http.Response, expected identity, cancel context.CancelFunc) *stream {
	s := &stream{
		incarnation: upstream.Incarnation(response.Header.Get(IncarnationHeader)),
		events:      make(chan upstream.StreamEvent, eventBuffer),
		cancel:      cancel,
		done:        make(chan struct{}),
	}
	go s.read(response, expected)
	return s
}

// Incarnation implements upstream.Stream.
func (s *stream) Incarnation() upstream.Incarnation { return s.incarnation }

// Next implements upstream.Stream.
func (s *stream) Next(ctx context.Context) (upstream.StreamEvent, error) {
	select {
	case event, ok := <-s.events:
		if !ok {
			return upstream.StreamEvent{}, s.err
		}
		return event, nil
	case <-ctx.Done():
		return upstream.StreamEvent{}, ctx.Err()
	}
}

// Close implements upstream.Stream.
func (s *stream) Close() {
	s.closeOnce.Do(func() {
		close(s.done)
		s.cancel()
	})
}

// read delivers the events of the response until it ends.
func (s *stream) read(response *http.Response, expected identity) {
	defer close(s.events)
	defer func() { _ = response.Body.Close() }()
	s.err = errors.Wrap(upstream.ErrConnectionLost, "the response has ended")
	for raw, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			s.err = errors.Wrapf(upstream.ErrConnectionLost, "%v", err)
			return
		}
		event, err := decodeEvent(raw, &expected)
		if err != nil {
			s.err = err
			return
		}
		select {
		case s.events <- event:
		case <-s.done:
			return
		}
	}
}

// decodeEvent checks that the event belongs to the expected stream and request.
func decodeEvent(raw sse.Event, expected *identity) (upstream.StreamEvent, error) {
	var event Event
	if err := json.Unmarshal([]byte(raw.Data), &event); err != nil {
		return upstream.StreamEvent{}, errors.Wrapf(upstream.ErrConnectionLost, "event is not valid JSON: %v", err)
	}
	if expected.request == (contract.RequestID{}) {
		expected.request = event.Request
	}
	if event.Stream != expected.stream || event.Request != expected.request {
		return upstream.StreamEvent{}, errors.Wrapf(upstream.ErrConnectionLost,
			"event of stream %q of request %q on the connection of stream %q of request %q",
			event.Stream, event.Request, expected.stream, expected.request)
	}
	decoded := upstream.StreamEvent{Stream: event.Stream, Request: event.Request}
	switch raw.Type {
	case EventToken:
		decoded.Token = contract.Token{Offset: event.Offset, Text: event.Text}
	case EventEnd:
		decoded.End, decoded.TokenCount = true, event.TokenCount
	default:
		return upstream.StreamEvent{}, errors.Wrapf(upstream.ErrConnectionLost, "event of unknown type %q", raw.Type)
	}
	return decoded, nil
}
