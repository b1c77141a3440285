package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/placement"
	"foxtailhub.example/foxtailhub/internal/pool"
)

const (
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// resumeTimeout bounds the time to find another upstream after a loss, and
	// resumeInterval is the time between tries meanwhile.
	resumeTimeout  = 3 * time.Second
	resumeInterval = 150 * time.Millisecond
	// openInterval is the time between tries of a stream that waits until its deadline. It
	// doubles at most maxOpenDoublings times, since each try is taken from the retry budget.
	openInterval     = 400 * time.Millisecond
	maxOpenDoublings = 2
)

// relay forwards one stream from its upstreams to its caller.
type relay struct {
	f                  *Forwarder
	x                  *exchange
	headWritten        bool           // the response head was written to the caller
	callerDisconnected bool           // a write to the caller failed
	lastEventID        int64          // number of the last event that the caller has
	promptHolder       string         // upstream that has the prompt in its cache, for the first attempt; empty: unknown
	events             int            // delivered by this instance
	copy               *storedKVCopy  // KV copy of the run that failed last
	unnumbered         bool           // the caller has events without numbers or another body, so no other upstream can continue
	failure            *attemptResult // error response of an upstream, delivered if no later attempt succeeds
	failedDomains      []string       // failure domains of the upstreams that failed
	longestPause       time.Duration
	upstreamListAge    time.Duration   // age of the list of upstreams when the last one was chosen
	lastProgressAt     time.Time       // time of the last event; zero before the first
	blockedSince       time.Time       // since when no upstream can continue the stream; zero: not blocked
	moving             bool            // it has left an upstream and has no event of the next one yet
	waits              int             // pauses since the last progress of a stream that stays open
	leftUpstream       bool            // a run was given up while its connection was open, and no event has followed
	yields             bool            // the new prompt is refused so that more urgent ones find room
	noCopyRoom         bool            // no polled upstream has room for the KV copy of the next run
	verdictsChanged    <-chan struct{} // closed when the verdicts on parts of prompts have changed since the last check
}

// forwardStream forwards a request whose response is a stream of events.
func (f *Forwarder) forwardStream(ctx context.Context, x *exchange) {
	s := &relay{f: f, x: x, lastEventID: x.meta.LastEventID, promptHolder: f.findPrompt(ctx, x)}
	defer s.endMove()
	for {
		if !f.hasTime(x) {
			break
		}
		m, backupHolder, attempt, ok := s.planAttempt(ctx)
		if !ok {
			if s.yields {
				f.refuse(x, http.StatusServiceUnavailable, "no engine has room", placement.ReturnAfter(rand.Float64()))
				return
			}
			if s.endIfRefused(ctx) {
				return
			}
			if s.awaitUpstream(ctx) {
				continue
			}
			break
		}
		result := s.runAttempt(ctx, m, backupHolder, attempt)
		if result == Answered {
			return
		}
		x.state.TimeLeft = x.timeLeft()
		if s.endIfRefused(ctx) || !s.headWritten && f.refuseQuarantined(ctx, x) {
			return
		}
		if ctx.Err() != nil || s.callerDisconnected || s.unnumbered || !s.awaitRetry(ctx) {
			break
		}
	}
	s.endUnfinished(ctx)
}

// awaitRetry reports whether the stream may be sent again, and takes that from the retry
// budget. It pauses while no upstream can continue it, or while the budget is used up: the
// caller would lose the events it has.
func (s *relay) awaitRetry(ctx context.Context) bool {
	if !s.x.state.ShouldRetry() && !s.awaitUpstream(ctx) {
		return false
	}
	for !s.x.allowRetry() {
		if !s.headWritten && !s.staysOpen() || !s.x.budget.Refills() || !s.awaitUpstream(ctx) {
			return false
		}
	}
	return true
}

