// Package link connects instances: QUIC with mutual TLS, one connection per
// peer, CBOR messages.
//
// The package must never act on a message that was not checked, and a wrong
// peer or message must never harm the instance.
package link

import (
	"context"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// MessageType names a kind of request between instances.
type MessageType string

// Handler answers requests of one message type from a peer. The body and the
// answer are CBOR. Handlers check what they decode; an error refuses the request.
type Handler func(ctx context.Context, peer contract.InstanceID, body []byte) ([]byte, error)

// StreamHandler answers a request with a sequence of frames. It returns when
// the sequence has ended.
type StreamHandler func(ctx context.Context, peer contract.InstanceID, body []byte, send func(frame []byte) error) error

// Frames is the receiving end of a sequence of frames.
type Frames interface {
	// Next returns the next frame, io.EOF after the last one.
	Next(ctx context.Context) ([]byte, error)
	Close()
}

// Transport sends requests to peers and dispatches those that arrive.
type Transport interface {
	// Request sends a request and returns the answer.
	Request(ctx context.Context, peer contract.InstanceID, kind MessageType, body []byte) ([]byte, error)
	// Open sends a request that is answered by a sequence of frames.
	Open(ctx context.Context, peer contract.InstanceID, kind MessageType, body []byte) (Frames, error)
	// Handle registers the handler for a message type, before the transport runs.
	Handle(kind MessageType, handler Handler)
	// HandleStream registers the stream handler for a message type, before the transport runs.
	HandleStream(kind MessageType, handler StreamHandler)
}
