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
	"foxtailhub.example/foxtailhub/internal/pool"
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

// processState is what a probe shows about the process that a request was sent to.
type processState int

const (
	processUnknown processState = iota // the probe got no answer in time, or one without an identity
	processAlive
	processGone // the connection was refused, or another process has the address
)

// probeProcess checks whether the process that a request was sent to still exists.
func (f *Forwarder) probeProcess(ctx context.Context, x *exchange, m *pool.Member, upstreamID string) processState {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := f.requestReport(ctx, x, m)
	switch {
	case report != nil && m.Current().ID == upstreamID:
		return processAlive
	case report != nil || refusesConnections(err):
		return processGone
	}
	return processUnknown
}

// confirmCrash checks whether the upstream of a run that failed is still the same process, if
// the run may have crashed it, and records a crash if not.
func (s *relay) confirmCrash(ctx context.Context, r *run, attempt Attempt, err error, now time.Time) {
	atStart := connectionEnded(err) && r.answer.at(now) != inProgress
	noEvent := s.lastEventID == attempt.LastEventID
	if ctx.Err() != nil || !atStart && !noEvent {
		return
	}
	process := s.f.probeProcess(ctx, s.x, r.member, attempt.Upstream.ID)
	if atStart && process == processGone {
		s.f.recordEndAtStart(s.x, r.endedProcess(attempt, now))
	}
	silent := errors.IsAny(err, errUnresponsive, errStalled)
	if noEvent && (process == processGone || process == processUnknown && !silent) {
		s.f.recordCrash(s.x, r.member, attempt.Upstream.ID)
	}
}

// endedProcess is a process that ended while it ran a request.
type endedProcess struct {
	member     *pool.Member
	upstreamID string
	sentAt     time.Time // of the request
	at         time.Time
	progress   progress
	written    time.Duration // since the first event
	head       bool          // the head of the response had arrived
	resumed    bool          // an earlier run had begun the answer
}

func (r *run) endedProcess(attempt Attempt, now time.Time) endedProcess {
	return endedProcess{
		member: r.member, upstreamID: attempt.Upstream.ID, sentAt: r.sentAt, at: now, progress: r.answer.at(now), written: r.answer.written(now),
		head: r.response != nil, resumed: attempt.LastEventID > 0,
	}
}

// recordEndAtStart records that the process of an upstream ended when the answer to a request
// there had not begun or had only just begun.
func (f *Forwarder) recordEndAtStart(x *exchange, p endedProcess) {
	if f.Poison.EndedBefore(p.upstreamID, p.sentAt) {
		x.log.WithField("upstream", p.upstreamID).Info("request was sent to an upstream process that had ended")
		return
	}
	f.Metrics.countUpstreamEnd(p.progress)
	x.log.WithFields(logrus.Fields{
		"upstream": p.upstreamID, "domain": p.member.FailureDomain, "progress": p.progress, "head": p.head,
		"written_ms": p.written.Milliseconds(), "resumed": p.resumed,
		"parts": formatParts(x.prompt), "domain_lost": f.domainLost(p.member),
	}).Warn("upstream process ended at the start of an answer")
	f.addPoisonCrash(x, p.upstreamID, p.member.FailureDomain, p.at)
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