// awaitUpstream pauses when no upstream can resume a stream that has begun, and then
// allows all upstreams again. The caller would lose the events it has, and an upstream
// may recover or be listed soon.
func (s *relay) awaitUpstream(ctx context.Context) bool {
	x := s.x
	s.setPhase(waitRetry)
	now := time.Now()
	if s.blockedSince.IsZero() {
		s.blockedSince = now
	}
	if !x.state.MayResumeLater() || now.Sub(s.blockedSince) >= resumeTimeout && !s.staysOpen() {
		return false
	}
	interval := resumeInterval
	if s.staysOpen() {
		interval = openInterval << min(s.waits, maxOpenDoublings)
		s.waits++
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	x.excluded = nil
	x.state.Refused = 0
	if s.staysOpen() {
		// Refused attempts use up the retry budget of all streams.
		x.state.Refused = maxRefusals - 1
		s.failedDomains = nil // the upstream that it left may go on
	}
	return true
}

// staysOpen reports whether only its deadline ends a stream that no upstream can continue.
// After a loss its caller can resume it at another instance; a stream that this instance
// took from a live upstream is not cut off for that.
func (s *relay) staysOpen() bool { return s.leftUpstream && s.headWritten }

// planAttempt chooses the upstream of the next attempt and the holder of its KV copy,
// or nil for the latter.
func (s *relay) planAttempt(ctx context.Context) (m, backupHolder *pool.Member, attempt Attempt, ok bool) {
	x := s.x
	s.setPhase(waitUpstream)
	need := pool.Requirements{AvoidDomains: s.failedDomains, Prefer: s.promptHolder}
	s.promptHolder = ""
	if s.copy != nil {
		need.Prefer, need.Resume = s.copy.upstreamID, true
	}
	if m, backupHolder, ok = s.chooseUpstream(ctx, need); !ok {
		return nil, nil, attempt, false
	}
	s.verdictsChanged = s.f.Poison.Changed() // before the check, so that no change is missed
	if _, refused := s.f.refusedBy(x); refused {
		return nil, nil, attempt, false
	}
	s.setPhase(waitAnswer)
	x.startAttempt(s.f.Metrics, m, x.nextPurpose())
	if x.service.Engine != nil {
		m.Placed(time.Now())
	}
	attempt = Attempt{Upstream: m.Current(), Workspace: x.workspace.Name, LastEventID: s.lastEventID}
	if s.copy != nil && m.ID == s.copy.upstreamID {
		attempt.ResumeFrom = &s.copy.KVCopy
	}
	if s.kvCopyTTL() > 0 {
		if backupHolder == nil && !s.noCopyRoom {
			backupHolder, _ = s.pickBackupHolder(m)
		}
		if backupHolder != nil {
			attempt.BackupHolder = &backupHolder.Upstream
		}
	}
	return m, backupHolder, attempt, true
}

// chooseUpstream chooses the upstream of the next attempt and takes the request from this
// instance's part of its request rate. backupHolder is nil if none was found on the way.
func (s *relay) chooseUpstream(ctx context.Context, need pool.Requirements) (m, backupHolder *pool.Member, ok bool) {
	s.noCopyRoom = false
	if s.x.service.Engine == nil || need.Prefer != "" {
		m, ok = s.f.pickForAttempt(s.x, need)
		return m, nil, ok
	}
	for {
		p, found := s.f.placeByReport(ctx, s.x, need)
		if !found || p.upstream.TakeRequest(time.Now()) {
			s.noCopyRoom, s.yields = p.noCopyRoom, p.yields
			return p.upstream, p.backupHolder, found
		}
		need.Exclude = append(need.Exclude, p.upstream.ID) // another request was faster
	}
}

// kvCopyTTL returns how long the service's engines hold a KV copy, 0 if they hold
// none.
func (s *relay) kvCopyTTL() time.Duration {
	engine := s.x.service.Engine
	if engine == nil || !engine.HoldsKVCopies || !s.x.route.Resumable {
		return 0
	}
	return engine.KVCopyTTL
}

// pickBackupHolder chooses an upstream in another failure domain for the KV copy.
func (s *relay) pickBackupHolder(m *pool.Member) (*pool.Member, bool) {
	return s.f.pick(s.x, backupHolderRequirements(m))
}

// updateKVCopy records the KV copy that the next upstream can resume from. A run has a
// copy from its first event on.
func (s *relay) updateKVCopy(result Result, r *run, resumedAfter int64) {
	s.copy = nil
	if result == Failed || result == NotSent {
		s.failedDomains = append(s.failedDomains, r.member.FailureDomain)
	}
	if result == Failed && s.lastEventID > resumedAfter {
		s.copy = r.backup.stored
	}
}

// runAttempt runs the stream on one upstream until its end or failure. Answered means
// that the caller has the complete response.
func (s *relay) runAttempt(ctx context.Context, m, backupHolder *pool.Member, attempt Attempt) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // cancels the run at an abandoned upstream
	defer m.BeginRequest()()
	attempt.TimeLeft = s.x.timeLeft()
	startedAt := time.Now()
	s.upstreamListAge = s.f.Pool.Age(startedAt)
	run := &run{
		relay: s, member: m, sentTo: attempt.Upstream, sentAt: startedAt, memory: &reservation{memory: s.x.memory.memory},
		monitor: NewStreamMonitor(startedAt, s.x.route.GapTarget),
	}
	defer run.memory.releaseAll()
	run.backup = newBackup(run, backupHolder, startedAt)
	run.endPrefill = m.BeginPrefill()
	defer run.markPrefilled()
	items := make(chan item, eventBuffer)
	run.pending.newestID = attempt.LastEventID
	go s.f.sender.receiveStream(ctx, s.x, attempt, run.memory, &run.pending, func(r attemptResult) { s.f.recordResponseHead(s.x, m, attempt.Upstream, r, startedAt) }, items)
	result, err := run.forwardItems(ctx, items)
	if s.callerDisconnected || errors.Is(err, errPoisonParts) {
		cancel() // a failure from here on is no evidence against the upstream
	}
	if errors.IsAny(err, errUnresponsive, errStalled) {
		s.leftUpstream = true
	}
	if s.staysOpen() {
		// Refused attempts use up the retry budget of all streams.
		s.x.state.Refused = max(s.x.state.Refused, maxRefusals-1)
	}
	s.recordAttempt(ctx, run, attempt, result, err, startedAt)
	if result == Answered {
		s.recordCompletion(run, time.Now())
	}
	s.f.recordRunEnd(run.ended(ctx, attempt, result, err, time.Now()))
	s.updateKVCopy(result, run, attempt.LastEventID)
	run.backup.end(s.copy != nil)
	return result
}

