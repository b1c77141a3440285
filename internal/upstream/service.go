package upstream

import (
	"context"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// CallRequest is one call to a plain service.
type CallRequest struct {
	Request contract.RequestID
	Path    string // path and query below the service's address
	Method  string
	Body    []byte
}

// CallResponse is the whole response of a plain service.
type CallResponse struct {
	Status      int    `json:"status" cbor:"1,keyasint"`
	ContentType string `json:"content_type" cbor:"2,keyasint"`
	Body        []byte `json:"body" cbor:"3,keyasint"`

	Incarnation Incarnation `json:"-" cbor:"-"` // of the server that responded, if known
}

// ServiceClient calls one plain service server.
type ServiceClient interface {
	// CallIdempotent sends a request that may be repeated.
	CallIdempotent(ctx context.Context, request CallRequest) (CallResponse, error)
	// CallOnce sends a request at most once: it must not be sent again by any
	// layer below. ErrUnreachable, ErrRefused and ErrLeaving mean that the
	// request certainly did not run; any other error means that it may have run.
	CallOnce(ctx context.Context, request CallRequest) (CallResponse, error)
	// Load returns the load report.
	Load(ctx context.Context) (LoadReport, error)
}

// ServiceDialer returns the ServiceClient at an address.
type ServiceDialer interface {
	Service(target Target) ServiceClient
}
