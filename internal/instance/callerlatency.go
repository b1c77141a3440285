package instance

import (
	"time"

	"foxtailhub.example/foxtailhub/internal/generation"
)

// callerLatency measures first-token and resume latency on one connection.
type callerLatency struct {
	metrics    *metrics
	receivedAt time.Time // arrival of the request
	lastToken  time.Time // zero before the first token
	switched   bool      // the generation moved to another engine since the last token
}

// observe records an event that is about to be written.
func (l *callerLatency) observe(event generation.Event, now time.Time) {
	switch event.Kind {
	case generation.EventAttempt:
		l.switched = true
	case generation.EventToken:
		l.observeToken(now)
	case generation.EventEnd:
		l.metrics.countFinished("generation", event.Verdict)
	}
}

func (l *callerLatency) observeToken(now time.Time) {
	switch {
	case l.lastToken.IsZero():
		l.metrics.firstToken.Observe(now.Sub(l.receivedAt).Seconds())
	case l.switched:
		l.metrics.resume.Observe(now.Sub(l.lastToken).Seconds())
	}
	l.lastToken = now
	l.switched = false
}
