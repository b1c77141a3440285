package forward

import (
	"context"
	"fmt"
	"io"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/poison"
)

// justBegunWindow is the time since its first event in which a run has only just begun its
// answer. A prompt that crashes upstreams does so some 100 ms after that event at the latest, and
// one whose answer goes on for longer does not.
const justBegunWindow = 500 * time.Millisecond

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// progress is how far the answer of a run had come when its connection ended.
type progress string

const (
	notBegun   progress = "not_begun"   // no event
	justBegun  progress = "just_begun"  // the first event was less than justBegunWindow before
	inProgress progress = "in_progress" // the answer had gone on for longer
)

// answerProgress is the progress of the answer of a run. The events of earlier runs of the
// same stream do not count.
type answerProgress struct {
	firstEventAt time.Time // zero: no event yet
}

// observeEvent records an event that made progress.
func (p *answerProgress) observeEvent(now time.Time) {
	if p.firstEventAt.IsZero() {
		p.firstEventAt = now
	}
}

// written returns the time since the first event.
func (p *answerProgress) written(now time.Time) time.Duration {
	if p.firstEventAt.IsZero() {
		return 0
	}
	return now.Sub(p.firstEventAt)
}

func (p *answerProgress) at(now time.Time) progress {
	switch {
	case p.firstEventAt.IsZero():
		return notBegun
	case p.written(now) < justBegunWindow:
		return justBegun
	}
	return inProgress
}

// connectionEnded reports whether an error means that the upstream's side of a connection
// ended, which a crash causes. A silent upstream or an invalid response is no such end.
func connectionEnded(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, errTruncatedEvent, errProcessGone, syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNREFUSED)
}

// refusesConnections reports whether the error of a probe means that nothing serves the address.
func refusesConnections(err error) bool {
	return errors.IsAny(err, io.EOF, syscall.ECONNREFUSED, syscall.ECONNRESET)
}

// ended returns the end of a run with a result. ctx is that of the attempt.
func (r *run) ended(ctx context.Context, attempt Attempt, result Result, err error, now time.Time) endedRun {
	return endedRun{
		content: r.x.content, prompt: r.x.prompt, maxAttempts: r.x.state.MaxAttempts, service: r.x.service, log: r.x.log,
		member: r.member, upstream: attempt.Upstream, sentAt: r.sentAt, at: now, progress: r.answer.at(now), written: r.answer.written(now),
		head: r.response != nil, resumed: attempt.LastEventID > 0, unanswered: r.lastEventID == attempt.LastEventID,
		cause: endCause(ctx, r.x, result, err), reset: connectionEnded(err),
	}
}

// recordEndAtStart records that the process of an upstream was lost when the answer to a request
// there had not begun or had only just begun.
func (f *Forwarder) recordEndAtStart(r endedRun) {
	if f.Poison.EndedBefore(r.process(), r.sentAt) {
		r.log.WithField("upstream", r.upstream.ID).Info("request was sent to an upstream process that had ended")
		return
	}
	f.Metrics.countUpstreamEnd(r.progress)
	r.log.WithFields(logrus.Fields{
		"upstream": r.upstream.ID, "domain": r.member.FailureDomain, "progress": r.progress, "head": r.head,
		"written_ms": r.written.Milliseconds(), "resumed": r.resumed,
		"parts": formatParts(r.prompt), "domain_lost": f.domainLost(r.member),
	}).Warn("upstream process ended at the start of an answer")
	f.addPoisonCrash(r)
}

// formatParts returns the parts of a prompt for a log line.
func formatParts(parts []poison.Part) string {
	var b strings.Builder
	for i, part := range parts {
		if i == maxLoggedParts {
			fmt.Fprintf(&b, "+%d", len(parts)-maxLoggedParts)
			break
		}
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(part.String())
	}
	return b.String()
}
