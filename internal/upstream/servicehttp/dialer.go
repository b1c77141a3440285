package servicehttp

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/checkedhttp"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

const (
	// defaultDialTimeout bounds a connection attempt to an unresponsive host.
	// Within a region a connection takes about 2 ms, and a lost SYN is
	// retransmitted after 1 s.
	defaultDialTimeout = 1500 * time.Millisecond
	// maxIdlePerHost bounds the idle connections kept for idempotent calls.
	maxIdlePerHost  = 16
	idleConnTimeout = 30 * time.Second
	maxHeaderBytes  = 64 << 10
)

// Config holds the settings of a Dialer.
type Config struct {
	// Dial opens connections. Default: TCP.
	Dial DialFunc
	// DialTimeout bounds a connection attempt. Default 1.5 s.
	DialTimeout time.Duration
}

// Dialer is an upstream.ServiceDialer over HTTP.
type Dialer struct {
	dial   DialFunc
	pooled *checkedhttp.Transport // idempotent calls and load reports
}

// New returns a Dialer.
func New(config Config) *Dialer {
	if config.Dial == nil {
		config.Dial = (&net.Dialer{}).DialContext
	}
	if config.DialTimeout == 0 {
		config.DialTimeout = defaultDialTimeout
	}
	d := &Dialer{dial: boundedDial(config.Dial, config.DialTimeout)}
	d.pooled = checkedhttp.New(&http.Transport{
		DialContext:            d.dial,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	})
	return d
}

// Service returns the client of a service server.
func (d *Dialer) Service(target upstream.Target) upstream.ServiceClient {
	return &client{dialer: d, address: target.Address}
}

// Close closes idle connections.
func (d *Dialer) Close() { d.pooled.CloseIdleConnections() }

// boundedDial marks each failure as ErrUnreachable: no connection was made.
func boundedDial(dial DialFunc, timeout time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, errors.Wrap(upstream.ErrUnreachable, err.Error())
		}
		return conn, nil
	}
}

// singleUse returns a transport for one exchange over conn, which cannot open
// another connection. It does not set DisableKeepAlives: a server that is
// requested to close the connection may do so before it has read the body, and
// the resulting reset can discard its response.
func singleUse(conn net.Conn) *checkedhttp.Transport {
	unused := make(chan net.Conn, 1)
	unused <- conn
	return checkedhttp.New(&http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			select {
			case c := <-unused:
				return c, nil
			default:
				return nil, errSecondConnection
			}
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	})
}

// errSecondConnection is not marked as ErrUnreachable: the call may already
// have been sent over the first connection.
var errSecondConnection = errors.New("second connection for a call that must be sent only once")
