package testfleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
)

const (
	// streamDeadline and CallDeadline are the deadlines of callers, equal to the
	// timeouts of the routes.
	streamDeadline = 20 * time.Second
	CallDeadline   = 2 * time.Second
	// maxAttempts limits the attempts that a caller makes for one stream.
	maxAttempts = 8
	// retryDelayMin is the shortest delay before a retry of a stream;
	// retryDelaySpread bounds the random delay on top of it.
	retryDelayMin    = 50 * time.Millisecond
	retryDelaySpread = 300 * time.Millisecond
)

// CallResult is the result of one call as its caller observed it.
type CallResult struct {
	Status    int // 0: no complete response
	Latency   time.Duration
	Violation string // the guarantee that was violated, or empty
}

// StreamResult is the result of one stream as its caller observed it, over all its attempts.
type StreamResult struct {
	Complete         bool
	FailedAttempts   []string // how each attempt that did not complete the stream ended
	TimeToFirstEvent time.Duration
	// LongestGap is the longest time between two events, also across attempts.
	LongestGap time.Duration
	// LongestGapWithoutRetry is the longest gap if the stream needed no retry; 0 otherwise.
	LongestGapWithoutRetry time.Duration
	Violation              string // the guarantee that was violated, or empty
}

// request sends one attempt of a caller to a random ready gateway.
func (f *Fleet) request(ctx context.Context, id, method, path, body string, stream *emulator.StreamRequest) (*http.Response, error) {
	ready := f.ReadyAddresses()
	if len(ready) == 0 {
		return nil, errors.New("no gateway is ready")
	}
	return f.RequestTo(ctx, ready[rand.IntN(len(ready))], id, method, path, body, stream)
}

// RequestTo sends one request to the gateway at the given address.
func (f *Fleet) RequestTo(ctx context.Context, address, id, method, path, body string, stream *emulator.StreamRequest) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Host = Host
	deadline, _ := ctx.Deadline()
	emulator.Attempt{ID: id, APIKey: apiKey, TimeLeft: time.Until(deadline), Forged: "forged", Stream: stream}.SetHeader(r.Header)
	return f.client.Do(r)
}

// CallBody returns the request body that Call sends, empty if the call is repeatable.
func CallBody(id string, repeatable bool) string {
	if repeatable {
		return ""
	}
	return "body of " + id
}

// Call sends one call to a ready gateway and checks the response.
func (f *Fleet) Call(ctx context.Context, id string, repeatable bool) CallResult {
	ctx, cancel := context.WithTimeout(ctx, CallDeadline)
	defer cancel()
	method, path, body := http.MethodPost, "/book/"+id+"%2f?x=1", CallBody(id, repeatable)
	if repeatable {
		method, path = http.MethodGet, "/read/"+id
	}
	start := time.Now()
	status, text := 0, ""
	response, err := f.request(ctx, id, method, path, body, nil)
	if err == nil {
		content, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if readErr == nil {
			status, text = response.StatusCode, string(content)
		}
	}
	result := CallResult{Status: status, Latency: time.Since(start)}
	switch {
	case status == http.StatusOK && text != emulator.ResponseBody([]byte(body), path):
		result.Violation = fmt.Sprintf("request %s got the answer %q", id, text)
	case status == http.StatusNotFound || status == http.StatusUnauthorized:
		result.Violation = fmt.Sprintf("request %s, which each configuration allows, got %d", id, status)
	}
	return result
}

// Stream requests a stream, retries it after the last event received until it is
// complete, and checks each event.
func (f *Fleet) Stream(ctx context.Context, id string, events int) StreamResult {
	ctx, cancel := context.WithTimeout(ctx, streamDeadline)
	defer cancel()
	s := &streamCaller{fleet: f, id: id, body: "prompt of " + id, events: events, startedAt: time.Now()}
	for attempt := range maxAttempts {
		outcome, complete := s.attempt(ctx, attempt)
		if complete || s.result.Violation != "" {
			s.result.Complete = complete
			if attempt == 0 {
				s.result.LongestGapWithoutRetry = s.result.LongestGap
			}
			break
		}
		s.result.FailedAttempts = append(s.result.FailedAttempts, outcome)
		timer := time.NewTimer(retryDelayMin + rand.N(retryDelaySpread))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return s.result
}

type streamCaller struct {
	fleet       *Fleet
	id          string
	body        string
	events      int
	startedAt   time.Time
	lastEvent   int // number of the last event received, 0 before the first
	lastEventAt time.Time
	result      StreamResult
}

// attempt sends one attempt, which resumes after the last event received, and
// returns how it ended and whether the stream is complete.
func (s *streamCaller) attempt(ctx context.Context, attempt int) (outcome string, complete bool) {
	stream := &emulator.StreamRequest{
		PromptTokens: 800, OutputTokens: 10 * s.events, LastEventID: s.lastEvent,
		PromptParts: []emulator.PromptPart{{ID: "shared", Tokens: 100}, {ID: s.id, Tokens: 700}},
	}
	response, err := s.fleet.request(ctx, fmt.Sprintf("%s.%d", s.id, attempt), http.MethodPost, "/draft/"+s.id, s.body, stream)
	if err != nil {
		return "without an answer", false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Sprintf("status=%d", response.StatusCode), false
	}
	reader := bufio.NewReader(response.Body)
	for {
		event, err := readEvent(reader)
		switch {
		case err == io.EOF && event == "":
			if s.lastEvent != s.events {
				s.result.Violation = fmt.Sprintf("stream %s ended as complete after event %d of %d", s.id, s.lastEvent, s.events)
			}
			return "complete", s.lastEvent == s.events
		case err != nil:
			return "broken off", false
		case event != emulator.EventText([]byte(s.body), s.lastEvent+1):
			s.result.Violation = fmt.Sprintf("stream %s got after event %d: %q", s.id, s.lastEvent, event)
			return "wrong event", false
		}
		s.recordEvent(time.Now())
	}
}

// recordEvent counts an event received and updates the gaps.
func (s *streamCaller) recordEvent(now time.Time) {
	if s.lastEvent == 0 {
		s.result.TimeToFirstEvent = now.Sub(s.startedAt)
	} else {
		s.result.LongestGap = max(s.result.LongestGap, now.Sub(s.lastEventAt))
	}
	s.lastEvent++
	s.lastEventAt = now
}

// readEvent returns the lines of the next server-sent event. It skips comments, which
// clients of event streams ignore.
func readEvent(reader *bufio.Reader) (string, error) {
	var event strings.Builder
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return event.String() + line, err
		}
		comment := strings.HasPrefix(line, ":")
		switch {
		case line == "\n" && event.Len() > 0:
			event.WriteString(line)
			return event.String(), nil
		case !comment && line != "\n":
			event.WriteString(line)
		}
	}
}