func (s *relay) recordAttempt(ctx context.Context, r *run, attempt Attempt, result Result, err error, startedAt time.Time) {
	m := r.member
	s.f.recordResult(ctx, s.x, m, result, r.pushedBack)
	fields := logrus.Fields{
		"upstream": m.ID, "domain": m.FailureDomain, "route": s.x.route.Name, "configuration": s.x.version, "result": result,
		"after_event": attempt.LastEventID, "last_event": s.lastEventID, "took_ms": time.Since(startedAt).Milliseconds(),
		"from_copy": attempt.ResumeFrom != nil, "attempt": len(s.x.attempted), "list_age_ms": s.upstreamListAge.Milliseconds(), "list_era": s.f.Pool.Era(),
		"head": r.response != nil, "written_ms": r.answer.written(time.Now()).Milliseconds(), "parts": formatParts(s.x.prompt),
	}
	if attempt.BackupHolder != nil {
		fields["copy_at"] = attempt.BackupHolder.ID
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	addStatedRate(fields, m)
	if err != nil && !s.lastProgressAt.IsZero() {
		fields["silent_ms"] = time.Since(s.lastProgressAt).Milliseconds()
	}
	s.x.log.WithFields(fields).Info("stream sent")
}

// writeHead forwards the head of the first upstream's response, once.
func (s *relay) writeHead(response *http.Response) {
	if s.headWritten {
		return
	}
	s.headWritten, s.x.state.Begun = true, true
	s.x.setPhase(answerBegun)
	header := s.x.writer.Header()
	for name, values := range s.f.Protocol.ResponseHeader(response.Header) {
		header[name] = values
	}
	s.f.closeConnectionIfLeaving(header)
	s.x.writer.WriteHeader(response.StatusCode)
	s.f.Metrics.observeLatency(s.x)
}

// limitWrite limits the time of the next write to the caller, also of the end of the response.
func (s *relay) limitWrite(now time.Time) {
	_ = http.NewResponseController(s.x.writer).SetWriteDeadline(now.Add(writeTimeout)) // not supported by test recorders
}

// deliver forwards an event to the caller.
func (s *relay) deliver(response *http.Response, e event, now time.Time) error {
	s.limitWrite(now)
	s.writeHead(response)
	if _, err := s.x.writer.Write(e.raw); err != nil {
		return err
	}
	if err := http.NewResponseController(s.x.writer).Flush(); err != nil {
		return err
	}
	s.unnumbered = s.unnumbered || e.hasData && !e.numbered && s.lastEventID == 0
	if e.numbered {
		s.lastEventID = e.id
	}
	return nil
}

// recordProgress records an event that made progress for the caller.
func (s *relay) recordProgress(now time.Time) {
	if !s.lastProgressAt.IsZero() {
		s.longestPause = max(s.longestPause, now.Sub(s.lastProgressAt))
	}
	s.lastProgressAt = now
	s.blockedSince, s.waits, s.leftUpstream = time.Time{}, 0, false
	s.endMove()
	s.events++
}

// endUnfinished responds to, or cuts off, a stream that cannot continue.
func (s *relay) endUnfinished(ctx context.Context) {
	switch {
	case s.headWritten:
		outcome := "interrupted"
		if s.x.request.Context().Err() != nil {
			outcome = "caller_left"
		}
		s.recordEnd(outcome)
		panic(http.ErrAbortHandler) // a truncated response must not look complete
	case s.failure != nil:
		_, _ = s.f.deliver(s.x, *s.failure) // not truncated, since its whole body has been read
	default:
		s.f.failUnanswered(ctx, s.x)
	}
}

// setPhase records what the stream waits for before its caller has any of it.
func (s *relay) setPhase(p waitPhase) {
	if !s.headWritten {
		s.x.setPhase(p)
	}
}

func (s *relay) recordEnd(outcome string) {
	s.f.Metrics.countOutcome(s.x, outcome)
	fields := logrus.Fields{
		"outcome": outcome, "events": s.events, "last_event": s.lastEventID, "upstreams": s.x.attempted,
		"longest_pause_ms": s.longestPause.Milliseconds(), "took_ms": time.Since(s.x.receivedAt).Milliseconds(),
		"configuration": s.x.version, "left_ms": s.x.timeLeft().Milliseconds(), "last": s.x.state.LastResult,
	}
	if table := s.f.Tables.Current(); table != nil {
		fields["configuration_now"] = table.Version
	}
	s.x.log.WithFields(fields).Info("stream ended")
}
