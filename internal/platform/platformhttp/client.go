// Package platformhttp adapts the platform's HTTP services to the interfaces of
// package platform.
//
// The package must never report that a write had no effect unless that is
// certain.
package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"foxtailhub.example/foxtailhub/internal/checkedhttp"
	"foxtailhub.example/foxtailhub/internal/platform"
)

// The protocol: paths relative to a service's base URL, and the header with which
// a service states that a rejected request had no effect.
const (
	PathRow       = "/table/row"       // GET ?key=; platform.Row
	PathRows      = "/table/rows"      // GET ?prefix=&after=&limit=; list of platform.Row
	PathCommit    = "/table/commit"    // POST CommitRequest; CommitResponse
	PathObjects   = "/objects/"        // GET, PUT /objects/{name}; raw data
	PathList      = "/list"            // GET; platform.List
	PathInstances = "/list/instances/" // PUT, DELETE /list/instances/{id}; platform.ListEntry
	PathUpstreams = "/list/upstreams/" // PUT, DELETE /list/upstreams/{id}; platform.ListEntry

	EffectHeader = "Foxtailhub-Effect"
	EffectNone   = "none"
)

// DefaultTimeout bounds one request.
const DefaultTimeout = 2 * time.Second

const (
	// maxBufferedBytes bounds the bodies of a service's responses that are read at the same time, beyond
	// the first chunk of each, so also a single one. A configuration has 8 MiB at most.
	maxBufferedBytes = 64 << 20
	firstChunkBytes  = 4 << 10
	readChunkBytes   = 64 << 10
)

var errTooManyBytes = errors.Newf("responses of the service exceed %d bytes", maxBufferedBytes)

// CommitRequest is the body of a commit.
type CommitRequest struct {
	Transactions []platform.Transaction `json:"transactions"`
}

// CommitResponse is the body of the response to a commit.
type CommitResponse struct {
	Results []platform.CommitResult `json:"results"`
}

// Config configures an adapter.
type Config struct {
	// Address is the service's base URL, such as http://127.0.0.1:7300.
	Address string
	// Timeout bounds one request. Default 2 s.
	Timeout time.Duration
	// Transport carries the requests. Default: a transport of its own.
	//
	// A transport may retry a request by itself when a reused connection breaks.
	// Commits are POSTs without an idempotency key, which http.Transport does not
	// retry once a byte was written; another transport or a proxy may. A commit
	// that returns "not applied" may therefore have been applied by an earlier
	// transmission, and callers read the row back to find out.
	Transport http.RoundTripper
}

// maxIdleConnections applies per service. One instance has more than 2 (the
// default) commits and reads in flight.
const maxIdleConnections = 32

// client sends the requests of one adapter.
type client struct {
	base     string
	timeout  time.Duration
	http     *http.Client
	buffered *semaphore.Weighted // bytes of responses that are being read
}

func newClient(cfg Config) *client {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.Transport == nil {
		cfg.Transport = checkedhttp.New(&http.Transport{MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: time.Minute})
	}
	return &client{
		base:    strings.TrimSuffix(cfg.Address, "/"),
		timeout: cfg.Timeout,
		http:    &http.Client{Transport: cfg.Transport, CheckRedirect: noRedirect},

		buffered: semaphore.NewWeighted(maxBufferedBytes),
	}
}

// noRedirect disables redirects, which could send a write twice.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// read sends a GET and returns the body.
func (c *client) read(ctx context.Context, path string) ([]byte, error) {
	status, body, err := c.do(ctx, http.MethodGet, path, nil)
	switch {
	case err != nil:
		return nil, errors.Mark(err, platform.ErrUnavailable)
	case status == http.StatusNotFound:
		return nil, platform.ErrNotFound
	case status != http.StatusOK:
		return nil, errors.Wrapf(platform.ErrUnavailable, "GET %s: status %d", path, status)
	}
	return body, nil
}

func (c *client) readJSON(ctx context.Context, path string, target any) error {
	body, err := c.read(ctx, path)
	if err != nil {
		return err
	}
	return decode(body, target, platform.ErrUnavailable)
}

// write sends a request that has an effect.
func (c *client) write(ctx context.Context, method, path string, data []byte) ([]byte, error) {
	status, body, err := c.do(ctx, method, path, data)
	switch {
	case err != nil && notSent(err):
		return nil, errors.Mark(err, platform.ErrUnavailable)
	case err != nil:
		return nil, errors.Mark(err, platform.ErrUncertain)
	case status == statusNoEffect:
		return nil, errors.Wrapf(platform.ErrUnavailable, "%s %s was refused", method, path)
	case status/100 != 2:
		return nil, errors.Wrapf(platform.ErrUncertain, "%s %s: status %d", method, path, status)
	}
	return body, nil
}

// statusNoEffect represents a 503 with the effect header. It is not an HTTP status.
const statusNoEffect = 1

func (c *client) do(ctx context.Context, method, path string, data []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, errors.Mark(err, errNotSent)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		// Idle connections to a service usually become unresponsive together.
		// Without closing them, each would make one more request time out.
		c.http.CloseIdleConnections()
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // the body was read or the request failed
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(EffectHeader) == EffectNone {
		return statusNoEffect, nil, nil
	}
	body, err := c.readBody(response.Body)
	return response.StatusCode, body, err
}

// readBody reads a body, unless too many bytes of responses are being read.
func (c *client) readBody(body io.Reader) ([]byte, error) {
	var chunks [][]byte
	taken := int64(0)
	defer func() { c.buffered.Release(taken) }()
	for size := firstChunkBytes; ; size = readChunkBytes {
		chunk := make([]byte, size)
		n, err := 0, error(nil)
		for n < size && err == nil {
			var read int
			read, err = body.Read(chunk[n:])
			n += read
		}
		chunks = append(chunks, chunk[:n])
		switch {
		case errors.Is(err, io.EOF):
			return bytes.Join(chunks, nil), nil
		case err != nil:
			return nil, err
		case !c.buffered.TryAcquire(readChunkBytes):
			return nil, errTooManyBytes
		}
		taken += readChunkBytes
	}
}

// errNotSent marks errors that occur before a request is sent.
var errNotSent = errors.New("request was not sent")

// notSent reports whether certainly no byte of the request was sent, because no
// connection was established.
func notSent(err error) bool {
	if errors.Is(err, errNotSent) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// decode decodes a response; a failure is marked with kind.
func decode(body []byte, target any, kind error) error {
	if err := json.Unmarshal(body, target); err != nil {
		return errors.Mark(errors.Wrap(err, "decode answer of the platform"), kind)
	}
	return nil
}
