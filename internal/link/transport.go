// Package link is the transport between instances: QUIC with mutual TLS, one
// connection per peer, messages in CBOR.
//
// The package must never process a message that was not validated, and an
// unauthorized peer or an invalid message must never harm the instance.
package link

import (
	"context"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// MessageType identifies a kind of request between instances.
type MessageType string

// Handler serves requests of one message type. The bodies of request and response
// are CBOR. Handlers validate the decoded request; an error rejects it.
type Handler func(ctx context.Context, peer contract.InstanceID, body []byte) ([]byte, error)

// StreamHandler serves a request whose response is a stream of frames. It returns
// at the end of the stream.
type StreamHandler func(ctx context.Context, peer contract.InstanceID, body []byte, send func(frame []byte) error) error

// FrameReader is the receiving end of a stream of frames.
type FrameReader interface {
	// Next returns the next frame, io.EOF after the last one.
	Next(ctx context.Context) ([]byte, error)
	Close()
}

// Transport sends requests to peers and dispatches incoming requests to handlers.
type Transport interface {
	// Request sends a request and returns the body of the response.
	Request(ctx context.Context, peer contract.InstanceID, kind MessageType, body []byte) ([]byte, error)
	// OpenStream sends a request whose response is a stream of frames.
	OpenStream(ctx context.Context, peer contract.InstanceID, kind MessageType, body []byte) (FrameReader, error)
	// Handle registers the handler for a message type, before the transport runs.
	Handle(kind MessageType, handler Handler)
	// HandleStream registers the stream handler for a message type, before the transport runs.
	HandleStream(kind MessageType, handler StreamHandler)
}
