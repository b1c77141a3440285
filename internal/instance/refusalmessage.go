package instance

import (
	"foxtailhub.example/foxtailhub/internal/contract"
)

// refusalMessages maps reasons to the one-line texts sent to callers.
var refusalMessages = map[contract.Reason]string{
	contract.ReasonOverloaded:               "the expected wait exceeds the time for admission",
	contract.ReasonWorkspaceLimit:           "a limit of the workspace is reached",
	contract.ReasonNoUpstream:               "no upstream can take the request now",
	contract.ReasonStoreDown:                "the call cannot be recorded, so it was not run",
	contract.ReasonConfigurationUnconfirmed: "this instance cannot confirm its configuration; another one may",
	contract.ReasonQuarantined:              "this content has crashed several upstreams and is refused",
	contract.ReasonDeadlineExceeded:         "the deadline has passed",
	contract.ReasonPrefixMismatch:           "the text received so far is not that of the generation; send it in resume.received",
	contract.ReasonVersionGone:              "no engine serves the required model version",
	contract.ReasonKeyExpired:               "the idempotency key is older than the retention time of records",
	contract.ReasonKeyNoTime:                contract.ErrKeyNoTime.Error(),
	contract.ReasonKeyMismatch:              "the idempotency key was used for another request",
	contract.ReasonInProgress:               "the same request is in progress; send it again with the same key",
	contract.ReasonUnknownOutcome:           "the call was sent and its answer was lost",
	contract.ReasonUpstreamRefused:          "the upstream refused the request before running it",
	contract.ReasonUnknownService:           "service: no rule lets this workspace use such a service",
	contract.ReasonUnknownWorkspace:         "workspace: not in the configuration",
	contract.ReasonAttemptsExhausted:        "too many attempts failed",
	contract.ReasonNotHeld:                  "the text before the position is not held here; send it in resume.received",
	contract.ReasonLeaving:                  "this instance is about to stop; another one may run the request",
	contract.ReasonAbandoned:                "no caller was connected for the grace time",
}

func refusalMessage(verdict contract.Verdict) string {
	if message, ok := refusalMessages[verdict.Reason]; ok {
		return message
	}
	return string(verdict.Reason)
}
