// Package timeline records events of all instances: a hybrid logical clock, a
// bounded ring buffer of recent events and a merge in causal order.
//
// The package must never record prompts, generated text, response bodies or keys.
package timeline

import (
	"foxtailhub.example/foxtailhub/internal/contract"
)

// Timestamp is a hybrid logical timestamp: physical milliseconds, then a
// counter that orders events within a millisecond and after received messages.
type Timestamp struct {
	WallMS  int64  `json:"wall_ms" cbor:"1,keyasint"`
	Logical uint32 `json:"logical" cbor:"2,keyasint"`
}

// Event is one entry of the timeline.
type Event struct {
	At       Timestamp              `json:"at" cbor:"1,keyasint"`
	Instance contract.InstanceID    `json:"instance" cbor:"2,keyasint"`
	Kind     Kind                   `json:"kind" cbor:"3,keyasint"`
	Request  contract.RequestID     `json:"request,omitzero" cbor:"4,keyasint,omitempty"`
	Attempt  contract.AttemptNumber `json:"attempt,omitempty" cbor:"5,keyasint,omitempty"`
	Upstream contract.UpstreamID    `json:"upstream,omitempty" cbor:"6,keyasint,omitempty"`
	Detail   string                 `json:"detail,omitempty" cbor:"7,keyasint,omitempty"` // short text or key=value pairs
}

// Kind is the kind of an event.
type Kind string

// Kinds of events.
const (
	RequestAdmitted     Kind = "request_admitted"
	RequestRefused      Kind = "request_refused"
	RequestFinished     Kind = "request_finished"
	CallerConnected     Kind = "caller_connected"
	CallerDisconnected  Kind = "caller_gone"
	AttemptStarted      Kind = "attempt_started"
	AttemptFirstToken   Kind = "attempt_first_token"
	AttemptSuspected    Kind = "attempt_suspected"
	AttemptProbed       Kind = "attempt_probed"
	AttemptLost         Kind = "attempt_lost"
	AttemptEnded        Kind = "attempt_ended"
	GenerationTakenOver Kind = "generation_taken_over"
	CallRecorded        Kind = "call_recorded"
	CallSent            Kind = "call_sent"
	CallReleased        Kind = "call_released"
	UpstreamChanged     Kind = "upstream_changed"
	ContentSuspected    Kind = "content_suspected"
	ContentQuarantined  Kind = "content_quarantined"
	ConfigAccepted      Kind = "configuration_accepted"
	ConfigInForce       Kind = "configuration_in_force"
	InstanceChanged     Kind = "instance_changed"
	PeerChanged         Kind = "peer_changed"
)

// Recorder records events. It stamps At and Instance.
type Recorder interface {
	Record(event Event)
}

// Discard is a Recorder that drops all events.
type Discard struct{}

// Record drops the event.
func (Discard) Record(Event) {}
