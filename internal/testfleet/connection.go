package testfleet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
)

// Caller sends requests one after another. It uses its open connection until the gateway
// closes it, also if the gateway is no longer ready, and then connects to a ready gateway.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller without a connection.
func (f *Fleet) NewCaller() *Caller {
	dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
		ready := f.ReadyAddresses()
		if len(ready) == 0 {
			return nil, errNoGatewayReady
		}
		return (&net.Dialer{}).DialContext(ctx, network, ready[rand.IntN(len(ready))])
	}
	return &Caller{client: &http.Client{Transport: &http.Transport{DialContext: dial, MaxConnsPerHost: 1}}}
}

func (c *Caller) send(ctx context.Context, id, method, path, body string, stream *emulator.StreamRequest) (*http.Response, error) {
	return sendBy(ctx, c.client, "gateway", id, method, path, body, stream)
}

// Call makes one call. It uses POST for repeatable calls too, because net/http silently
// repeats a GET that ends without an answer.
func (c *Caller) Call(ctx context.Context, id string, repeatable bool) CallResult {
	path := "/book/" + id
	if repeatable {
		path = "/read/" + id
	}
	return call(ctx, c.send, id, http.MethodPost, path, CallBody(id, false))
}

// Stream requests a stream and checks each event.
func (c *Caller) Stream(ctx context.Context, spec StreamSpec) StreamResult {
	return stream(ctx, c.send, spec)
}

// Close closes the open connection.
func (c *Caller) Close() { c.client.CloseIdleConnections() }
