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
	// keptAnswerTime is how long a request for a load report waits for an answer
	// over a kept connection before it is also sent over a new one. A kept
	// connection may have gone silent, which says nothing about the engine.
	keptAnswerTime = 100 * time.Millisecond
	// keptIdleTime closes the kept connections to engines that this instance no
	// longer polls.
	keptIdleTime = 10 * time.Second
	// keptBufferSize is the size of the buffers of a kept connection in bytes.
	// Load reports are small, and the default of 4 KiB adds up over hundreds of engines.
	keptBufferSize = 1 << 10
)

// newKept returns the transport of load reports, which keeps one connection per
// engine. A new one for each report was more than half of the cost of a poll.
func newKept(dial dialFunc) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     keptIdleTime,
		ReadBufferSize:      keptBufferSize,
		WriteBufferSize:     keptBufferSize,
	}
}

// Load implements upstream.Engine. It uses the connection of the report before.
// If that yields no answer, the result is that of a new connection.
func (e *engine) Load(ctx context.Context) (upstream.LoadReport, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx = context.WithValue(ctx, dialEnd{}, time.Now().Add(dialTimeout))
	overKept, endKept := context.WithCancel(ctx)
	defer endKept()
	var reused atomic.Bool
	overKept = httptrace.WithClientTrace(overKept, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { reused.Store(info.Reused) },
	})
	fresh := make(chan loadResult, 1)
	timer := time.AfterFunc(keptAnswerTime, func() {
		if !reused.Load() {
			close(fresh)
			return
		}
		fresh <- e.load(ctx, e.client)
		endKept()
	})
	result := e.load(overKept, e.kept)
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
	if second, sent := <-fresh; sent {
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
	_, _ = io.Copy(io.Discard, body) // a connection is kept only after the end of the body
	return result
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialEnd is the key of the time by which a connection has to be open. Without
// it, an engine whose host is gone would be found unreachable later by
// keptAnswerTime.
type dialEnd struct{}

// dial opens a connection within dialTimeout, and by the time that ctx names.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	if end, named := ctx.Value(dialEnd{}).(time.Time); named {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end)
		defer cancel()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}
