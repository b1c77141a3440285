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
func (p *callerLatency) observe(event generation.Event, now time.Time) {
	switch event.Kind {
	case generation.EventAttempt:
		p.switched = true
	case generation.EventToken:
		p.observeToken(now)
	case generation.EventEnd:
		p.metrics.finished("generation", event.Verdict)
	}
}

func (p *callerLatency) observeToken(now time.Time) {
	switch {
	case p.lastToken.IsZero():
		p.metrics.firstToken.Observe(now.Sub(p.receivedAt).Seconds())
	case p.switched:
		p.metrics.resume.Observe(now.Sub(p.lastToken).Seconds())
	}
	p.lastToken = now
	p.switched = false
}
