// Package keptconn sends short requests without effects, such as polls of load reports, on kept
// connections.
//
// A kept connection may have gone silent while its server lives, and a poll decides whether the server
// counts as lost. Therefore a poll without a response on a reused connection is sent once more on a new
// one, early enough to be answered in the time of the first. The package must never send a request
// with a body, or one that must not be repeated.
package keptconn

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/checkedhttp"
)

const (
	// FreshAfter is the time without a response after which a request on a reused connection is
	// sent on a new one. Load reports take a few milliseconds, and their polls time out after 100 ms.
	FreshAfter = 60 * time.Millisecond
	// IdleTimeout is how long a connection is kept without a request. A shorter time than that of
	// the servers, which close idle connections after several seconds.
	IdleTimeout = 4 * time.Second
	// maxPerServer and maxIdle bound the kept connections to a server and in total.
	maxPerServer = 1
	maxIdle      = 64
)

var errNotRepeatable = errors.New("only requests without a body and an effect are sent on kept connections")

// Transport is a transport for GET requests without a body.
type Transport struct {
	kept  http.RoundTripper
	fresh http.RoundTripper
}

var _ http.RoundTripper = (*Transport)(nil)

// New returns a transport with connections as of base.
func New(base *http.Transport) *Transport {
	kept, fresh := base.Clone(), base.Clone()
	kept.DisableKeepAlives, fresh.DisableKeepAlives = false, true
	kept.MaxIdleConnsPerHost, kept.MaxIdleConns, kept.IdleConnTimeout = maxPerServer, maxIdle, IdleTimeout
	return &Transport{kept: checkedhttp.New(kept), fresh: checkedhttp.New(fresh)}
}

// CloseIdleConnections closes the kept connections that are not in use.
func (t *Transport) CloseIdleConnections() {
	if closer, ok := t.kept.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// exchange is one transmission of a request.
type exchange struct {
	reused   atomic.Bool // the connection was used before
	cancel   context.CancelFunc
	response *http.Response
	err      error
	done     chan struct{} // closed when response and err are set
}

func start(r *http.Request, transport http.RoundTripper) *exchange {
	e := &exchange{done: make(chan struct{})}
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { e.reused.Store(c.Reused) }}
	var ctx context.Context
	ctx, e.cancel = context.WithCancel(httptrace.WithClientTrace(r.Context(), trace))
	go func() {
		defer close(e.done)
		e.response, e.err = transport.RoundTrip(r.Clone(ctx))
	}()
	return e
}

// result returns the response, whose body ends the exchange when it is closed.
func (e *exchange) result() (*http.Response, error) {
	if e.err != nil {
		e.cancel()
		return nil, e.err
	}
	e.response.Body = body{e.response.Body, e.cancel}
	return e.response, nil
}

// abandon ends an exchange whose response is not needed.
func (e *exchange) abandon() {
	e.cancel()
	go func() {
		<-e.done
		if e.err == nil {
			_ = e.response.Body.Close() // nothing is read from it
		}
	}()
}

type body struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (b body) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// RoundTrip sends a request and returns the first response.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method != http.MethodGet || r.Body != nil && r.Body != http.NoBody {
		return nil, errNotRepeatable
	}
	kept := start(r, t.kept)
	timer := time.NewTimer(FreshAfter)
	defer timer.Stop()
	select {
	case <-kept.done:
	case <-timer.C:
	}
	if isDone(kept) && (kept.err == nil || !kept.reused.Load()) || !kept.reused.Load() {
		<-kept.done
		return kept.result()
	}
	fresh := start(r, t.fresh)
	first, second := fresh, kept
	select {
	case <-fresh.done:
	case <-kept.done:
		first, second = kept, fresh
	}
	if first.err != nil {
		first.cancel()
		<-second.done
		return second.result()
	}
	second.abandon()
	return first.result()
}

func isDone(e *exchange) bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}
