package forward

import (
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/pool"
)

// moveObstacle is why a stream cannot move to another upstream.
type moveObstacle string

// Obstacles, as in logs and metrics.
const (
	noObstacle       moveObstacle = "none"
	notRepeatable    moveObstacle = "not_repeatable" // it may have run, and must not run again
	attemptsUsedUp   moveObstacle = "attempts"
	budgetUsedUp     moveObstacle = "retry_budget"
	noOtherUpstream  moveObstacle = "no_upstream"
	eventsUnnumbered moveObstacle = "unnumbered" // no other upstream can continue it
)

// moveObstacle returns why the stream could not move to another upstream now.
func (r *run) moveObstacle(now time.Time) moveObstacle {
	next := r.x.state
	next.MayHaveRun++
	next.TimeLeft = r.x.timeLeft()
	switch {
	case r.unnumbered:
		return eventsUnnumbered
	case !next.canRunAgain():
		return notRepeatable
	case !next.ShouldRetry():
		return attemptsUsedUp
	case !r.x.budget.Available():
		return budgetUsedUp
	}
	need := pool.Requirements{Exclude: r.x.excluded}
	if _, ok := pool.Pick(r.f.Pool.Members(r.x.service.Name), need, now); !ok {
		return noOtherUpstream
	}
	return noObstacle
}

// canMove reports whether the stream could resume at another upstream. A slow stream
// that cannot move stays, since its upstream is alive.
func (r *run) canMove(now time.Time) bool { return r.moveObstacle(now) == noObstacle }

// recordSilence logs and counts a probe that the upstream did not answer.
func (r *run) recordSilence(now, probedAt time.Time, err error) {
	obstacle := r.moveObstacle(now)
	r.f.Metrics.unansweredProbes.WithLabelValues(string(obstacle)).Inc()
	fields := logrus.Fields{
		"upstream": r.member.ID, "domain": r.member.FailureDomain, "silent_ms": r.monitor.SinceLastEvent(now).Milliseconds(),
		"probe_ms": now.Sub(probedAt).Milliseconds(), "obstacle": obstacle, "events": r.events, "attempt": len(r.x.attempted),
		"configuration": r.x.version, "left_ms": r.x.timeLeft().Milliseconds(),
	}
	if table := r.f.Tables.Current(); table != nil {
		fields["configuration_now"] = table.Version
	}
	r.x.log.WithFields(fields).WithError(err).Info("upstream did not answer a probe")
}
