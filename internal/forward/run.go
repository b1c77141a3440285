package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/placement"
	"foxtailhub.example/foxtailhub/internal/pool"
)

// eventBuffer is the number of events that an upstream may send before the caller takes
// them.
const eventBuffer = 16

// item is received from the upstream of a stream: a response head, an event or the end.
type item struct {
	head  *attemptResult
	event event
	err   error // io.EOF: the stream is complete
	// progress is whether it brings the stream forward; comments, blank lines and old events
	// do not.
	progress bool
}

// pendingProgress counts the items of a run that bring its stream forward and wait for the
// forwarder. While there are any, the upstream is not silent.
type pendingProgress struct {
	newestID int64 // used by the receiver only
	waiting  atomic.Int32
}

// add counts an item that is about to wait.
func (p *pendingProgress) add(it *item) {
	switch e := it.event; {
	case it.head != nil || it.err != nil:
		it.progress = true
	case e.numbered:
		it.progress = e.id > p.newestID
		p.newestID = max(p.newestID, e.id)
	default:
		it.progress = e.hasData && p.newestID == 0
	}
	if it.progress {
		p.waiting.Add(1)
	}
}

// remove records that an item no longer waits.
func (p *pendingProgress) remove(it item) {
	if it.progress {
		p.waiting.Add(-1)
	}
}

// receiveStream sends the request and emits the received items until the stream ends.
// onHead is called with the head of the response, memory is for the events, and pending counts
// those that wait in out.
func (s *sender) receiveStream(
	ctx context.Context, x *exchange, attempt Attempt, memory *reservation, pending *pendingProgress, onHead func(attemptResult), out chan<- item,
) {
	emit := func(it item) bool {
		pending.add(&it)
		select {
		case out <- it:
			return true
		case <-ctx.Done():
			return false
		}
	}
	r := s.send(ctx, x, attempt)
	onHead(r)
	if r.response == nil || r.result != Answered || r.response.StatusCode != http.StatusOK {
		r = r.buffer(x.memory)
		head := r // a copy, since the receiver may change it
		emit(item{head: &head})
		if r.partial {
			<-ctx.Done() // the remainder is read during delivery
		}
		r.close()
		return
	}
	defer r.response.Body.Close()
	if !emit(item{head: &r}) {
		return
	}
	events := newEventReader(r.response.Body, memory)
	for {
		e, err := events.next()
		if !emit(item{event: e, err: err}) || err != nil {
			return
		}
	}
}

// run is the part of a stream that one upstream serves.
type run struct {
	*relay
	member  *pool.Member
	sentTo  pool.Upstream // the process that was addressed
	sentAt  time.Time
	memory  *reservation // for events that the caller does not have yet
	pending pendingProgress
	report  *pool.LoadReport // of the last probe; nil: none, or unanswered
	// askedElsewhereAt is when other upstreams were last asked for a place without a queue.
	askedElsewhereAt time.Time
	monitor          StreamMonitor
	backup           *backup
	response         *http.Response
	preamble         []byte // received before the first event; makes no progress for the caller
	answer           answerProgress
	succeeded        bool // the answer was recorded as a success on the parts of its prompt
	endPrefill       func()
	// pushedBack is whether the upstream refused the request with a pushback time.
	pushedBack bool
	// silent is whether the upstream did not answer the last probe, and obstacle what kept
	// the stream there.
	silent   bool
	obstacle moveObstacle
	// awaitedMove is why the stream leaves the upstream once few enough others move; nil if it
	// does not wait for that.
	awaitedMove error
}

// markPrefilled records that the upstream has finished prefilling the prompt.
func (r *run) markPrefilled() {
	if r.endPrefill != nil {
		r.endPrefill()
		r.endPrefill = nil
	}
}

// forwardItems forwards events to the caller until the stream is complete or moves to
// another upstream.
func (r *run) forwardItems(ctx context.Context, items <-chan item) (Result, error) {
	timer := time.NewTimer(time.Until(r.monitor.NextProbe()))
	defer timer.Stop()
	memberLost := r.member.Lost()
	probed := make(chan probeResult, 1)
	probing := r.x.service.Engine == nil // other services have no load reports; the stall decides
	for {
		select {
		case it := <-items:
			r.pending.remove(it)
			result, ended, err := r.handleItem(it)
			if ended {
				return result, err
			}
			if it.head == nil {
				r.backup.check(ctx, time.Now())
			}
		case copied := <-r.backup.copied:
			r.backup.handleCopyResult(copied, time.Now())
		case <-memberLost:
			memberLost = r.member.Lost()
			if !r.silent {
				r.monitor.ProbeNow(time.Now())
			}
		case <-timer.C:
			if now := time.Now(); !now.Before(r.monitor.StallDeadline()) {
				if !r.silent && !r.progressWaits() && !r.mayBeQueued() && r.canMove(now) && r.reserveMove(errStalled) == noObstacle {
					return Failed, errStalled
				}
				r.monitor.ExtendStall(now)
			}
			if !probing {
				probing = true
				now := time.Now()
				go r.probe(ctx, r.alternatives(now), r.asksElsewhere(now), probed)
			}
		case p := <-probed:
			probing = false
			if ctx.Err() != nil {
				return Failed, ctx.Err()
			}
			if r.progressWaits() {
				p.err, p.replaced = nil, false // events that wait here are a sign of life
			}
			if p.replaced && r.silent {
				return Failed, errUpstreamReplaced
			}
			r.report = p.report
			if p.idleElsewhere && !r.progressWaits() && r.canMove(time.Now()) && r.reserveMove(errStalled) == noObstacle {
				return Failed, errStalled
			}
			if r.leavesUpstream(p) {
				return Failed, errors.Mark(p.err, errUnresponsive)
			}
		case r.turn() <- struct{}{}:
			cause := r.awaitedMove
			if r.useTurn(time.Now(), r.progressWaits()) {
				return Failed, cause
			}
		case <-r.verdictsChanged:
			if err := r.checkVerdicts(); err != nil {
				return Failed, err
			}
		case <-ctx.Done():
			return Failed, ctx.Err()
		}
		wakeAt := r.monitor.NextProbe()
		if probing {
			wakeAt = r.monitor.StallDeadline()
		}
		timer.Reset(time.Until(wakeAt))
	}
}

