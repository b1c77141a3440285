//go:build review

package harness

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is a request of a client.
type Request struct {
	ID       string
	Method   string
	Path     string
	Body     string
	Deadline time.Duration
	Leaves   time.Duration     // after which the client closes its connection; 0: it waits until the deadline
	Header   map[string]string // further fields
}

// Answer is what a client got.
type Answer struct {
	Status   int // 0: no answer
	Body     string
	Complete bool
}

// Send sends a request to a gateway on a connection of its own and waits for the answer.
func (f *Fleet) Send(gateway string, r Request) Answer {
	wait := r.Deadline
	if r.Leaves > 0 {
		wait = r.Leaves
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+gateway+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return Answer{}
	}
	request.Host = Host
	request.Header.Set("X-Attempt-Id", r.ID)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+Key)
	for name, value := range r.Header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Answer{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Body: string(body), Complete: err == nil}
}
