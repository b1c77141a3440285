package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// engine implements upstream.Engine for one address.
type engine struct {
	client     *http.Client
	loadClient *http.Client // for load reports
	base       string
}

// Start implements upstream.Engine. The stream outlives ctx, which bounds only
// the time until the engine has responded.
func (e *engine) Start(ctx context.Context, request upstream.StreamRequest) (upstream.Stream, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a stream request")
	}
	expected := identity{stream: request.Stream, request: request.Request}
	return e.open(ctx, http.MethodPost, e.base+StreamsPath, body, expected)
}

// Resume implements upstream.Engine. The stream outlives ctx as in Start.
func (e *engine) Resume(ctx context.Context, id upstream.StreamID, from contract.Position) (upstream.Stream, error) {
	query := url.Values{
		"offset": {strconv.FormatInt(from.Offset, 10)},
		"digest": {string(from.Digest)},
	}
	return e.open(ctx, http.MethodGet, e.streamURL(id)+"?"+query.Encode(), nil, identity{stream: id})
}

// Cancel implements upstream.Engine.
func (e *engine) Cancel(ctx context.Context, id upstream.StreamID) error {
	response, err := e.do(ctx, http.MethodDelete, e.streamURL(id), nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return statusError(response)
	}
	return nil
}

func (e *engine) streamURL(id upstream.StreamID) string {
	return e.base + StreamsPath + "/" + url.PathEscape(string(id))
}

func (e *engine) open(ctx context.Context, method, target string, body []byte, expected identity) (upstream.Stream, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	release := context.AfterFunc(ctx, cancel)
	response, err := e.do(streamCtx, method, target, body)
	if !release() || err != nil {
		cancel()
		return nil, openError(ctx, response, err)
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		defer func() { _ = response.Body.Close() }()
		return nil, statusError(response)
	}
	return newStream(response, expected, cancel), nil
}

// openError returns the reason why a stream could not be opened and closes a
// response that arrived too late.
func openError(ctx context.Context, response *http.Response, err error) error {
	if response != nil {
		_ = response.Body.Close()
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func (e *engine) do(ctx context.Context, method, target string, body []byte) (*http.Response, error) {
	return e.send(ctx, e.client, method, target, body)
}

func (e *engine) send(ctx context.Context, client *http.Client, method, target string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "building a request to an engine")
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, requestError(ctx, err)
	}
	return response, nil
}
