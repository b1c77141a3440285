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
	// maxKeySkew is how far in the future the time of a key may be. The record of
	// a key from the far future would not be deleted in time.
	maxKeySkew = 10 * time.Minute
	// maxClaims bounds how often a submission tries to take over the released
	// record of another one.
	maxClaims = 3
	// inProgressRetryAfter is the retry-after time while another submission of
	// the call is in progress.
	inProgressRetryAfter = time.Second
	// refusedRetryAfter is the retry-after time when upstreams refused the call
	// and the retry budget is used up. The budget refills at one retry per second
	// at least.
	refusedRetryAfter = time.Second
	// leavingRetryAfter is the retry-after time of a call that this instance no longer
	// sends: another one may run it at once.
	leavingRetryAfter = 100 * time.Millisecond
)

// atMostOnceRunner runs calls that are not idempotent, each at most once.
type atMostOnceRunner struct {
	config  Config
	records *recordStore
}

// checkKey refuses a key without a valid time, or whose record may already have
// been deleted. It returns the reason, or "" for a valid key.
func checkKey(key string, now time.Time, retention time.Duration) contract.Reason {
	created, err := contract.KeyCreationTime(key)
	switch {
	case err != nil || created.After(now.Add(maxKeySkew)):
		return contract.ReasonKeyNoTime
	case now.Sub(created) > retention:
		return contract.ReasonKeyExpired
	}
	return ""
}

func leavingResult() Result { return refusedResult(contract.ReasonLeaving, leavingRetryAfter) }

// run runs a call until ctx ends. startCtx limits the waits before it is sent.
func (r *atMostOnceRunner) run(ctx, startCtx context.Context, request Request) Result {
	if reason := checkKey(request.ID.Key, time.Now(), r.config.Retention); reason != "" {
		return refusedResult(reason, 0)
	}
	key := RecordKey(request.ID)
	if status := r.config.Router.ContentStatus(ContentKeyOf(request)); status.Quarantined {
		return r.runQuarantined(startCtx, request, key, status)
	}
	for range maxClaims {
		record := Record{
			State:       Dispatched,
			Writer:      newWriterToken(),
			Fingerprint: FingerprintOf(request),
			Service:     request.Service,
			CreatedAt:   time.Now(),
		}
		c := r.records.claim(startCtx, key, record)
		switch {
		case c.owned:
			r.recordEvent(timeline.CallRecorded, request, "")
			return r.send(ctx, &ownedCall{request: request, key: key, revision: c.revision, record: record})
		case c.existing == nil:
			return r.claimFailure(ctx, c)
		}
		existing := r.awaitOutcome(startCtx, key, *c.existing)
		if existing.State != Released || existing.Fingerprint != record.Fingerprint {
			return recordedResult(existing, record.Fingerprint)
		}
	}
	return refusedResult(contract.ReasonInProgress, inProgressRetryAfter)
}

// runQuarantined returns the result for quarantined content. If an earlier
// submission ran before the quarantine, its recorded outcome takes precedence.
func (r *atMostOnceRunner) runQuarantined(ctx context.Context, request Request, key string, status upstream.ContentStatus) Result {
	existing, found := r.records.lookup(ctx, key)
	if !found || existing.State == Released {
		return quarantinedResult(status, time.Now())
	}
	return recordedResult(existing, FingerprintOf(request))
}

func (r *atMostOnceRunner) claimFailure(ctx context.Context, c claim) Result {
	switch {
	case ctx.Err() != nil:
		return refusedResult(contract.ReasonDeadlineExceeded, 0)
	case r.config.startsEnded():
		return leavingResult()
	}
	return refusedResult(contract.ReasonStoreDown, c.retryAfter)
}

func (r *atMostOnceRunner) awaitOutcome(ctx context.Context, key string, existing Record) Record {
	ctx, cancel := context.WithTimeout(ctx, r.config.PollTimeout)
	defer cancel()
	return r.records.awaitChange(ctx, key, existing)
}

// recordedResult returns the result for a submission that found the record of
// another one.
func recordedResult(record Record, fingerprint Fingerprint) Result {
	if record.Fingerprint != fingerprint {
		return refusedResult(contract.ReasonKeyMismatch, 0)
	}
	switch record.State {
	case Completed:
		response := upstream.CallResponse{Status: record.Status, ContentType: record.ContentType, Body: record.Body}
		result := completedResult(response)
		result.BodyOmitted = record.BodyOmitted
		result.FromRecord = true
		return result
	case Dispatched:
		// The outcome must not be not_run: the owner may be paused and send later.
		result := unknownResult(contract.ReasonInProgress, inProgressRetryAfter)
		result.FromRecord = true
		return result
	default:
		result := unknownResult(contract.ReasonUnknownOutcome, 0)
		result.FromRecord = true
		return result
	}
}

