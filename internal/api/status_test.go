package api

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Guards against a status that differs from docs/api.md: balancers and callers
// send a request again on 429 and 503 only.
func TestStatusOfEachReason(t *testing.T) {
	for status, reasons := range map[int][]contract.Reason{
		404: {contract.ReasonUnknownSpace, contract.ReasonUnknownService},
		409: {contract.ReasonInProgress, contract.ReasonPrefixMismatch, contract.ReasonNotHeld, contract.ReasonAbandoned},
		422: {contract.ReasonQuarantined, contract.ReasonMismatch, contract.ReasonKeyExpired, contract.ReasonKeyNoTime},
		429: {contract.ReasonOverloaded, contract.ReasonLimit},
		500: {contract.ReasonInternal},
		503: {contract.ReasonNoUpstream, contract.ReasonStoreDown, contract.ReasonUnconfirmed, contract.ReasonAttempts, contract.ReasonUpstreamRefused, contract.ReasonVersionGone, "not known"},
		504: {contract.ReasonDeadline},
	} {
		for _, reason := range reasons {
			g := NewWithT(t)
			verdict := contract.Verdict{Outcome: contract.NotRun, Reason: reason, RetryAfter: 1500*time.Millisecond + 1}
			answer := VerdictError(verdict, "message")
			g.Expect(answer.StatusCode).To(Equal(status), string(reason))
			g.Expect(answer.RetryAfter.Value).To(Equal(2), "seconds are rounded up")
			verdict.RetryAfter = 1501 * time.Millisecond
			g.Expect(ErrorVerdict(answer)).To(Equal(verdict))
		}
	}
}

// Guards against a generation that cannot be continued but is told to come back.
func TestStatusOfAnInterruptedGeneration(t *testing.T) {
	answer := VerdictError(contract.Verdict{Outcome: contract.Interrupted, Reason: contract.ReasonVersionGone}, "")
	NewWithT(t).Expect(answer.StatusCode).To(Equal(409))
}

// Guards against a header that tells callers to come back at once after a
// final refusal.
func TestNoRetryAfterWithoutTime(t *testing.T) {
	g := NewWithT(t)
	answer := VerdictError(contract.Verdict{Outcome: contract.Quarantined, Reason: contract.ReasonQuarantined}, "")
	g.Expect(answer.RetryAfter.Set).To(BeFalse())
	g.Expect(answer.Response.RetryAfterMs.Set).To(BeFalse())
}
