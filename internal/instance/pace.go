package instance

import (
	"time"

	"foxtailhub.example/foxtailhub/internal/generation"
)

// pace measures the times that a caller waits on one connection.
type pace struct {
	metrics   *metrics
	start     time.Time // arrival of the request
	lastToken time.Time // zero before the first token
	moved     bool      // the generation moved to another engine since the last token
}

// observe notes an event that is about to be written.
func (p *pace) observe(event generation.Event, now time.Time) {
	switch event.Kind {
	case generation.EventAttempt:
		p.moved = true
	case generation.EventToken:
		p.token(now)
	case generation.EventEnd:
		p.metrics.finished("generation", event.Verdict)
	}
}

func (p *pace) token(now time.Time) {
	switch {
	case p.lastToken.IsZero():
		p.metrics.firstToken.Observe(now.Sub(p.start).Seconds())
	case p.moved:
		p.metrics.resume.Observe(now.Sub(p.lastToken).Seconds())
	}
	p.lastToken = now
	p.moved = false
}