// ownedCall is a call whose record this submission owns, and the state of the
// attempts to send it.
type ownedCall struct {
	request  Request
	key      string
	revision int64
	record   Record
	avoid    []contract.UpstreamID
}

// send sends a call whose record this submission owns. It tries another upstream
// only if the previous one certainly did not run the call.
func (r *atMostOnceRunner) send(ctx context.Context, owned *ownedCall) Result {
	content := ContentKeyOf(owned.request)
	for {
		if reason, retryAfter := r.checkBeforeSend(owned.request, time.Now()); reason != "" {
			return r.releaseNotRun(owned, reason, retryAfter)
		}
		placement, retryAfter, ok := r.config.Router.Place(upstream.Requirements{
			Service:   owned.request.Service,
			Workspace: owned.request.ID.Workspace,
			Content:   content,
			Avoid:     owned.avoid,
		})
		if !ok {
			return r.releaseNotRun(owned, contract.ReasonNoUpstream, retryAfter)
		}
		if reason, retryAfter := r.checkBeforeSend(owned.request, time.Now()); reason != "" {
			placement.Done(upstream.Observation{Kind: upstream.ObservedCancelled})
			return r.releaseNotRun(owned, reason, retryAfter)
		}
		r.recordEvent(timeline.CallSent, owned.request, placement.Target.ID)
		response, err := r.call(ctx, owned.request, placement)
		if err == nil {
			return r.complete(owned, response)
		}
		if !notExecuted(err) {
			return r.markUnknown(ctx, owned)
		}
		owned.avoid = append(owned.avoid, placement.Target.ID)
		if !r.config.RetryBudget.Take() {
			return r.releaseNotRun(owned, contract.ReasonUpstreamRefused, refusedRetryAfter)
		}
	}
}

// checkBeforeSend returns the reason not to send. It is called directly before
// each attempt, because a process that was paused must not send after its
// submission or its key has expired.
func (r *atMostOnceRunner) checkBeforeSend(request Request, now time.Time) (contract.Reason, time.Duration) {
	switch {
	case !now.Before(request.Deadline):
		return contract.ReasonDeadlineExceeded, 0
	case r.config.startsEnded():
		return contract.ReasonLeaving, leavingRetryAfter
	}
	return checkKey(request.ID.Key, now, r.config.Retention), 0
}

func (r *atMostOnceRunner) call(ctx context.Context, request Request, placement upstream.Placement) (upstream.CallResponse, error) {
	started := time.Now()
	response, err := r.config.Services.Service(placement.Target).CallOnce(ctx, request.callRequest())
	placement.Done(observationOf(response, err, time.Since(started)))
	return response, err
}

// notExecuted reports whether err proves that the upstream did not run the call.
func notExecuted(err error) bool {
	return errors.IsAny(err, upstream.ErrUnreachable, upstream.ErrRefused, upstream.ErrLeaving)
}

// observationOf returns the result of an attempt in the form that the router
// takes.
func observationOf(response upstream.CallResponse, err error, latency time.Duration) upstream.Observation {
	kind := upstream.ObservedConnectionLost
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
		kind = upstream.ObservedNoResponse
	case errors.Is(err, context.Canceled):
		kind = upstream.ObservedCancelled
	}
	return upstream.Observation{Kind: kind}
}

func (r *atMostOnceRunner) complete(owned *ownedCall, response upstream.CallResponse) Result {
	record, err := owned.record.Complete(owned.record.Writer, response)
	contract.Invariant(err == nil, "own record cannot be completed", "error", err)
	r.records.recordOutcome(owned.key, owned.revision, record)
	return completedResult(response)
}

func (r *atMostOnceRunner) markUnknown(ctx context.Context, owned *ownedCall) Result {
	record, err := owned.record.MarkUnknown(owned.record.Writer)
	contract.Invariant(err == nil, "own record cannot be set to unknown", "error", err)
	r.records.recordOutcome(owned.key, owned.revision, record)
	if ctx.Err() != nil {
		return unknownResult(contract.ReasonDeadlineExceeded, 0)
	}
	return unknownResult(contract.ReasonUnknownOutcome, 0)
}

// releaseNotRun releases the record of a call that did not run and ends the
// submission, which must not send the call afterwards.
func (r *atMostOnceRunner) releaseNotRun(owned *ownedCall, reason contract.Reason, retryAfter time.Duration) Result {
	r.records.release(owned.request.Deadline, owned.key, owned.revision, owned.record)
	r.recordEvent(timeline.CallReleased, owned.request, "")
	return refusedResult(reason, retryAfter)
}

func (r *atMostOnceRunner) recordEvent(kind timeline.Kind, request Request, target contract.UpstreamID) {
	r.config.Timeline.Record(timeline.Event{Kind: kind, Request: request.ID, Upstream: target})
}