// mayBeQueued reports whether the request may still wait for its prefill at the upstream.
func (r *run) mayBeQueued() bool {
	return r.answer.firstEventAt.IsZero() && placement.MayBeQueued(r.report)
}

// asksElsewhere reports whether the next probe also looks for an upstream without a queue, and
// records that it does.
func (r *run) asksElsewhere(now time.Time) bool {
	if !r.mayBeQueued() || now.Sub(r.sentAt) < firstEventTimeout || now.Sub(r.askedElsewhereAt) < askElsewhereInterval {
		return false
	}
	r.askedElsewhereAt = now
	return true
}

// progressWaits reports whether something waits here that brings the stream forward, which is a
// sign of life.
func (r *run) progressWaits() bool { return r.pending.waiting.Load() > 0 || r.memory.waiting.Load() }

// handleItem handles an item received from the upstream.
func (r *run) handleItem(it item) (result Result, ended bool, err error) {
	switch {
	case it.head != nil:
		return r.handleHead(it.head)
	case errors.Is(it.err, io.EOF):
		r.limitWrite(time.Now())
		if err := r.deliverRemainder(); err != nil {
			r.callerDisconnected = true
			return Failed, true, err
		}
		r.f.Drain.ObserveStream(time.Since(r.x.receivedAt))
		r.recordEnd("answered")
		return Answered, true, nil
	case it.err != nil:
		r.member.MarkLost(time.Now())
		return Failed, true, it.err
	}
	return r.handleEvent(it.event)
}

// deliverRemainder forwards a complete stream without events: a resumed stream may have none
// left, or only comments.
func (r *run) deliverRemainder() error {
	if len(r.preamble) == 0 {
		r.writeHead(r.response)
		return nil
	}
	e := event{raw: r.preamble}
	r.preamble = nil
	return errors.Wrap(r.deliver(r.response, e, time.Now()), "write to the caller")
}

// handleEvent forwards an event. Only an event that the caller does not have yet counts
// as progress: a stalled upstream may still send comments or repeat old events.
func (r *run) handleEvent(e event) (result Result, ended bool, err error) {
	defer e.release(r.memory)
	switch {
	case e.numbered && e.id <= r.lastEventID:
		return 0, false, nil // the caller already has it
	case e.numbered && r.lastEventID > 0 && e.id != r.lastEventID+1:
		return Failed, true, errEventGap
	case !r.isProgress(e) && !r.headWritten:
		// The head is written with the first event: until then another upstream can
		// still respond, and a failure still be reported by status.
		if len(r.preamble)+len(e.raw) > maxEventBytes {
			return Failed, true, errEventTooLong
		}
		r.preamble = append(r.preamble, e.raw...)
		return 0, false, nil
	case !r.x.beginAnswer():
		return Failed, true, errGraceOver
	}
	now := time.Now()
	if r.isProgress(e) {
		r.endSilence(now)
		r.awaitedMove = nil
		r.monitor.ObserveEvent(now)
		r.recordWriting(now)
		r.markPrefilled()
		r.member.Accepted(now)
		r.recordProgress(now)
	}
	e.raw = append(r.preamble, e.raw...)
	r.preamble = nil
	if err := r.deliver(r.response, e, now); err != nil {
		r.callerDisconnected = true
		return Failed, true, errors.Wrap(err, "write to the caller")
	}
	return 0, false, nil
}

// isProgress reports whether an event makes progress for the caller. In a numbered
// stream an event without a number does not.
func (r *run) isProgress(e event) bool { return e.numbered || e.hasData && r.lastEventID == 0 }

func (r *run) handleHead(head *attemptResult) (result Result, ended bool, err error) {
	if head.result == Answered && head.response.StatusCode == http.StatusOK {
		if r.headWritten && !sameMediaType(head.response.Header, r.x.writer.Header()) {
			return UpstreamError, true, errOtherMediaType
		}
		r.response = head.response
		return 0, false, nil
	}
	if head.result == Answered && !r.headWritten {
		if head.partial && !r.x.beginAnswer() {
			return Failed, true, errGraceOver
		}
		result, err := r.f.deliver(r.x, *head)
		r.headWritten, r.unnumbered, r.x.state.Begun = true, true, true
		return result, true, err
	}
	if head.result == Answered {
		head.result = UpstreamError // the caller is within a stream, so it cannot get this response
	}
	if head.result == UpstreamError && !impliesNotRun(head.response.StatusCode) && !head.partial {
		r.failure = head
	}
	r.pushedBack = head.retryAfter > 0
	if head.err == nil {
		head.err = errors.Newf("status %d", head.response.StatusCode)
	}
	return head.result, true, head.err
}

// sameMediaType reports whether a response can continue another one. A header without
// Content-Type matches any.
func sameMediaType(next, first http.Header) bool {
	name := func(header http.Header) string {
		mediaType, _, _ := strings.Cut(header.Get("Content-Type"), ";")
		return strings.TrimSpace(mediaType)
	}
	return name(next) == "" || name(first) == "" || strings.EqualFold(name(next), name(first))
}
