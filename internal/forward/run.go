package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/pool"
)

// eventBuffer lets an upstream run ahead of its caller by a few events.
const eventBuffer = 16

// item is what arrives from an upstream of a stream: a head, an event or the end.
type item struct {
	head  *attemptResult
	event event
	err   error // io.EOF: the stream is complete
}

// pump sends the request and passes on what arrives until the stream ends. heed
// gets the head of the answer.
func (s *sender) pumpStream(ctx context.Context, x *exchange, attempt Sending, onHead func(attemptResult), out chan<- item) {
	emit := func(it item) bool {
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
		head := r // whoever takes it may change it
		emit(item{head: &head})
		if r.partial {
			<-ctx.Done() // the rest is read while it is delivered
		}
		r.close()
		return
	}
	defer r.response.Body.Close()
	if !emit(item{head: &r}) {
		return
	}
	events := newEventReader(r.response.Body, x.memory)
	for {
		e, err := events.next()
		if !emit(item{event: e, err: err}) || err != nil {
			return
		}
	}
}

// run is the stream on one upstream.
type run struct {
	*relay
	member     *pool.Member
	watch      Watch
	backup     *backup
	response   *http.Response
	preamble   []byte // what arrived before the first event and brings the caller no further
	endPrefill func()
	// pushedBack is whether the upstream refused the request and named a time to come back.
	pushedBack bool
}

// markPrefilled notes that the upstream no longer reads the prompt.
func (r *run) markPrefilled() {
	if r.endPrefill != nil {
		r.endPrefill()
		r.endPrefill = nil
	}
}

// follow passes events on until the stream is complete or has to move.
func (r *run) forwardItems(ctx context.Context, items <-chan item) (Result, error) {
	timer := time.NewTimer(time.Until(r.watch.ProbeAt()))
	defer timer.Stop()
	memberLost := r.member.Lost()
	probeResult := make(chan error, 1)
	probing := false
	for {
		select {
		case it := <-items:
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
			r.watch.Suspect(time.Now())
		case <-timer.C:
			if now := time.Now(); !now.Before(r.watch.StallAt()) {
				if r.canMove(now) {
					return Failed, errStalled
				}
				r.watch.Keep(now)
			}
			if !probing {
				probing = true
				go r.probe(ctx, probeResult)
			}
		case err := <-probeResult:
			probing = false
			if ctx.Err() != nil {
				return Failed, ctx.Err()
			}
			if err != nil && !r.eventWithin(probeTimeout) {
				r.member.Lose(time.Now())
				return Failed, errors.Mark(err, errUnresponsive)
			}
			r.watch.Alive(time.Now())
		case <-ctx.Done():
			return Failed, ctx.Err()
		}
		wakeAt := r.watch.ProbeAt()
		if probing {
			wakeAt = r.watch.StallAt()
		}
		timer.Reset(time.Until(wakeAt))
	}
}

// heardSince reports whether an event has arrived within the duration.
func (r *run) eventWithin(d time.Duration) bool { return r.watch.Silent(time.Now()) < d }

func (r *run) probe(ctx context.Context, probeResult chan<- error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := r.f.Reporter.Report(ctx, r.member.Address)
	probeResult <- err
}

// take handles what arrived from the upstream.
func (r *run) handleItem(it item) (result Result, ended bool, err error) {
	switch {
	case it.head != nil:
		return r.handleHead(it.head)
	case errors.Is(it.err, io.EOF):
		r.writeHead(r.response) // a stream may have no event left
		r.f.Leaving.StreamEnded(time.Since(r.x.arrived))
		r.recordEnd("answered")
		return Answered, true, nil
	case it.err != nil:
		r.member.Lose(time.Now())
		return Failed, true, it.err
	}
	return r.handleEvent(it.event)
}

// takeEvent passes an event on. Only an event that brings the caller further counts
// as progress: an upstream that has stalled may go on to send comments, or events
// that the caller has.
func (r *run) handleEvent(e event) (result Result, ended bool, err error) {
	defer e.release(r.x.memory)
	switch {
	case e.numbered && e.id <= r.lastEventID:
		return 0, false, nil // the caller has it
	case e.numbered && r.lastEventID > 0 && e.id != r.lastEventID+1:
		return Failed, true, errEventGap
	case !r.isProgress(e) && !r.headWritten:
		// The head follows with the first event: until then another upstream can still
		// answer, and a failure be told.
		if len(r.preamble)+len(e.raw) > maxEventBytes {
			return Failed, true, errEventTooLong
		}
		r.preamble = append(r.preamble, e.raw...)
		return 0, false, nil
	}
	now := time.Now()
	if r.isProgress(e) {
		r.watch.Event(now)
		r.markPrefilled()
		r.member.Took(now)
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

// progress reports whether an event brings the caller further. Where events are
// numbered, one without a number does not.
func (r *run) isProgress(e event) bool { return e.numbered || e.data && r.lastEventID == 0 }

// canMove reports whether the stream could go on at another upstream. A slow stream
// that cannot is kept, since its upstream is alive.
func (r *run) canMove(now time.Time) bool {
	next := r.x.state
	next.MayHaveRun++
	next.Left = r.x.timeLeft()
	if !next.Again() || r.unnumbered || !r.x.budget.Available() {
		return false
	}
	need := pool.Need{Avoid: r.x.avoid}
	_, ok := pool.Pick(r.f.Pool.Members(r.x.service.Name), need, now)
	return ok
}

func (r *run) handleHead(head *attemptResult) (result Result, ended bool, err error) {
	if head.result == Answered && head.response.StatusCode == http.StatusOK {
		r.response = head.response
		return 0, false, nil
	}
	if head.result == Answered && !r.headWritten {
		r.f.deliver(r.x, *head)
		return Answered, true, nil
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
