package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/checkedhttp"
	"foxtailhub.example/foxtailhub/internal/pool"
)

const (
	// dialTimeout bounds connection establishment. An upstream that is up accepts
	// within a few milliseconds.
	dialTimeout = 300 * time.Millisecond
	// keepAliveInterval is the time between keep-alive probes of an idle connection, and
	// keepAliveCount the number of unanswered ones after which it is closed. They show a
	// machine that is gone, and are answered also for a process that stands still.
	keepAliveInterval = time.Second
	keepAliveCount    = 6
	// maxResponseHeadBytes bounds the head of a response, including interim (1xx)
	// responses. A server may hold the end of the head back, so each request in progress may
	// keep a head and its decoded form.
	maxResponseHeadBytes = 32 << 10
	// bufferedResponseBytes is the part of a response that is read before the caller
	// gets any of it, so that a request whose response is truncated can still be
	// retried. Most responses are below a kilobyte.
	bufferedResponseBytes = 1 << 20
	// maxResponseBytes bounds the length of a response, since a faulty upstream may
	// never end it.
	maxResponseBytes = 32 << 20
)

var (
	errForeignResponse   = errors.New("response belongs to another request")
	errUnnamedRefusal    = errors.New("refusal does not name the request")
	errUnsigned          = errors.New("successful response has no upstream signature")
	errEncodedBody       = errors.New("response body is encoded")
	errResponseTruncated = errors.New("response was truncated")
	errResponseTooLong   = errors.New("response exceeds the maximum length")
	errUnresponsive      = errors.New("upstream did not respond to a probe")
	errStalled           = errors.New("stream stalled")
	errNoBackupHolder    = errors.New("no upstream available for a KV copy")
	errUpstreamReplaced  = errors.New("another process has taken the address of the upstream")
	errUpstreamRestarted = errors.New("upstream restarted during its identification")
	errEventGap          = errors.New("event missing from the stream")
	errOtherMediaType    = errors.New("response has another media type than the stream that it was to continue")
	errSwitchedProtocol  = errors.New("upstream switched the protocol")
)

// sender sends requests to upstreams, each over its own connection: a late response, or
// bytes after a response, then cannot be taken for the response to another request.
type sender struct {
	protocol  Protocol
	transport http.RoundTripper
	// confirmProcess returns an error if the process that received an attempt is gone.
	confirmProcess func(ctx context.Context, x *exchange, sentTo pool.Upstream) error
}

func newSender(protocol Protocol, transport http.RoundTripper) *sender {
	if transport == nil {
		transport = checkedhttp.New(newTransport())
	}
	return &sender{protocol: protocol, transport: transport}
}

// newTransport returns the transport to upstreams.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return &http.Transport{
		DialContext:        dialer.DialContext,
		DisableKeepAlives:  true, // also prevents automatic retries by the transport
		DisableCompression: true,

		MaxResponseHeaderBytes: maxResponseHeadBytes,
	}
}

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	result     Result
	response   *http.Response // nil unless the upstream responded; the body is open
	body       []byte         // set by buffer; the whole body unless partial
	partial    bool           // body is only the beginning; the remainder is still in the response
	err        error
	leaving    bool          // the upstream reported that it is leaving
	retryAfter time.Duration // pushback time that the upstream stated; 0: none
	rate       pool.RequestRate
	hasRate    bool // rate is that of the addressed upstream, also if it states none
}

