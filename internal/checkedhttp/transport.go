// Package checkedhttp sends HTTP requests and rejects responses that are not valid HTTP. Package
// net/http reads responses leniently, for clients that show them to a user; this system acts on them
// or forwards them. All responses that other processes send over HTTP are read through it.
//
// The package must never return a response that it has not checked, and must never retry.
package checkedhttp

import (
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalidResponse marks the errors of responses that are not valid HTTP. The request may have run.
var ErrInvalidResponse = errors.New("invalid response")

// Transport is an http.RoundTripper that returns an error instead of an invalid response.
type Transport struct {
	base *http.Transport
}

var _ http.RoundTripper = (*Transport)(nil)

// New returns a transport that sends requests with a copy of base.
func New(base *http.Transport) *Transport {
	base = base.Clone()
	base.DialContext = checkedDial(base.DialContext)
	if base.MaxResponseHeaderBytes == 0 {
		base.MaxResponseHeaderBytes = maxHeadBytes
	}
	return &Transport{base: base}
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip sends a request and returns its response.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	traced, written := trace(request)
	response, err := t.base.RoundTrip(traced)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close() // nothing is read from it
		return nil, err
	}
	response.Request = request
	if EndsWithConnection(response) {
		response.Body = &unframedBody{ReadCloser: response.Body, ctx: request.Context(), written: written}
	}
	return response, nil
}

// trace returns a request with the same effect whose response is checked. The channel receives the
// result of writing the request.
func trace(request *http.Request) (traced *http.Request, written <-chan error) {
	results := make(chan error, 1)
	forget := func() {
		select {
		case <-results:
		default:
		}
	}
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			forget() // the transport may send the request again on another connection
			if c, ok := info.Conn.(*conn); ok {
				c.expectResponse()
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			forget()
			select {
			case results <- info.Err:
			default:
			}
		},
	})
	return request.WithContext(ctx), results
}

// checkHead checks what net/http accepts in the head of a final response, but is invalid.
func checkHead(response *http.Response) error {
	// Statuses outside of 100 to 599 are invalid (RFC 9110, section 15), and a server must not switch
	// to a protocol that the client has not offered (RFC 9110, section 7.8).
	if status := response.StatusCode; status < 200 || status > 599 {
		return errors.Wrapf(ErrInvalidResponse, "status %03d", status)
	}
	// A name is a token (RFC 9110, section 5.1). With a blank before the colon (RFC 9112, section 5.1)
	// net/http has ignored the field, which may be the length of the body.
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrInvalidResponse, "field name %.64q", name)
		}
	}
	return nil
}
