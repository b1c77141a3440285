package forward

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/placement"
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
	refusedByVerdict moveObstacle = "verdict"    // parts of its prompt are known to crash upstreams, or it is a trial of that
	graceTooShort    moveObstacle = "grace"      // the instance is leaving and has no time for a new answer
	othersMove       moveObstacle = "moves"      // too many streams have left an upstream; it moves when one of them goes on
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
	case !r.f.Drain.HasTimeFor(next):
		return graceTooShort
	}
	if _, refused := r.f.Poison.Refuses(r.x.prompt); refused {
		return refusedByVerdict
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

// silenceLimit is the time without an event after which a stream leaves a silent upstream
// even if no other one has answered. Sound upstreams are silent for a second or so.
const silenceLimit = 3 * time.Second

// askElsewhereInterval is the time between two looks for an upstream without a queue by a stream that
// may wait for its prefill.
const askElsewhereInterval = 3 * time.Second

// alternativeSampleSize is how many other upstreams are polled before a stream leaves one
// that does not answer.
const alternativeSampleSize = 2

// probeResult is the outcome of a probe of the upstream of a run.
type probeResult struct {
	err         error
	sentAt      time.Time
	alternative bool // the upstream did not answer, but another one did and has room
	// report is that of the upstream; nil: it did not answer.
	report *pool.LoadReport
	// idleElsewhere means that another upstream would prefill the prompt at once.
	idleElsewhere bool
	replaced      bool // another process answered at the address of the upstream, which matters after a silence
}

// alternatives returns other upstreams at which the stream could go on; none if it cannot
// move.
func (r *run) alternatives(now time.Time) []*pool.Member {
	if !r.canMove(now) {
		return nil
	}
	members := r.f.Pool.Members(r.x.service.Name)
	need := pool.Requirements{Exclude: r.x.excluded, AvoidDomains: []string{r.member.FailureDomain}}
	sample := pool.PickN(members, need, alternativeSampleSize, now)
	if holder := r.backup.holder; holder != nil && !slices.Contains(sample, holder) {
		sample = append(sample, holder)
	}
	return sample
}

// probe asks the upstream of the run for its load report, and the alternatives if it does
// not answer, or if askElsewhere is set.
func (r *run) probe(ctx context.Context, alternatives []*pool.Member, askElsewhere bool, probed chan<- probeResult) {
	result := probeResult{sentAt: time.Now()}
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := r.f.Prober.Load(probeCtx, r.member.Address)
	if result.err = err; err != nil {
		result.alternative = r.anyAccepts(ctx, alternatives, placement.Engine.Fits)
	} else {
		result.report = &report
		result.idleElsewhere = askElsewhere && r.anyAccepts(ctx, alternatives, placement.Engine.Idle)
	}
	result.replaced = err == nil && report.StartedAt != 0 && r.sentTo.StartedAt != 0 && report.StartedAt != r.sentTo.StartedAt
	probed <- result
}

// anyAccepts reports whether one of the upstreams answers a request for its load report and is
// acceptable for the stream.
func (r *run) anyAccepts(ctx context.Context, members []*pool.Member, acceptable func(placement.Engine, placement.Demand) bool) bool {
	accepts := make(chan bool, len(members))
	for _, m := range members {
		go func() {
			engine := r.f.pollEngines(ctx, r.x, []*pool.Member{m}).engines[0]
			accepts <- acceptable(engine, r.x.demand())
		}()
	}
	for range members {
		if <-accepts {
			return true
		}
	}
	return false
}

// leavesUpstream reports whether the stream leaves its upstream because of the outcome of
// a probe. A silent upstream may go on, and a caller that lost its stream gets nothing
// more: the stream stays unless another upstream can continue it.
func (r *run) leavesUpstream(p probeResult) bool {
	now := time.Now()
	if p.err == nil || r.monitor.SinceLastEvent(now) < probeTimeout {
		if r.silent {
			r.awaitedMove = nil
		}
		r.endSilence(now)
		r.monitor.ProbeSucceeded(now)
		return false
	}
	obstacle := r.moveObstacle(now)
	if obstacle == noObstacle && !p.alternative && r.monitor.SinceLastEvent(now) < silenceLimit {
		obstacle = noOtherUpstream
	}
	r.awaitedMove = nil
	if obstacle == noObstacle {
		obstacle = r.reserveMove(errors.Mark(p.err, errUnresponsive))
	}
	r.recordSilence(now, p, obstacle)
	if !r.silent {
		r.member.MarkLost(now)
	}
	r.silent, r.obstacle = true, obstacle
	r.monitor.ProbeUnanswered(now)
	return obstacle == noObstacle
}

// maxMovingStreams bounds the streams of this instance that have left an upstream and have
// no event of the next one yet. The others stay until one of these goes on: if upstreams refuse
// the first ones, the rest would use up the retry budget and be left without an upstream.
const maxMovingStreams = 4

// reserveMove reserves a move of the stream because of cause. If too many others move, it
// waits for its turn.
func (r *run) reserveMove(cause error) moveObstacle {
	if !r.moving {
		select {
		case r.f.movingStreams <- struct{}{}:
			r.moving = true
		default:
			r.awaitedMove = cause
			return othersMove
		}
	}
	return r.takeRetry()
}

// takeRetry takes the move from the retry budget before the run is given up: the streams
// of one upstream all see the same room in the budget.
func (r *run) takeRetry() moveObstacle {
	r.awaitedMove = nil
	if !r.x.budget.Take() {
		r.endMove()
		return budgetUsedUp
	}
	r.x.retryReserved = true
	return noObstacle
}

// turn is where a stream that waits for others to move gets its turn; nil for all others.
func (r *run) turn() chan<- struct{} {
	if r.awaitedMove == nil {
		return nil
	}
	return r.f.movingStreams
}

// useTurn reports whether the stream, which has got its turn, leaves its upstream.
func (r *run) useTurn(now time.Time, eventsWait bool) bool {
	r.moving = true
	if eventsWait || !r.canMove(now) {
		r.awaitedMove = nil
		r.endMove()
		return false
	}
	return r.takeRetry() == noObstacle
}

// endMove records that a stream which has left an upstream goes on or has ended.
func (s *relay) endMove() {
	if s.moving {
		s.moving = false
		<-s.f.movingStreams
	}
}

// endSilence records a sign of life of the upstream.
func (r *run) endSilence(now time.Time) {
	if !r.silent {
		return
	}
	r.silent = false
	r.member.MarkAlive(now)
	r.x.log.WithField("upstream", r.member.ID).Info("silent upstream of a stream responds again")
}

// recordSilence counts a probe that the upstream did not answer, and logs the first of a
// silence and those with another obstacle.
func (r *run) recordSilence(now time.Time, p probeResult, obstacle moveObstacle) {
	r.f.Metrics.unansweredProbes.WithLabelValues(string(obstacle)).Inc()
	if r.silent && r.obstacle == obstacle {
		return
	}
	fields := logrus.Fields{
		"upstream": r.member.ID, "domain": r.member.FailureDomain, "silent_ms": r.monitor.SinceLastEvent(now).Milliseconds(),
		"probe_ms": now.Sub(p.sentAt).Milliseconds(), "obstacle": obstacle, "events": r.events, "attempt": len(r.x.attempted),
		"configuration": r.x.version, "left_ms": r.x.timeLeft().Milliseconds(),
	}
	if table := r.f.Tables.Current(); table != nil {
		fields["configuration_now"] = table.Version
	}
	r.x.log.WithFields(fields).WithError(p.err).Info("upstream did not answer a probe")
}
