package enginehttp

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/upstream"
)

const (
	// reusedResponseTimeout is how long a request for a load report waits for a
	// response over a reused connection before it is also sent over a new one. A
	// reused connection may have gone silent while the engine works.
	reusedResponseTimeout = 100 * time.Millisecond
	// loadIdleTimeout closes idle connections to engines that this instance no
	// longer polls.
	loadIdleTimeout = 10 * time.Second
	// loadBufferSize is the size of the buffers of a load connection in bytes.
	// Load reports are small, and the default of 4 KiB adds up over hundreds of
	// engines.
	loadBufferSize = 1 << 10
)

// newLoadTransport returns the transport for load reports, which keeps one
// connection per engine alive. A new connection for each report was more than
// half of the cost of a poll.
func newLoadTransport(dial dialFunc) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     loadIdleTimeout,
		ReadBufferSize:      loadBufferSize,
		WriteBufferSize:     loadBufferSize,
	}
}

// Load implements upstream.Engine. It reuses the connection of the previous
// report. If that yields no response, the result is that of a new connection.
func (e *engine) Load(ctx context.Context) (upstream.LoadReport, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx = context.WithValue(ctx, dialDeadlineKey{}, time.Now().Add(dialTimeout))
	reuseCtx, cancelReuse := context.WithCancel(ctx)
	defer cancelReuse()
	var reused atomic.Bool
	reuseCtx = httptrace.WithClientTrace(reuseCtx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { reused.Store(info.Reused) },
	})
	overNewConn := make(chan loadResult, 1)
	timer := time.AfterFunc(reusedResponseTimeout, func() {
		if !reused.Load() {
			close(overNewConn)
			return
		}
		overNewConn <- e.load(ctx, e.client)
		cancelReuse()
	})
	result := e.load(reuseCtx, e.loadClient)
	if result.err == nil {
		timer.Stop()
		return result.report, nil
	}
	if timer.Stop() {
		if reused.Load() && errors.Is(result.err, upstream.ErrConnectionLost) {
			result = e.load(ctx, e.client)
		}
		return result.report, result.err
	}
	if second, sent := <-overNewConn; sent {
		result = second
	}
	return result.report, result.err
}

// loadResult is the outcome of one request for a load report.
type loadResult struct {
	report upstream.LoadReport
	err    error
}

func (e *engine) load(ctx context.Context, client *http.Client) (result loadResult) {
	response, err := e.send(ctx, client, http.MethodGet, e.base+LoadPath, nil)
	if err != nil {
		result.err = err
		return result
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		result.err = statusError(response)
		return result
	}
	body := io.LimitReader(response.Body, maxLoadBytes)
	if err := json.NewDecoder(body).Decode(&result.report); err != nil {
		return loadResult{err: requestError(ctx, err)}
	}
	// The connection is reused only after the end of the body, and a response without it is incomplete.
	if _, err := io.Copy(io.Discard, body); err != nil {
		return loadResult{err: requestError(ctx, err)}
	}
	return result
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialDeadlineKey is the context key of the deadline for opening a connection.
// Without it, an unreachable host would be detected later by
// reusedResponseTimeout.
type dialDeadlineKey struct{}

// dial opens a connection within dialTimeout and before the dial deadline of ctx.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	if deadline, found := ctx.Value(dialDeadlineKey{}).(time.Time); found {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}
