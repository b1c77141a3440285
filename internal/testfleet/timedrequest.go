package testfleet

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
)

// TimedRequest is a request over a connection of its own whose body arrives late.
type TimedRequest struct {
	ID       string
	Route    string
	Deadline time.Duration
	BodyTime time.Duration // time between the head and the body
	Events   int           // of a stream; 0: a call
}

// TimedResponse is what the caller of a TimedRequest got.
type TimedResponse struct {
	Whole    bool          // the whole request was sent
	Waited   time.Duration // from the last byte of the request to the end
	Status   int           // 0: no head of a response
	Complete bool
}

// timedBody is a body that is available at a time.
type timedBody struct {
	ctx  context.Context
	at   time.Time
	text io.Reader
}

func (b *timedBody) Read(p []byte) (int, error) {
	timer := time.NewTimer(time.Until(b.at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return b.text.Read(p)
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}

// SendTimed sends a request to the gateway at an address.
func (f *Fleet) SendTimed(ctx context.Context, address string, r TimedRequest) TimedResponse {
	var wholeAt atomic.Pointer[time.Time]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if now := time.Now(); info.Err == nil {
			wholeAt.Store(&now)
		}
	}})
	body := CallBody(r.ID, false)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+r.Route+"/"+r.ID,
		&timedBody{ctx: ctx, at: time.Now().Add(r.BodyTime), text: strings.NewReader(body)})
	if err != nil {
		return TimedResponse{}
	}
	request.Host, request.ContentLength = Host, int64(len(body))
	attempt := emulator.Attempt{ID: r.ID, APIKey: apiKey, TimeLeft: r.Deadline}
	if r.Events > 0 {
		attempt.Stream = &emulator.StreamRequest{PromptTokens: 800, OutputTokens: 10 * r.Events, PromptParts: []emulator.PromptPart{{ID: r.ID, Tokens: 800}}}
	}
	attempt.SetHeader(request.Header)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	var got TimedResponse
	response, err := transport.RoundTrip(request)
	if err == nil {
		got.Status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	got.Complete = err == nil
	if at := wholeAt.Load(); at != nil {
		got.Whole, got.Waited = true, time.Since(*at)
	}
	return got
}
