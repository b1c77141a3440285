package instance

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/api"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/generation"
)

// writeTimeout limits one write to a caller. A caller that accepts no data for
// that long counts as disconnected; it can reconnect at its position.
const writeTimeout = 10 * time.Second

// errCallerDisconnected is returned when writing to the caller fails.
var errCallerDisconnected = errors.New("caller disconnected")

// errStreamBroken is returned when the instance cannot continue a stream that has begun.
var errStreamBroken = errors.New("stream was broken off")

// streamWriter writes the events of a subscription to one connection.
type streamWriter struct {
	response   http.ResponseWriter
	controller *http.ResponseController
	request    contract.RequestID
	latency    *callerLatency
}

func newStreamWriter(w http.ResponseWriter, request contract.RequestID, latency *callerLatency) *streamWriter {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	return &streamWriter{response: w, controller: http.NewResponseController(w), request: request, latency: latency}
}

// copy writes events until the last one or until the caller disconnects. It returns
// an error unless the caller has the end event; the connection must then be closed, and the
// caller reconnects with its position.
func (s *streamWriter) copy(ctx context.Context, subscription *generation.Subscription, first generation.Event) error {
	if err := s.writeEvent(first); err != nil {
		return err
	}
	events := receiveEvents(ctx, subscription)
	keepAlive := time.NewTicker(api.KeepAliveInterval)
	defer keepAlive.Stop()
	for !isLast(first) {
		select {
		case event, open := <-events:
			if !open {
				return errCallerDisconnected
			}
			first = event
			if err := s.writeEvent(event); err != nil {
				return err
			}
			keepAlive.Reset(api.KeepAliveInterval)
		case <-keepAlive.C:
			if err := s.flush(api.WriteKeepAlive(s.response)); err != nil {
				return err
			}
		}
	}
	if first.Kind == generation.EventBroken {
		return errStreamBroken
	}
	return nil
}

func isLast(event generation.Event) bool {
	return event.Kind == generation.EventEnd || event.Kind == generation.EventBroken
}

// receiveEvents reads the subscription until its last event or until ctx ends.
func receiveEvents(ctx context.Context, subscription *generation.Subscription) <-chan generation.Event {
	events := make(chan generation.Event)
	go func() {
		defer close(events)
		for {
			event, err := subscription.Next(ctx)
			if err != nil {
				return
			}
			select {
			case events <- event:
			case <-ctx.Done():
				return
			}
			if isLast(event) {
				return
			}
		}
	}()
	return events
}

func (s *streamWriter) writeEvent(event generation.Event) error {
	s.latency.observe(event, time.Now())
	switch event.Kind {
	case generation.EventStart:
		return s.sendEvent(api.EventStart, event.Position, api.StartEvent{
			Request: s.request, Model: event.Pin.Model, Version: event.Pin.Version, Locator: event.Locator,
		})
	case generation.EventToken:
		return s.sendEvent(api.EventToken, event.Position, api.TokenEvent{Text: event.Text})
	case generation.EventAttempt:
		return s.sendEvent(api.EventAttempt, event.Position, api.AttemptEvent{Locator: event.Locator})
	case generation.EventEnd:
		return s.sendEvent(api.EventEnd, event.Position, api.EndEvent{
			Outcome: event.Verdict.Outcome, Reason: event.Verdict.Reason, RetryAfterMS: event.Verdict.RetryAfter.Milliseconds(),
			TokenCount: event.TokenCount, SHA256: event.Checksum,
		})
	default:
		return nil
	}
}

func (s *streamWriter) sendEvent(kind api.EventType, position contract.Position, payload any) error {
	// SetWriteDeadline fails if the connection does not support deadlines; if the
	// connection is broken, the write reports it.
	_ = s.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	return s.flush(api.WriteEvent(s.response, kind, position, payload))
}

// flush flushes the response unless the preceding write failed.
func (s *streamWriter) flush(writeErr error) error {
	if writeErr != nil {
		return errors.Mark(writeErr, errCallerDisconnected)
	}
	if err := s.controller.Flush(); err != nil {
		return errors.Mark(err, errCallerDisconnected)
	}
	return nil
}
