// Package upstream knows the upstreams: which exist, which are alive, leaving
// or loaded, which one a request goes to, and which contents kill them.
//
// The package must never send new work to an upstream that it knows to be
// leaving.
package upstream

import (
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Target is an upstream as the configuration describes it.
type Target struct {
	ID            contract.UpstreamID
	Address       string // host:port
	FailureDomain contract.FailureDomainID
}

// ContentKey identifies what a request contains, regardless of who sends it or
// how often: a hash of service, prompt and parameters.
type ContentKey [16]byte

// Need says what kind of upstream a request needs.
type Need struct {
	Service   contract.ServiceID
	Workspace contract.WorkspaceID
	Pin       ModelPin              // engines only: what must be served; zero for plain services
	Prefix    string                // beginning of the prompt, for prefix affinity
	Content   ContentKey            // for the separation of suspects
	Avoid     []contract.UpstreamID // upstreams that already failed this request
	Resumed   bool                  // spread by load only, without prefix affinity
}

// Placement is a chosen upstream. Done must be called exactly once.
type Placement struct {
	Target Target
	Done   func(Observation)
}

// Observation says how the use of an upstream ended.
type Observation struct {
	Kind        ObservationKind
	Incarnation Incarnation   // of the upstream that was used, if known
	Latency     time.Duration // time to the first token or to the whole answer; 0 if none came
}

// ObservationKind is the kind of an Observation.
type ObservationKind string

// Kinds of observations.
const (
	ObservedOK          ObservationKind = "ok"
	ObservedCancelled   ObservationKind = "cancelled"   // the use ended for a reason on our side
	ObservedUnreachable ObservationKind = "unreachable" // connection refused or timed out
	ObservedLost        ObservationKind = "lost"        // connection lost during the request: the upstream may have died
	ObservedSilent      ObservationKind = "silent"      // no answer in time, connection open
	ObservedLeaving     ObservationKind = "leaving"     // the upstream said that it is leaving
	ObservedRefused     ObservationKind = "refused"     // alive, but did not take the request
)

// Standing is what is known about a content.
type Standing struct {
	Deaths      int // distinct upstreams that died while running it
	Quarantined bool
	Until       time.Time // end of the quarantine
}

// Router chooses upstreams and learns from their use.
type Router interface {
	// Place chooses an upstream. If there is none, ok is false and wait says
	// when to come back.
	Place(requirements Need) (placement Placement, wait time.Duration, ok bool)
	// Target returns the upstream with the given identifier, if it is known.
	Target(id contract.UpstreamID) (Target, bool)
	// Serves reports whether any upstream of the service serves the pin,
	// whatever its load and health.
	Serves(service contract.ServiceID, pin ModelPin) bool
	// Standing returns what is known about a content.
	Standing(content ContentKey) Standing
}
