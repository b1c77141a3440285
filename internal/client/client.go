// Package client is the client library of foxtailhub: it sends requests to a list
// of instances or load balancers, reconnects, and verifies the received stream.
//
// The package must never report a generation as complete unless its token count
// and checksum match, and must never send a call under a new key on its own.
package client

import (
	"context"
	"mime"
	"net"
	"net/http"
	neturl "net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/api"
	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/checkedhttp"
)

// Errors of the client.
var (
	ErrNoEndpoint = errors.New("no endpoint given")
	// ErrEndpointInvalid reports an endpoint that is not a base URL.
	ErrEndpointInvalid = errors.New("endpoint must have the form http://address:port")
	// ErrCorruptStream reports a stream with a wrong request, position, count or checksum.
	ErrCorruptStream = errors.New("response stream is incomplete or corrupt")
	// ErrNoFinalOutcome reports a deadline or cancellation before the final outcome.
	ErrNoFinalOutcome = errors.New("no final outcome before the deadline")
)

const (
	dialTimeout = 2 * time.Second
	// idleTimeout is the time without received bytes after which a connection is
	// considered lost. Output must continue within 3 s of a loss: detecting it
	// takes up to 1.5 s, which leaves 1.5 s to reconnect.
	idleTimeout = 3 * api.KeepAliveInterval
	// firstResponseTimeout is longer than the default queueing time of an engine
	// service (10 s), so that a queued request is not cancelled and queued anew.
	firstResponseTimeout = 12 * time.Second
	maxResponseTimeout   = time.Minute
	// reconnectBackoff doubles up to maxReconnectBackoff while no event arrives, so
	// that endpoints that refuse immediately are not flooded with connections.
	reconnectBackoff    = 100 * time.Millisecond
	maxReconnectBackoff = time.Second
	maxDoublings        = 10
	// deadlineGrace is how long the client waits for the final outcome after the
	// request's deadline.
	deadlineGrace = 2 * time.Second
	// callTimeout bounds a call without a deadline.
	callTimeout = 10 * time.Minute
)

// maxBodyBytes bounds the body of a response that is read as a whole. The largest are configurations
// and time lines.
const maxBodyBytes = 64 << 20

// boundedBodies bounds the bodies of responses other than streams.
type boundedBodies struct{ http.RoundTripper }

func (b boundedBodies) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := b.RoundTripper.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if mediaType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type")); mediaType != "text/event-stream" {
		response.Body = http.MaxBytesReader(nil, response.Body, maxBodyBytes)
	}
	return response, nil
}

// Client sends requests to its endpoints in round-robin order.
type Client struct {
	endpoints []*oas.Client
	next      atomic.Uint64
}

// Option changes how a Client connects.
type Option func(*options)

type options struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// WithDial makes the client open its connections with dial instead of TCP.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = dial }
}

// New returns a Client for a list of base URLs. Each connection is used for one
// request, since a pooled connection may be half-open.
func New(urls []string, opts ...Option) (*Client, error) {
	if len(urls) == 0 {
		return nil, ErrNoEndpoint
	}
	o := options{dial: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	for _, apply := range opts {
		apply(&o)
	}
	transport := checkedhttp.New(&http.Transport{DialContext: o.dial, DisableKeepAlives: true})
	c := &Client{}
	for _, url := range urls {
		if parsed, err := neturl.Parse(url); err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return nil, errors.Wrapf(ErrEndpointInvalid, "%q", url)
		}
		endpoint, err := oas.NewClient(url, oas.WithClient(&http.Client{Transport: boundedBodies{transport}}))
		if err != nil {
			return nil, errors.Wrapf(err, "endpoint %q", url)
		}
		c.endpoints = append(c.endpoints, endpoint)
	}
	return c, nil
}

// NextEndpoint returns the endpoint for the next request, in round-robin order.
func (c *Client) NextEndpoint() *oas.Client {
	n := c.next.Add(1) - 1
	return c.endpoints[n%uint64(len(c.endpoints))]
}

// EndpointCount returns the number of endpoints.
func (c *Client) EndpointCount() int { return len(c.endpoints) }
