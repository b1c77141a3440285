package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/timeline"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

const (
	// maxKeySkew is how far in the future the time of a key may lie. A key from
	// the far future would keep its record from being deleted.
	maxKeySkew = 10 * time.Minute
	// claimRounds bounds how often a submission that finds another's record
	// released tries to take it over.
	claimRounds = 3
	// inProgressRetry is the retry-after time while another submission runs.
	inProgressRetry = time.Second
	// refusedRetry is the retry-after time when upstreams refused the call and
	// the retry budget is used up. The budget's floor is one retry per second.
	refusedRetry = time.Second
)

// onceRunner runs calls that are not idempotent.
type onceRunner struct {
	config   Config
	recorder *recorder
}

// checkKey refuses a key whose record may already have been deleted.
func checkKey(key string, now time.Time, retention time.Duration) contract.Reason {
	created, err := contract.KeyTime(key)
	switch {
	case err != nil || created.After(now.Add(maxKeySkew)):
		return contract.ReasonKeyNoTime
	case now.Sub(created) > retention:
		return contract.ReasonKeyExpired
	}
	return ""
}

func (o *onceRunner) run(ctx context.Context, request Request) Result {
	if reason := checkKey(request.ID.Key, time.Now(), o.config.Retention); reason != "" {
		return refused(reason, 0)
	}
	key := RecordKey(request.ID)
	if standing := o.config.Router.Standing(ContentOf(request)); standing.Quarantined {
		return o.runQuarantined(ctx, request, key, standing)
	}
	for range claimRounds {
		record := Record{
			State:       Dispatched,
			Writer:      newWriterToken(),
			Fingerprint: FingerprintOf(request),
			Service:     request.Service,
			CreatedAt:   time.Now(),
		}
		c := o.recorder.claim(ctx, key, record)
		switch {
		case c.owned:
			o.event(timeline.CallRecorded, request, "")
			return o.send(ctx, &sending{request: request, key: key, revision: c.revision, record: record})
		case c.existing == nil:
			return o.notRecorded(ctx, c)
		}
		existing := o.awaitOutcome(ctx, key, *c.existing)
		if existing.State != Released || existing.Fingerprint != record.Fingerprint {
			return recordedResult(existing, record.Fingerprint)
		}
	}
	return refused(contract.ReasonInProgress, inProgressRetry)
}

// runQuarantined answers for a quarantined content. An earlier submission may
// have run before the quarantine; its recorded outcome comes first.
func (o *onceRunner) runQuarantined(ctx context.Context, request Request, key string, standing upstream.Standing) Result {
	existing, found := o.recorder.lookup(ctx, key)
	if !found || existing.State == Released {
		return quarantined(standing, time.Now())
	}
	return recordedResult(existing, FingerprintOf(request))
}

func (o *onceRunner) notRecorded(ctx context.Context, c claim) Result {
	if ctx.Err() != nil {
		return refused(contract.ReasonDeadline, 0)
	}
	return refused(contract.ReasonStoreDown, c.retryAfter)
}

func (o *onceRunner) awaitOutcome(ctx context.Context, key string, existing Record) Record {
	ctx, cancel := context.WithTimeout(ctx, o.config.PollWait)
	defer cancel()
	return o.recorder.await(ctx, key, existing)
}

// recordedResult is the answer to a submission that found another's record.
func recordedResult(record Record, fingerprint Fingerprint) Result {
	if record.Fingerprint != fingerprint {
		return refused(contract.ReasonMismatch, 0)
	}
	switch record.State {
	case Completed:
		response := upstream.CallResponse{Status: record.Status, ContentType: record.ContentType, Body: record.Body}
		result := completed(response)
		result.BodyOmitted = record.BodyOmitted
		result.Recorded = true
		return result
	case Dispatched:
		// The owner may be paused and send later: this is never not_run.
		result := unknown(contract.ReasonInProgress, inProgressRetry)
		result.Recorded = true
		return result
	default:
		result := unknown(contract.ReasonUnknownOutcome, 0)
		result.Recorded = true
		return result
	}
}

// sending is an own record and what became of the attempts to send its call.
type sending struct {
	request  Request
	key      string
	revision int64
	record   Record
	avoid    []contract.UpstreamID
}

