package api

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Guards against a status that differs from docs/api.md: load balancers and
// callers retry only on 429 and 503.
func TestStatusOfEachReason(t *testing.T) {
	for status, reasons := range map[int][]contract.Reason{
		404: {contract.ReasonUnknownWorkspace, contract.ReasonUnknownService},
		409: {contract.ReasonInProgress, contract.ReasonPrefixMismatch, contract.ReasonNotHeld, contract.ReasonAbandoned},
		422: {contract.ReasonQuarantined, contract.ReasonKeyMismatch, contract.ReasonKeyExpired, contract.ReasonKeyNoTime},
		429: {contract.ReasonOverloaded, contract.ReasonWorkspaceLimit},
		500: {contract.ReasonInternal},
		503: {contract.ReasonNoUpstream, contract.ReasonStoreDown, contract.ReasonConfigurationUnconfirmed, contract.ReasonAttemptsExhausted, contract.ReasonUpstreamRefused, contract.ReasonVersionGone, "not known"},
		504: {contract.ReasonDeadlineExceeded},
	} {
		for _, reason := range reasons {
			g := NewWithT(t)
			verdict := contract.Verdict{Outcome: contract.NotRun, Reason: reason, RetryAfter: 1500*time.Millisecond + 1}
			httpError := ErrorFromVerdict(verdict, "message")
			g.Expect(httpError.StatusCode).To(Equal(status), string(reason))
			g.Expect(httpError.RetryAfter.Value).To(Equal(2), "seconds are rounded up")
			verdict.RetryAfter = 1501 * time.Millisecond
			g.Expect(VerdictFromError(httpError)).To(Equal(verdict))
		}
	}
}

// Guards against a retryable status for a generation that cannot be continued.
func TestStatusOfAnInterruptedGeneration(t *testing.T) {
	httpError := ErrorFromVerdict(contract.Verdict{Outcome: contract.Interrupted, Reason: contract.ReasonVersionGone}, "")
	NewWithT(t).Expect(httpError.StatusCode).To(Equal(409))
}

// Guards against a Retry-After header that makes callers retry immediately after
// a final refusal.
func TestFinalRefusalHasNoRetryAfter(t *testing.T) {
	g := NewWithT(t)
	httpError := ErrorFromVerdict(contract.Verdict{Outcome: contract.Quarantined, Reason: contract.ReasonQuarantined}, "")
	g.Expect(httpError.RetryAfter.Set).To(BeFalse())
	g.Expect(httpError.Response.RetryAfterMs.Set).To(BeFalse())
}
