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
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/api"
	"foxtailhub.example/foxtailhub/internal/api/oas"
)

// Errors of the client.
var (
	ErrNoEndpoint = errors.New("no endpoint given")
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
	// reconnectPause keeps a caller from hammering a balancer whose instances
	// are all unready.
	reconnectPause = 100 * time.Millisecond
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
	transport := &http.Transport{
		DialContext:       o.dial,
		DisableKeepAlives: true,
	}
	c := &Client{}
	for _, url := range urls {
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
