// Package forward proxies opaque requests from callers to upstreams and returns
// their responses: plain calls, and streams of numbered events that resume at
// another upstream when theirs fails.
//
// The package must never tell a caller that a request was not run unless no
// upstream can have run it, never run a request that must not be repeated on a
// second upstream, and never make a truncated response look complete.
package forward

import (
	"net/http"
	"time"

	"foxtailhub.example/foxtailhub/internal/pool"
)

// Metadata is the information that a caller sends with its request.
type Metadata struct {
	ID           string        // the caller's identifier of this attempt
	APIKey       string        // API key; empty: none
	Deadline     time.Duration // the caller's time limit; 0: not specified
	LastEventID  int64         // the caller has the events up to this number; 0: none
	PromptPartID string        // ID of the prompt part that is specific to the request or its session; empty: not specified
	// PromptParts are the IDs of all parts of the prompt, in order. The last is PromptPartID;
	// prompts of other requests may share the ones before it.
	PromptParts  []string
	PromptTokens int
	OutputTokens int // maximum
}

// KVCopy identifies a copy of the KV memory of a run.
type KVCopy struct {
	Address string // upstream that holds the copy
	RunID   string // identifier of the run
}

// Attempt is one transmission of a request to an upstream.
type Attempt struct {
	Upstream     pool.Upstream
	Workspace    string         // empty: the caller has no workspace
	TimeLeft     time.Duration  // time after which the upstream may stop
	LastEventID  int64          // the upstream continues after this event; 0: from the start
	BackupHolder *pool.Upstream // holds the KV copy of the run; nil: none
	ResumeFrom   *KVCopy        // KV copy to resume from; nil: prefill the prompt
}

// ResponseHead is the information in the head of an upstream's response.
type ResponseHead struct {
	RequestID   string // request that the response belongs to; empty: not specified
	Signed      bool   // the response carries the upstream's signature
	NotRun      bool   // the upstream states that it did not run the request
	Misdirected bool   // another process has this address
	Encoded     bool   // the body is encoded, so it is not what the upstream produced
	Leaving     bool   // the upstream is leaving
	// RetryAfter is how long an upstream that refused the request accepts no requests
	// from this instance (pushback); 0: not specified.
	RetryAfter time.Duration
	Rate       pool.RequestRate // request rate that the upstream states
}

// Protocol translates between the HTTP headers of a deployment and the types of this
// package. It makes no decisions.
type Protocol interface {
	// Metadata parses the information in a caller's request header.
	Metadata(header http.Header) Metadata
	// RequestHeader returns the header of an attempt: the caller's header without
	// hop-by-hop fields and fields that only the system sets.
	RequestHeader(caller http.Header, attempt Attempt) http.Header
	// ParseResponse parses the head of an upstream's response.
	ParseResponse(status int, header http.Header) ResponseHead
	// ResponseHeader returns the response header for the caller.
	ResponseHeader(upstream http.Header) http.Header
	// SetRetryAfter sets the time after which the caller may retry.
	SetRetryAfter(header http.Header, after time.Duration)
}
