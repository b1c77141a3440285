package contract

import "time"

// Outcome is how a request ended, as far as the system can determine.
type Outcome string

// The outcomes of a request.
const (
	// Completed: the request ran and its complete response is known.
	Completed Outcome = "completed"
	// NotRun: the request was not run and will not be run for this submission.
	NotRun Outcome = "not_run"
	// Unknown: the request may have run and will not be sent again.
	Unknown Outcome = "unknown"
	// Quarantined: the content has crashed several upstreams and is refused.
	Quarantined Outcome = "quarantined"
	// Interrupted: a generation stopped before its end and cannot be continued.
	Interrupted Outcome = "interrupted"
)

// Reason is the machine-readable cause of an outcome.
type Reason string

// Reasons of outcomes other than Completed.
const (
	ReasonOverloaded               Reason = "overloaded"       // the expected wait exceeds the deadline
	ReasonWorkspaceLimit           Reason = "limit"            // a limit of the workspace is reached
	ReasonNoUpstream               Reason = "no_upstream"      // no upstream can take the request now
	ReasonStoreDown                Reason = "store_down"       // the table service cannot record the call
	ReasonConfigurationUnconfirmed Reason = "unconfirmed"      // the instance cannot confirm its configuration
	ReasonQuarantined              Reason = "quarantined"      // the content is quarantined
	ReasonDeadlineExceeded         Reason = "deadline"         // the caller's deadline has passed
	ReasonPrefixMismatch           Reason = "prefix_mismatch"  // the caller's text differs from that of this generation
	ReasonVersionGone              Reason = "version_gone"     // no engine serves the pinned model version
	ReasonKeyExpired               Reason = "key_expired"      // the key is older than the retention time of records
	ReasonKeyNoTime                Reason = "key_no_time"      // the key carries no creation time
	ReasonKeyMismatch              Reason = "mismatch"         // the key was used for another request
	ReasonInProgress               Reason = "in_progress"      // another submission of the request is running
	ReasonUnknownOutcome           Reason = "unknown_outcome"  // the call was sent and no definite response was received
	ReasonUpstreamRefused          Reason = "upstream_refused" // the upstream refused before running
	ReasonUnknownService           Reason = "unknown_service"  // the configuration has no such service
	ReasonUnknownWorkspace         Reason = "unknown_workspace"
	ReasonAttemptsExhausted        Reason = "attempts_exhausted" // the retry budget or the attempt limit is used up
	ReasonNotHeld                  Reason = "not_held"           // no instance holds the text before the caller's position
	ReasonAbandoned                Reason = "abandoned"          // no caller was connected for the grace time
	ReasonLeaving                  Reason = "leaving"            // the instance ends before it could start the request
	ReasonBadRequest               Reason = "bad_request"        // the request is malformed
	ReasonInternal                 Reason = "internal"           // an unexpected error at the instance; its log has the cause
)

// Verdict is the final result of a request without its content.
type Verdict struct {
	Outcome    Outcome       `json:"outcome" cbor:"1,keyasint"`
	Reason     Reason        `json:"reason,omitempty" cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `json:"retry_after,omitempty" cbor:"3,keyasint,omitempty"` // when the caller should retry; 0 if a retry does not help
}
