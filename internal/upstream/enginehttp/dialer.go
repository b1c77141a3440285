package enginehttp

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/checkedhttp"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

const (
	// dialTimeout bounds the time for a TCP connection to an engine.
	dialTimeout = 500 * time.Millisecond
	// maxEventBytes bounds one server-sent event of an engine.
	maxEventBytes = 1 << 20
	// maxLoadBytes bounds a load report.
	maxLoadBytes = 1 << 20
)

// Dialer returns engines reached over HTTP.
type Dialer struct {
	client     *http.Client
	loadClient *http.Client // for load reports
}

// NewDialer returns a Dialer. Each request except those for load reports uses a
// new connection.
func NewDialer() *Dialer {
	single := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dial}
	return &Dialer{
		client:     &http.Client{Transport: checkedhttp.New(single), CheckRedirect: refuseRedirect},
		loadClient: &http.Client{Transport: checkedhttp.New(newLoadTransport(dial)), CheckRedirect: refuseRedirect},
	}
}

// Engine returns the engine at the target's address.
func (d *Dialer) Engine(target upstream.Target) upstream.Engine {
	return &engine{client: d.client, loadClient: d.loadClient, base: "http://" + target.Address}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// dialError marks an error that occurred before anything was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// requestError maps an error of http.Client.Do to an error of package upstream.
func requestError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var dial *dialError
	if errors.As(err, &dial) {
		return errors.Wrapf(upstream.ErrUnreachable, "%v", dial.cause)
	}
	return errors.Wrapf(upstream.ErrConnectionLost, "%v", err)
}

// statusError maps a response with a status other than 200 to an error of package
// upstream.
func statusError(response *http.Response) error {
	var err error
	switch {
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(StateHeader) == StateLeaving:
		err = upstream.ErrLeaving
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(StateHeader) == StateRefused:
		err = upstream.ErrRefused
	case response.StatusCode == http.StatusNotFound:
		err = upstream.ErrStreamNotFound
	case response.StatusCode == http.StatusConflict:
		err = upstream.ErrPrefixMismatch
	default:
		err = upstream.ErrConnectionLost
	}
	return upstream.WithIncarnation(
		errors.Wrapf(err, "engine responded with status %d", response.StatusCode),
		upstream.Incarnation(response.Header.Get(IncarnationHeader)))
}
