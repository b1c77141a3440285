// Package client is the caller's side of foxtailhub: it sends requests to a
// list of instances or balancers, reconnects, and checks what arrives.
//
// The package must never report a generation as complete unless its count and
// checksum match, and must never send a call under a new key by itself.
package client

import (
	"context"
	"net"
	"net/http"
	neturl "net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/api"
	"foxtailhub.example/foxtailhub/internal/api/oas"
)

// Errors of the client.
var (
	ErrNoEndpoint = errors.New("no endpoint given")
	// ErrEndpointInvalid reports an endpoint that is no base URL.
	ErrEndpointInvalid = errors.New("endpoint must have the form http://address:port")
	// ErrIncomplete reports a text whose count or checksum does not match.
	ErrIncomplete = errors.New("answer is incomplete or damaged")
	// ErrGaveUp reports that the deadline passed before a final answer came.
	ErrGaveUp = errors.New("no final answer before the deadline")
)

const (
	dialTimeout = 2 * time.Second
	// idleTimeout is the silence after which a connection is taken for dead
	// although it is open. It leaves half of the 3 s in which output must go on
	// to the reconnection.
	idleTimeout = 3 * api.KeepAliveInterval
	// firstAnswerTimeout is longer than the default time in the queue of an engine
	// service (10 s), so that a queued request keeps its place.
	firstAnswerTimeout = 12 * time.Second
	maxAnswerTimeout   = time.Minute
	// reconnectPause doubles up to maxReconnectPause while no event arrives, so
	// that endpoints that refuse at once are not hammered.
	reconnectPause    = 100 * time.Millisecond
	maxReconnectPause = time.Second
	maxDoublings      = 10
	// answerGrace is how long the client waits for the final answer after the
	// request's deadline.
	answerGrace = 2 * time.Second
	// callTimeout bounds a call that names no deadline.
	callTimeout = 10 * time.Minute
)

// Client sends requests to the endpoints in turn.
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
// request, since a pooled connection may have gone silent without notice.
func New(urls []string, change ...Option) (*Client, error) {
	if len(urls) == 0 {
		return nil, ErrNoEndpoint
	}
	o := options{dial: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	for _, apply := range change {
		apply(&o)
	}
	transport := &http.Transport{DialContext: o.dial, DisableKeepAlives: true}
	c := &Client{}
	for _, url := range urls {
		if parsed, err := neturl.Parse(url); err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return nil, errors.Wrapf(ErrEndpointInvalid, "%q", url)
		}
		endpoint, err := oas.NewClient(url, oas.WithClient(&http.Client{Transport: transport}))
		if err != nil {
			return nil, errors.Wrapf(err, "endpoint %q", url)
		}
		c.endpoints = append(c.endpoints, endpoint)
	}
	return c, nil
}

// Endpoint returns the endpoint for the next request.
func (c *Client) Endpoint() *oas.Client {
	n := c.next.Add(1) - 1
	return c.endpoints[n%uint64(len(c.endpoints))]
}

// Endpoints returns how many endpoints there are.
func (c *Client) Endpoints() int { return len(c.endpoints) }
