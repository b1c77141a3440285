package upstream

import (
	"context"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Incarnation changes each time an upstream process starts. It distinguishes a
// restart from a lost connection.
type Incarnation string

// StreamID identifies a stream on an engine.
type StreamID string

// Priority orders requests at admission and in an engine's queue; higher goes
// first.
type Priority int

// The priorities.
const (
	PriorityBatch       Priority = 10
	PriorityInteractive Priority = 20
	PriorityResumed     Priority = 30
)

// Sampling holds the parameters that choose the text of a generation.
type Sampling struct {
	Seed        uint64  `json:"seed" cbor:"1,keyasint"`
	Temperature float64 `json:"temperature" cbor:"2,keyasint"`
}

// ModelPin identifies the model to which a generation is bound from its first
// token to its last.
type ModelPin struct {
	Model   string `json:"model" cbor:"1,keyasint"`
	Version string `json:"version" cbor:"2,keyasint"`
	Adapter string `json:"adapter,omitempty" cbor:"3,keyasint,omitempty"`
}

// StreamRequest starts a stream on an engine. The engine continues the text
// Prompt + Prefix; its first token has offset len(Prefix).
type StreamRequest struct {
	Stream    StreamID               `json:"stream"`
	Request   contract.RequestID     `json:"request"`
	Attempt   contract.AttemptNumber `json:"attempt"`
	Pin       ModelPin               `json:"pin"`
	Prompt    string                 `json:"prompt"`
	Prefix    []string               `json:"prefix,omitempty"`
	Sampling  Sampling               `json:"sampling"`
	MaxTokens int64                  `json:"max_tokens"` // limit for the whole text, prefix included
	Priority  Priority               `json:"priority"`
}

// StreamEvent is one event of an engine's stream: a token or the end.
type StreamEvent struct {
	Stream     StreamID           // the stream that the event belongs to
	Request    contract.RequestID // the request that the event belongs to
	Token      contract.Token     // valid if End is false
	End        bool               // the text is complete
	TokenCount int64              // tokens of the whole text, prefix included; valid if End is true
}

// Errors of engines.
var (
	// ErrRefused reports that the upstream is alive and did not run the request.
	ErrRefused = errors.New("upstream refused the request")
	// ErrLeaving reports that the upstream is leaving and did not run the request.
	ErrLeaving = errors.New("upstream is leaving")
	// ErrUnreachable reports that no connection could be made: nothing was sent.
	ErrUnreachable = errors.New("upstream is unreachable")
	// ErrConnectionLost reports that a connection ended before the response was
	// complete.
	ErrConnectionLost = errors.New("connection to the upstream was lost")
	// ErrStreamNotFound reports that the engine has no such stream.
	ErrStreamNotFound = errors.New("engine has no such stream")
	// ErrPrefixMismatch reports that the engine's stream has a different text
	// before the position.
	ErrPrefixMismatch = errors.New("engine's stream has a different text at this position")
)

// Stream is a running stream of one engine over one connection.
type Stream interface {
	// Incarnation returns the incarnation of the engine that serves the stream.
	Incarnation() Incarnation
	// Next returns the next event. It returns ErrConnectionLost when the
	// connection ends early and ctx.Err() when ctx ends first.
	Next(ctx context.Context) (StreamEvent, error)
	// Close closes the connection. The engine keeps the stream for a while, so
	// that it can be resumed.
	Close()
}

// LoadReport is an engine's or service's own report of its load; it lags.
type LoadReport struct {
	Incarnation Incarnation `json:"incarnation"`
	Leaving     bool        `json:"leaving"`
	Running     int         `json:"running"` // requests in progress
	Queued      int         `json:"queued"`  // requests in the queue
	Slots       int         `json:"slots"`   // requests that can run at a time
	Models      []ModelPin  `json:"models"`  // models that an engine serves
}

// Engine is a client of one engine.
type Engine interface {
	// Start starts a stream.
	Start(ctx context.Context, request StreamRequest) (Stream, error)
	// Resume opens the same stream over a new connection from a position that the
	// stream has already passed or will reach.
	Resume(ctx context.Context, stream StreamID, from contract.Position) (Stream, error)
	// Cancel ends a stream and frees its slot.
	Cancel(ctx context.Context, stream StreamID) error
	// Load returns the load report.
	Load(ctx context.Context) (LoadReport, error)
}

// EngineDialer returns the Engine at an address.
type EngineDialer interface {
	Engine(target Target) Engine
}
