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
)

const (
	// dialTimeout bounds the wait for a connection. An upstream that is up accepts
	// within a few milliseconds.
	dialTimeout = 300 * time.Millisecond
	// maxAnswerHeadBytes bounds the head of an answer, interim answers included.
	maxResponseHeadBytes = 64 << 10
	// keptAnswerBytes is the part of an answer that is read before its caller gets any
	// of it, so that a request whose answer breaks off can still be repeated. Answers
	// are mostly below a kilobyte.
	bufferedResponseBytes = 1 << 20
	// maxAnswerBytes bounds the length of an answer: bytes may come without end.
	maxResponseBytes = 32 << 20
)

var (
	errForeignResponse   = errors.New("the answer belongs to another request")
	errUnsigned          = errors.New("a success has no upstream's signature")
	errEncodedBody       = errors.New("the body is encoded")
	errResponseTooLong   = errors.New("the answer is too long")
	errUnresponsive      = errors.New("the upstream is silent")
	errStalled           = errors.New("the stream has stalled")
	errNoBackupHolder    = errors.New("no upstream was found for a copy")
	errUpstreamRestarted = errors.New("the upstream restarted meanwhile")
	errEventGap          = errors.New("an event is missing")
)

// sender sends requests to upstreams, each over a connection of its own: an
// answer that arrives late or bytes after an answer then cannot be taken for the
// answer to another request.
type sender struct {
	protocol  Protocol
	transport http.RoundTripper
}

func newSender(protocol Protocol, transport http.RoundTripper) *sender {
	if transport == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		transport = &http.Transport{
			DialContext:        dialer.DialContext,
			DisableKeepAlives:  true, // also keeps the transport from repeating requests by itself
			DisableCompression: true,

			MaxResponseHeaderBytes: maxResponseHeadBytes,
		}
	}
	return &sender{protocol: protocol, transport: transport}
}

// attemptResult is the outcome of one sending.
type attemptResult struct {
	result     Result
	response   *http.Response // nil unless the upstream answered; the body is open
	body       []byte         // after keep; the whole body unless it goes on
	partial    bool           // the body is longer than what was kept; the response's body has the rest
	err        error
	leaving    bool          // the upstream says that it leaves
	retryAfter time.Duration // the upstream wants nothing from this instance for so long; 0: it does not say
}

// send sends the request and reads the head of the answer.
func (s *sender) send(ctx context.Context, x *exchange, attempt Sending) attemptResult {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := s.request(httptrace.WithClientTrace(ctx, trace), x, attempt)
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
	head := s.protocol.Answer(response.StatusCode, response.Header)
	result, err := classify(x, head, response.StatusCode)
	if err != nil {
		_ = response.Body.Close() // the answer is not used
		return attemptResult{result: result, err: err, leaving: head.Leaving && !errors.Is(err, errForeignResponse)}
	}
	r := attemptResult{result: result, response: response}
	if result != Misplaced { // what another process says is learned when it is identified
		r.leaving, r.retryAfter = head.Leaving, head.ComeBack
	}
	return r
}

// classify says what the head of an answer proves.
func classify(x *exchange, head Answer, status int) (Result, error) {
	success := status >= 200 && status < 300
	switch {
	case head.RequestID != "" && head.RequestID != x.meta.ID:
		return Failed, errForeignResponse
	case head.Misplaced:
		return Misplaced, nil
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

// promisesNotRun reports whether a status tells a caller that its request has
// not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (s *sender) request(ctx context.Context, x *exchange, attempt Sending) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, x.request.Method, "http://"+attempt.Upstream.Address, bytes.NewReader(x.body))
	if err != nil {
		return nil, err
	}
	request.URL = targetURL(x.request, attempt.Upstream.Address)
	request.Host = x.request.Host
	request.Header = s.protocol.RequestHeader(x.request.Header, attempt)
	if _, given := request.Header["User-Agent"]; !given {
		request.Header["User-Agent"] = nil // keeps the library from adding its own
	}
	if len(x.body) == 0 {
		request.Body = http.NoBody
		request.ContentLength = 0
	}
	return request, nil
}

// target returns a URL that sends the caller's path and query unchanged.
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

// keep reads the body, or the beginning of a long one. Without its whole body an
// answer is not complete. The body of a refusal is needed by nobody and may have no end.
func (r attemptResult) buffer(memory *reservation) attemptResult {
	if r.response == nil {
		return r
	}
	if r.result == NotRun || r.result == Misplaced {
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

// close ends the answer; closing it twice does no harm.
func (r attemptResult) close() {
	if r.response != nil {
		_ = r.response.Body.Close() // nothing more is read from it
	}
}
