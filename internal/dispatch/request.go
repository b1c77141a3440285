package dispatch

import (
	"net/http"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// Request is one call to a plain service.
type Request struct {
	ID       contract.RequestID
	Service  contract.ServiceID
	Method   string // default POST
	Path     string // default /
	Body     []byte
	Deadline time.Time // at most the deadline of the service, which is the default
}

// Result is the result of one submission of a request.
type Result struct {
	Verdict  contract.Verdict
	Response upstream.CallResponse // valid if the outcome is completed
	// BodyOmitted is set if the response comes from a record and its body was too
	// large to store: the status is valid, the body is missing.
	BodyOmitted bool
	// FromRecord is set if the result comes from the record of another submission.
	FromRecord bool
}

func (r Request) withDefaults() Request {
	if r.Method == "" {
		r.Method = http.MethodPost
	}
	if r.Path == "" {
		r.Path = "/"
	}
	return r
}

func (r Request) callRequest() upstream.CallRequest {
	return upstream.CallRequest{Request: r.ID, Path: r.Path, Method: r.Method, Body: r.Body}
}

func refusedResult(reason contract.Reason, retryAfter time.Duration) Result {
	return Result{Verdict: contract.Verdict{Outcome: contract.NotRun, Reason: reason, RetryAfter: retryAfter}}
}

func unknownResult(reason contract.Reason, retryAfter time.Duration) Result {
	return Result{Verdict: contract.Verdict{Outcome: contract.Unknown, Reason: reason, RetryAfter: retryAfter}}
}

func completedResult(response upstream.CallResponse) Result {
	return Result{Verdict: contract.Verdict{Outcome: contract.Completed}, Response: response}
}

func quarantinedResult(status upstream.ContentStatus, now time.Time) Result {
	return Result{Verdict: contract.Verdict{
		Outcome:    contract.Quarantined,
		Reason:     contract.ReasonQuarantined,
		RetryAfter: max(0, status.Until.Sub(now)),
	}}
}
