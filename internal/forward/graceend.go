package forward

import (
	"time"

	"github.com/sirupsen/logrus"
)

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

// handleGraceEnd records a request that is in progress when the instance is about to end.
func (f *Forwarder) handleGraceEnd(x *exchange) {
	phase := x.currentPhase()
	f.Metrics.graceEnds.WithLabelValues(phase.String()).Inc()
	fields := logrus.Fields{"waits_for": phase, "age_ms": time.Since(x.receivedAt).Milliseconds()}
	f.addGrace(fields)
	x.log.WithFields(fields).Info("request in progress at the end of the grace time")
}

// addGrace adds the time until the end of the process to the fields of a log line if the
// instance is leaving.
func (f *Forwarder) addGrace(fields logrus.Fields) {
	if left, leaving := f.Drain.GraceLeft(); leaving {
		fields["grace_left_ms"] = left.Milliseconds()
	}
}
