package api

import (
	"math"
	"net/http"
	"time"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/contract"
)

// statusByReason maps reasons to HTTP statuses. 429 and 503 mean that the same
// request may be sent again after the Retry-After time.
var statusByReason = map[contract.Reason]int{
	contract.ReasonOverloaded:               http.StatusTooManyRequests,
	contract.ReasonWorkspaceLimit:           http.StatusTooManyRequests,
	contract.ReasonNoUpstream:               http.StatusServiceUnavailable,
	contract.ReasonStoreDown:                http.StatusServiceUnavailable,
	contract.ReasonConfigurationUnconfirmed: http.StatusServiceUnavailable,
	contract.ReasonAttemptsExhausted:        http.StatusServiceUnavailable,
	contract.ReasonUpstreamRefused:          http.StatusServiceUnavailable,
	contract.ReasonInProgress:               http.StatusConflict,
	contract.ReasonPrefixMismatch:           http.StatusConflict,
	contract.ReasonVersionGone:              http.StatusConflict,
	contract.ReasonQuarantined:              http.StatusUnprocessableEntity,
	contract.ReasonKeyMismatch:              http.StatusUnprocessableEntity,
	contract.ReasonKeyExpired:               http.StatusUnprocessableEntity,
	contract.ReasonKeyNoTime:                http.StatusUnprocessableEntity,
	contract.ReasonDeadlineExceeded:         http.StatusGatewayTimeout,
	contract.ReasonUnknownService:           http.StatusNotFound,
	contract.ReasonUnknownWorkspace:         http.StatusNotFound,
	contract.ReasonNotHeld:                  http.StatusConflict,
	contract.ReasonAbandoned:                http.StatusConflict,
	contract.ReasonInternal:                 http.StatusInternalServerError,
	contract.ReasonBadRequest:               http.StatusBadRequest,
}

// ErrorFromVerdict returns the HTTP error for the verdict of a request without a result.
func ErrorFromVerdict(verdict contract.Verdict, message string) *oas.ErrorStatusCodeWithHeaders {
	httpError := &oas.ErrorStatusCodeWithHeaders{
		StatusCode: statusOf(verdict),
		Response: oas.Error{
			Outcome: oas.Outcome(verdict.Outcome),
			Reason:  string(verdict.Reason),
			Message: message,
		},
	}
	if verdict.RetryAfter > 0 {
		httpError.RetryAfter.SetTo(int(math.Ceil(verdict.RetryAfter.Seconds())))
		httpError.Response.RetryAfterMs.SetTo(ceilMilliseconds(verdict.RetryAfter))
	}
	return httpError
}

func statusOf(verdict contract.Verdict) int {
	status, ok := statusByReason[verdict.Reason]
	if !ok || verdict.Outcome == contract.NotRun && verdict.Reason == contract.ReasonVersionGone {
		// A request that was not run can be retried once an engine serves the version.
		return http.StatusServiceUnavailable
	}
	return status
}

// VerdictFromError returns the verdict in an HTTP error response.
func VerdictFromError(httpError *oas.ErrorStatusCodeWithHeaders) contract.Verdict {
	return contract.Verdict{
		Outcome:    contract.Outcome(httpError.Response.Outcome),
		Reason:     contract.Reason(httpError.Response.Reason),
		RetryAfter: time.Duration(httpError.Response.RetryAfterMs.Or(0)) * time.Millisecond,
	}
}

// ceilMilliseconds rounds up, so that a caller never retries too early.
func ceilMilliseconds(d time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(time.Millisecond)))
}
