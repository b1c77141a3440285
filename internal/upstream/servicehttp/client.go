package servicehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/checkedhttp"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// Headers of calls and their responses.
const (
	// HeaderIdempotencyKey carries the idempotency key to the service.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderUpstreamState reports, in a response with status 503, that the
	// service did not run the call, and why: StateLeaving or StateRefused.
	HeaderUpstreamState = "Foxtailhub-Upstream-State"
	// HeaderIncarnation carries the incarnation of the server that responds.
	// Optional.
	HeaderIncarnation = "Foxtailhub-Incarnation"
	StateLeaving      = "leaving"
	StateRefused      = "refused"
)

// MaxResponseBytes is the maximum length of a response body.
const MaxResponseBytes = 1 << 20

// ErrResponseTooLarge reports a response longer than MaxResponseBytes. The call
// ran; its response cannot be returned completely.
var ErrResponseTooLarge = errors.New("response of the service is too large")

type client struct {
	dialer  *Dialer
	address string
}

// CallIdempotent sends a request that may be repeated.
func (c *client) CallIdempotent(ctx context.Context, call upstream.CallRequest) (upstream.CallResponse, error) {
	request, err := c.newRequest(ctx, call, bytes.NewReader(call.Body))
	if err != nil {
		return upstream.CallResponse{}, err
	}
	return exchange(ctx, c.dialer.pooled, request, c.confirmServer)
}

// CallOnce sends a request at most once, over a new connection: the transport
// resends a replayable request when a reused connection breaks, and if a reused
// connection breaks it is uncertain whether the call ran.
func (c *client) CallOnce(ctx context.Context, call upstream.CallRequest) (upstream.CallResponse, error) {
	request, err := c.newRequest(ctx, call, nonReplayableBody{bytes.NewReader(call.Body)})
	if err != nil {
		return upstream.CallResponse{}, err
	}
	request.ContentLength = int64(len(call.Body))
	if len(call.Body) == 0 {
		// A length of 0 with a non-nil body means that the length is unknown.
		request.ContentLength = -1
	}
	conn, err := c.dialer.dial(ctx, "tcp", c.address)
	if err != nil {
		return upstream.CallResponse{}, err
	}
	defer func() { _ = conn.Close() }()
	transport := singleUse(conn)
	defer transport.CloseIdleConnections()
	return exchange(ctx, transport, request, c.confirmServer)
}

// nonReplayableBody hides the type of the reader, for which http.NewRequest would
// set GetBody and make the request replayable. It is never nil, since a request
// without a body is replayable too.
type nonReplayableBody struct{ io.Reader }

// Load returns the load report.
func (c *client) Load(ctx context.Context) (upstream.LoadReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/load", nil)
	if err != nil {
		return upstream.LoadReport{}, errors.Wrap(upstream.ErrUnreachable, err.Error())
	}
	response, err := exchange(ctx, c.dialer.pooled, request, nil) // JSON shows whether it is complete
	if err != nil {
		return upstream.LoadReport{}, err
	}
	if response.Status != http.StatusOK {
		return upstream.LoadReport{}, errors.Newf("load report: status %d", response.Status)
	}
	var report upstream.LoadReport
	if err := json.Unmarshal(response.Body, &report); err != nil {
		return upstream.LoadReport{}, errors.Wrap(err, "load report")
	}
	return report, nil
}

func (c *client) newRequest(ctx context.Context, call upstream.CallRequest, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+c.address+call.Path, body)
	if err != nil {
		// The request cannot be built, so nothing was sent.
		return nil, errors.Wrapf(upstream.ErrRefused, "request to the service: %v", err)
	}
	request.Header.Set(HeaderIdempotencyKey, call.Request.Key)
	if len(call.Body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// exchange uses RoundTrip instead of http.Client, which follows redirects. confirm, if
// not nil, confirms a response that only the end of its connection ends.
func exchange(
	ctx context.Context, transport http.RoundTripper, request *http.Request, confirm func(context.Context, upstream.Incarnation) error,
) (upstream.CallResponse, error) {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return upstream.CallResponse{}, classify(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	incarnation := upstream.Incarnation(response.Header.Get(HeaderIncarnation))
	if err := notRunError(response); err != nil {
		return upstream.CallResponse{}, upstream.WithIncarnation(err, incarnation)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if err != nil {
		return upstream.CallResponse{}, classify(ctx, err)
	}
	if len(body) > MaxResponseBytes {
		return upstream.CallResponse{}, ErrResponseTooLarge
	}
	if confirm != nil && checkedhttp.EndsWithConnection(response) {
		if err := confirm(ctx, incarnation); err != nil {
			return upstream.CallResponse{}, err
		}
	}
	return upstream.CallResponse{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
		Incarnation: incarnation,
	}, nil
}

// classify keeps ErrUnreachable, returns the error of ctx if ctx has ended, and
// maps all other errors to a lost connection.
func classify(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, upstream.ErrUnreachable):
		return err
	case ctx.Err() != nil:
		return errors.Wrap(ctx.Err(), err.Error())
	}
	return errors.Wrap(upstream.ErrConnectionLost, err.Error())
}

// notRunError returns the error for a response that reports that the call did not
// run.
func notRunError(response *http.Response) error {
	if response.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	switch response.Header.Get(HeaderUpstreamState) {
	case StateLeaving:
		return upstream.ErrLeaving
	case StateRefused:
		return upstream.ErrRefused
	}
	return nil
}
