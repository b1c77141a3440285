package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// errGraceOver ends the handling of a request without an answer when the instance is about
// to end.
var errGraceOver = errors.New("the instance is about to end")

// Whether the caller has a part of an answer. A request that was ended gets a status.
const (
	unanswered int32 = iota
	answering
	ended
)

// beginAnswer records that the caller gets a part of an answer now. It returns false if the
// request was ended before, and must get a status instead.
func (x *exchange) beginAnswer() bool {
	if x.answerState.CompareAndSwap(unanswered, answering) || x.answerState.Load() == answering {
		return true
	}
	x.cancel(errGraceOver) // so that what follows sees it; handleGraceEnd may not have come to it
	return false
}

// graceOver reports whether a request was ended because the instance is about to end.
func graceOver(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errGraceOver) }

// waitPhase is what a request waits for.
type waitPhase int32

const (
	waitStartup  waitPhase = iota // the first reads of the configuration and the upstreams
	waitBody                      // the body of the caller
	waitUpstream                  // the choice of an upstream, or room at one
	waitRetry                     // the pause before a retry, or the retry budget
	waitAnswer                    // the first byte of an answer
	answerBegun                   // the rest of an answer that its caller has begun to get
)

// String returns the name used in logs and metrics.
func (p waitPhase) String() string {
	return [...]string{"startup", "body", "upstream", "retry", "answer", "answer_end"}[p]
}

// setPhase records what the request waits for from now on.
func (x *exchange) setPhase(p waitPhase) { x.phase.Store(int32(p)) }

func (x *exchange) currentPhase() waitPhase { return waitPhase(x.phase.Load()) }

// handleGraceEnd ends a request that is in progress when the instance is about to end, unless
// its caller has begun to get the answer. The caller gets a status that says whether it may have
// run, instead of a closed connection.
func (f *Forwarder) handleGraceEnd(x *exchange) {
	phase := x.currentPhase()
	f.Metrics.graceEnds.WithLabelValues(phase.String()).Inc()
	fields := logrus.Fields{"waits_for": phase, "age_ms": time.Since(x.receivedAt).Milliseconds()}
	f.addGrace(fields)
	x.log.WithFields(fields).Info("request in progress at the end of the grace time")
	if x.answerState.CompareAndSwap(unanswered, ended) {
		x.cancel(errGraceOver)
	}
}

// hasTime reports whether the request may be sent to an upstream now: a leaving instance may
// not have the time that its answer takes.
func (f *Forwarder) hasTime(x *exchange) bool {
	x.state.TimeLeft = x.timeLeft()
	return f.Drain.HasTimeFor(x.state)
}

// refuseLeaving responds to a request that has not run and that the instance has no time for.
func (f *Forwarder) refuseLeaving(x *exchange) {
	f.refuse(x, http.StatusServiceUnavailable, "the instance is leaving", retryLeaving)
}

// addGrace adds the time until the end of the process to the fields of a log line if the
// instance is leaving.
func (f *Forwarder) addGrace(fields logrus.Fields) {
	if left, leaving := f.Drain.GraceLeft(); leaving {
		fields["grace_left_ms"] = left.Milliseconds()
	}
}