// send sends the call on an own record. It goes to another upstream only if it
// certainly was not sent or not run by the one before.
func (o *onceRunner) send(ctx context.Context, s *sending) Result {
	content := ContentOf(s.request)
	for {
		if reason := o.sendForbidden(s.request, time.Now()); reason != "" {
			return o.giveUp(s, reason, 0)
		}
		placement, wait, ok := o.config.Router.Place(upstream.Need{
			Service:   s.request.Service,
			Workspace: s.request.ID.Workspace,
			Content:   content,
			Avoid:     s.avoid,
		})
		if !ok {
			return o.giveUp(s, contract.ReasonNoUpstream, wait)
		}
		if reason := o.sendForbidden(s.request, time.Now()); reason != "" {
			placement.Done(upstream.Observation{Kind: upstream.ObservedCancelled})
			return o.giveUp(s, reason, 0)
		}
		o.event(timeline.CallSent, s.request, placement.Target.ID)
		response, err := o.call(ctx, s.request, placement)
		if err == nil {
			return o.complete(s, response)
		}
		if !notSent(err) {
			return o.lose(ctx, s)
		}
		s.avoid = append(s.avoid, placement.Target.ID)
		if !o.config.Budget.Take() {
			return o.giveUp(s, contract.ReasonUpstreamRefused, refusedRetry)
		}
	}
}

// sendForbidden is checked directly before a send: a process that was paused
// must not send after its submission or its key has expired.
func (o *onceRunner) sendForbidden(request Request, now time.Time) contract.Reason {
	if !now.Before(request.Deadline) {
		return contract.ReasonDeadline
	}
	return checkKey(request.ID.Key, now, o.config.Retention)
}

func (o *onceRunner) call(ctx context.Context, request Request, placement upstream.Placement) (upstream.CallResponse, error) {
	began := time.Now()
	response, err := o.config.Services.Service(placement.Target).CallOnce(ctx, request.call())
	placement.Done(observe(response, err, time.Since(began)))
	return response, err
}

// notSent reports whether the call certainly did not run.
func notSent(err error) bool {
	return errors.IsAny(err, upstream.ErrUnreachable, upstream.ErrRefused, upstream.ErrLeaving)
}

// observe tells the router how the use of an upstream ended.
func observe(response upstream.CallResponse, err error, latency time.Duration) upstream.Observation {
	kind := upstream.ObservedLost
	switch {
	case err == nil:
		return upstream.Observation{Kind: upstream.ObservedOK, Incarnation: response.Incarnation, Latency: latency}
	case errors.Is(err, upstream.ErrUnreachable):
		kind = upstream.ObservedUnreachable
	case errors.Is(err, upstream.ErrRefused):
		kind = upstream.ObservedRefused
	case errors.Is(err, upstream.ErrLeaving):
		kind = upstream.ObservedLeaving
	case errors.Is(err, context.DeadlineExceeded):
		kind = upstream.ObservedSilent
	case errors.Is(err, context.Canceled):
		kind = upstream.ObservedCancelled
	}
	return upstream.Observation{Kind: kind}
}

func (o *onceRunner) complete(s *sending, response upstream.CallResponse) Result {
	record, err := s.record.Complete(s.record.Writer, response)
	contract.Invariant(err == nil, "own record cannot be completed", "error", err)
	o.recorder.finish(s.key, s.revision, record)
	return completed(response)
}

func (o *onceRunner) lose(ctx context.Context, s *sending) Result {
	record, err := s.record.Lose(s.record.Writer)
	contract.Invariant(err == nil, "own record cannot be set to unknown", "error", err)
	o.recorder.finish(s.key, s.revision, record)
	if ctx.Err() != nil {
		return unknown(contract.ReasonDeadline, 0)
	}
	return unknown(contract.ReasonUnknownOutcome, 0)
}

// giveUp ends a submission that did not send and never will.
func (o *onceRunner) giveUp(s *sending, reason contract.Reason, retryAfter time.Duration) Result {
	o.recorder.release(s.request.Deadline, s.key, s.revision, s.record)
	o.event(timeline.CallReleased, s.request, "")
	return refused(reason, retryAfter)
}

func (o *onceRunner) event(kind timeline.Kind, request Request, target contract.UpstreamID) {
	o.config.Timeline.Record(timeline.Event{Kind: kind, Request: request.ID, Upstream: target})
}