// send sends the request and reads the head of the response.
func (s *sender) send(ctx context.Context, x *exchange, attempt Attempt) attemptResult {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := s.newRequest(httptrace.WithClientTrace(ctx, trace), x, attempt)
	if err != nil {
		return attemptResult{result: NotSent, err: err}
	}
	response, err := s.transport.RoundTrip(request)
	if err != nil {
		if !connected.Load() {
			return attemptResult{result: NotSent, err: err}
		}
		return attemptResult{result: Failed, err: err}
	}
	head := s.protocol.ParseResponse(response.StatusCode, response.Header)
	result, err := classify(x, head, response.StatusCode)
	if err != nil {
		_ = response.Body.Close() // the response is not used
		r := attemptResult{result: result, err: err}
		if !errors.Is(err, errForeignResponse) {
			r.leaving, r.retryAfter = head.Leaving, head.RetryAfter
		}
		return r
	}
	if checkedhttp.EndsWithConnection(response) {
		response.Body = &unframedBody{response.Body, func() error { return s.confirmProcess(ctx, x, attempt.Upstream) }}
	}
	r := attemptResult{result: result, response: response}
	if result != Misdirected { // the state of another process is read when it is identified
		r.leaving, r.retryAfter = head.Leaving, head.RetryAfter
		// Refusals and errors may come without the rate although it still holds.
		r.rate, r.hasRate = head.Rate, head.Rate != pool.RequestRate{} || result == Answered
	}
	return r
}

// classify derives the result of an attempt from the head of the response.
func classify(x *exchange, head ResponseHead, status int) (Result, error) {
	success := status >= 200 && status < 300
	switch {
	case head.RequestID != "" && head.RequestID != x.meta.ID:
		return Failed, errForeignResponse
	case status == http.StatusSwitchingProtocols:
		return Failed, errSwitchedProtocol
	case (head.Misdirected || head.NotRun) && head.RequestID != x.meta.ID:
		return Failed, errUnnamedRefusal // may be a repetition of an earlier one
	case head.Misdirected:
		return Misdirected, nil
	case head.NotRun:
		return NotRun, nil
	case head.Encoded:
		return Failed, errEncodedBody
	case success && !head.Signed:
		return Failed, errUnsigned
	case status >= http.StatusInternalServerError || impliesNotRun(status):
		return UpstreamError, nil
	}
	return Answered, nil
}

// impliesNotRun reports whether a status tells a caller that its request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (s *sender) newRequest(ctx context.Context, x *exchange, attempt Attempt) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, x.request.Method, "http://"+attempt.Upstream.Address, bytes.NewReader(x.body))
	if err != nil {
		return nil, err
	}
	request.URL = targetURL(x.request, attempt.Upstream.Address)
	request.Host = x.request.Host
	request.Header = s.protocol.RequestHeader(x.request.Header, attempt)
	if _, isSet := request.Header["User-Agent"]; !isSet {
		request.Header["User-Agent"] = nil // prevents the default of net/http
	}
	if len(x.body) == 0 {
		request.Body = http.NoBody
		request.ContentLength = 0
	}
	return request, nil
}

// targetURL returns a URL that preserves the caller's path and query unchanged.
func targetURL(caller *http.Request, address string) *url.URL {
	raw := caller.RequestURI
	if strings.HasPrefix(raw, "/") && !strings.HasPrefix(raw, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: raw}
	}
	u := *caller.URL
	u.Scheme = "http"
	u.Host = address
	u.User = nil
	return &u
}

// buffer reads the body, or the beginning of a long one. A response is complete only
// with its whole body. The body of a refusal is discarded unread, since it has no use
// and may never end.
func (r attemptResult) buffer(memory *reservation) attemptResult {
	if r.response == nil {
		return r
	}
	if r.result == NotRun || r.result == Misdirected {
		r.close()
		return r
	}
	var err error
	r.body, err = memory.readLimited(r.response.Body, r.response.ContentLength, bufferedResponseBytes)
	switch {
	case errors.Is(err, io.EOF):
		r.close()
	case errors.Is(err, errMemoryExhausted), errors.Is(err, errResponseTooLong):
		r.partial = true
	default:
		r.close()
		r.result, r.response, r.body, r.err = Failed, nil, nil, err
	}
	return r
}

// close closes the response body; it may be called more than once.
func (r attemptResult) close() {
	if r.response != nil {
		_ = r.response.Body.Close() // nothing more is read from it
	}
}
