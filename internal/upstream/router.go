// Package upstream tracks the upstreams: which exist, which are live, leaving or
// loaded, and which contents crash them. It places requests on them.
//
// The package must never place new work on an upstream known to be leaving.
package upstream

import (
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Target is an upstream as described by the configuration.
type Target struct {
	ID            contract.UpstreamID
	Address       string // host:port
	FailureDomain contract.FailureDomainID
}

// ContentKey identifies the content of a request regardless of sender and
// attempt: a hash of service, prompt and parameters.
type ContentKey [16]byte

// Requirements describes the upstream that a request requires.
type Requirements struct {
	Service   contract.ServiceID
	Workspace contract.WorkspaceID
	Pin       ModelPin              // engines only: model to be served; zero for plain services
	Prefix    string                // start of the prompt, for prefix affinity
	Content   ContentKey            // separates suspects
	Avoid     []contract.UpstreamID // upstreams that already failed this request
	Resumed   bool                  // placed by load only, without prefix affinity
}

// Placement is a chosen upstream. Done must be called exactly once.
type Placement struct {
	Target Target
	Done   func(Observation)
}

// Observation describes how the use of an upstream ended.
type Observation struct {
	Kind        ObservationKind
	Incarnation Incarnation   // of the upstream that was used, if known
	Latency     time.Duration // time to the first token or to the whole response; 0 if none came
}

// ObservationKind is the kind of an Observation.
type ObservationKind string

// Kinds of observations.
const (
	ObservedOK             ObservationKind = "ok"
	ObservedCancelled      ObservationKind = "cancelled"   // this instance ended the use
	ObservedUnreachable    ObservationKind = "unreachable" // connection refused or timed out
	ObservedConnectionLost ObservationKind = "lost"        // connection lost during the request: the upstream may have crashed
	ObservedNoResponse     ObservationKind = "silent"      // no response in time, connection open
	ObservedLeaving        ObservationKind = "leaving"     // the upstream reported that it is leaving
	ObservedRefused        ObservationKind = "refused"     // alive, but did not run the request
)

// ContentStatus is the status of a content.
type ContentStatus struct {
	Crashes     int // distinct upstreams that crashed while running it
	Quarantined bool
	Until       time.Time // end of the quarantine
}

// Router places requests on upstreams and learns from the observations of their
// use.
type Router interface {
	// Place chooses an upstream. If there is none, ok is false and wait is the
	// time after which to retry.
	Place(requirements Requirements) (placement Placement, wait time.Duration, ok bool)
	// Target returns the upstream with the given identifier, if it is known.
	Target(id contract.UpstreamID) (Target, bool)
	// Serves reports whether any upstream of the service serves the pin,
	// whatever its load and health.
	Serves(service contract.ServiceID, pin ModelPin) bool
	// ContentStatus returns the status of a content.
	ContentStatus(content ContentKey) ContentStatus
}
