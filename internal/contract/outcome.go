package contract

import "time"

// Outcome says how a request ended, as far as the system knows.
type Outcome string

// The outcomes of a request.
const (
	// Completed: the request ran and its whole answer is known.
	Completed Outcome = "completed"
	// NotRun: the request was not run and will not be run for this submission.
	NotRun Outcome = "not_run"
	// Unknown: the request may have run; it will not be sent again.
	Unknown Outcome = "unknown"
	// Quarantined: the content has killed several upstreams and is refused.
	Quarantined Outcome = "quarantined"
	// Interrupted: a generation ended before its end and cannot be continued.
	Interrupted Outcome = "interrupted"
)

// Reason is the machine-readable cause of an outcome.
type Reason string

// Reasons of outcomes other than Completed.
const (
	ReasonOverloaded      Reason = "overloaded"       // the expected wait exceeds the deadline
	ReasonLimit           Reason = "limit"            // a limit of the workspace is reached
	ReasonNoUpstream      Reason = "no_upstream"      // no upstream can take the request now
	ReasonStoreDown       Reason = "store_down"       // the table service cannot record the call
	ReasonUnconfirmed     Reason = "unconfirmed"      // the instance cannot confirm its configuration
	ReasonQuarantined     Reason = "quarantined"      // the content is quarantined
	ReasonDeadline        Reason = "deadline"         // the caller's deadline has passed
	ReasonPrefixMismatch  Reason = "prefix_mismatch"  // the caller holds another text than this generation
	ReasonVersionGone     Reason = "version_gone"     // no engine serves the pinned model version
	ReasonKeyExpired      Reason = "key_expired"      // the key is older than the retention time of records
	ReasonKeyNoTime       Reason = "key_no_time"      // the key carries no creation time
	ReasonMismatch        Reason = "mismatch"         // the key was used for another request
	ReasonInProgress      Reason = "in_progress"      // another submission of the request is running
	ReasonUnknownOutcome  Reason = "unknown_outcome"  // the call was sent and no clear answer came back
	ReasonUpstreamRefused Reason = "upstream_refused" // the upstream refused before running
	ReasonUnknownService  Reason = "unknown_service"  // the configuration has no such service
	ReasonUnknownSpace    Reason = "unknown_workspace"
	ReasonBadRequest      Reason = "bad_request"        // a value of the request is missing or wrong
	ReasonBadPosition     Reason = "bad_position"       // the position of a resumption cannot be parsed
	ReasonAttempts        Reason = "attempts_exhausted" // the retry budget or the attempt limit is used up
	ReasonNotHeld         Reason = "not_held"           // the text before the caller's position is not held anywhere
	ReasonAbandoned       Reason = "abandoned"          // no caller was connected for the grace time
)

// Verdict is the final answer to a request without its content.
type Verdict struct {
	Outcome    Outcome       `json:"outcome" cbor:"1,keyasint"`
	Reason     Reason        `json:"reason,omitempty" cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `json:"retry_after,omitempty" cbor:"3,keyasint,omitempty"` // when the caller should come back; 0 if that does not help
}
