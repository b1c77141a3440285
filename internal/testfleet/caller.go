package testfleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
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
	// deadlineMargin is how much earlier than for its caller a deadline may pass for a gateway.
	deadlineMargin = 20 * time.Millisecond
	// maxAttempts limits the attempts that a caller makes for one stream.
	maxAttempts = 8
	// retryDelayMin is the shortest delay before a retry of a stream;
	// retryDelaySpread bounds the random delay on top of it.
	retryDelayMin    = 50 * time.Millisecond
	retryDelaySpread = 300 * time.Millisecond
)

// CallResult is the result of one call as its caller observed it.
type CallResult struct {
	Status    int           // 0: no complete response
	Failed    FailedAttempt // if there is no complete response
	Latency   time.Duration
	Violation string // the guarantee that was violated, or empty
}

// StreamResult is the result of one stream as its caller observed it, over all its attempts.
type StreamResult struct {
	Complete       bool
	FailedAttempts []FailedAttempt // the attempts that did not complete the stream
	// BeganAtOnce is whether the first attempt delivered an event.
	BeganAtOnce      bool
	TimeToFirstEvent time.Duration
	// LongestGap is the longest time between two events, also across attempts.
	LongestGap time.Duration
	// LongestGapWithoutRetry is the longest gap if the stream needed no retry; 0 otherwise.
	LongestGapWithoutRetry time.Duration
	Violation              string // the guarantee that was violated, or empty
}

// FailedAttempt is an attempt that did not complete its stream.
type FailedAttempt struct {
	ID           string
	Outcome      string // how it ended
	Took         time.Duration
	EndedAt      time.Time
	PastDeadline bool // it ended at the caller's deadline, which may be the cause
}

// newFailedAttempt returns an attempt that was sent at a time and has just ended.
func newFailedAttempt(ctx context.Context, id, outcome string, sentAt time.Time) FailedAttempt {
	now := time.Now()
	deadline, _ := ctx.Deadline()
	return FailedAttempt{ID: id, Outcome: outcome, Took: now.Sub(sentAt), EndedAt: now, PastDeadline: deadline.Sub(now) < deadlineMargin}
}

// Outcomes of attempts without a complete response.
const (
	NotSent  = "not sent" // there was no connection to a gateway
	NoAnswer = "without an answer"
	Cut      = "broken off"
)

// send sends one attempt of a caller to a gateway.
type send func(ctx context.Context, id, method, path, body string, stream *emulator.StreamRequest) (*http.Response, error)

var errNoGatewayReady = errors.New("no gateway is ready")

// request sends one attempt of a caller to a random ready gateway.
func (f *Fleet) request(ctx context.Context, id, method, path, body string, stream *emulator.StreamRequest) (*http.Response, error) {
	ready := f.ReadyAddresses()
	if len(ready) == 0 {
		return nil, errNoGatewayReady
	}
	return f.RequestTo(ctx, ready[rand.IntN(len(ready))], id, method, path, body, stream)
}

// RequestTo sends one request to the gateway at the given address.
func (f *Fleet) RequestTo(ctx context.Context, address, id, method, path, body string, stream *emulator.StreamRequest) (*http.Response, error) {
	return sendBy(ctx, f.client, address, id, method, path, body, stream)
}

func sendBy(ctx context.Context, client *http.Client, address, id, method, path, body string, stream *emulator.StreamRequest) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Host = Host
	deadline, _ := ctx.Deadline()
	emulator.Attempt{ID: id, APIKey: apiKey, TimeLeft: time.Until(deadline), Forged: "forged", Stream: stream}.SetHeader(r.Header)
	return client.Do(r)
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
	method, path, body := http.MethodPost, "/book/"+id+"%2f?x=1", CallBody(id, repeatable)
	if repeatable {
		method, path = http.MethodGet, "/read/"+id
	}
	return call(ctx, f.request, id, method, path, body)
}

func call(ctx context.Context, send send, id, method, path, body string) CallResult {
	ctx, cancel := context.WithTimeout(ctx, CallDeadline)
	defer cancel()
	start := time.Now()
	status, text, outcome := 0, "", ""
	response, err := send(ctx, id, method, path, body, nil)
	if err != nil {
		outcome = failure(err)
	} else {
		content, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if readErr == nil {
			status, text = response.StatusCode, string(content)
		} else {
			outcome = Cut
		}
	}
	result := CallResult{Status: status, Latency: time.Since(start)}
	if outcome != "" {
		result.Failed = newFailedAttempt(ctx, id, outcome, start)
	}
	switch {
	case status == http.StatusOK && text != emulator.ResponseBody([]byte(body), path):
		result.Violation = fmt.Sprintf("request %s got the answer %q", id, text)
	case status == http.StatusNotFound || status == http.StatusUnauthorized:
		result.Violation = fmt.Sprintf("request %s, which each configuration allows, got %d", id, status)
	}
	return result
}

// failure returns how an attempt without a response head ended.
func failure(err error) string {
	var op *net.OpError
	if errors.Is(err, errNoGatewayReady) || errors.As(err, &op) && op.Op == "dial" {
		return NotSent
	}
	return NoAnswer
}

// StreamSpec describes a stream that a caller requests.
type StreamSpec struct {
	ID     string
	Route  string
	Events int
	Parts  []emulator.PromptPart // without the last part, which is specific to the request
	// Attempts limits the attempts of the caller.
	Attempts int
}

// Stream requests a stream, retries it after the last event received until it is
// complete, and checks each event.
func (f *Fleet) Stream(ctx context.Context, id string, events int) StreamResult {
	return f.StreamWith(ctx, StreamSpec{
		ID: id, Route: ResumableRoute, Events: events, Parts: []emulator.PromptPart{{ID: "shared", Tokens: 100}}, Attempts: maxAttempts,
	})
}

// StreamWith requests a stream and retries it, each time at a random ready gateway.
func (f *Fleet) StreamWith(ctx context.Context, spec StreamSpec) StreamResult {
	return stream(ctx, f.request, spec)
}

func stream(ctx context.Context, send send, spec StreamSpec) StreamResult {
	ctx, cancel := context.WithTimeout(ctx, streamDeadline)
	defer cancel()
	s := &streamCaller{StreamSpec: spec, send: send, body: "prompt of " + spec.ID, startedAt: time.Now()}
	for attempt := range spec.Attempts {
		sentAt := time.Now()
		outcome, complete := s.attempt(ctx, attempt)
		if attempt == 0 {
			s.result.BeganAtOnce = s.lastEvent > 0
		}
		if complete || s.result.Violation != "" {
			s.result.Complete = complete
			if attempt == 0 {
				s.result.LongestGapWithoutRetry = s.result.LongestGap
			}
			break
		}
		s.result.FailedAttempts = append(s.result.FailedAttempts, newFailedAttempt(ctx, s.attemptID(attempt), outcome, sentAt))
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
	StreamSpec
	send        send
	body        string
	startedAt   time.Time
	lastEvent   int // number of the last event received, 0 before the first
	lastEventAt time.Time
	result      StreamResult
}

func (s *streamCaller) attemptID(attempt int) string { return fmt.Sprintf("%s.%d", s.ID, attempt) }

// attempt sends one attempt, which resumes after the last event received, and
// returns how it ended and whether the stream is complete.
func (s *streamCaller) attempt(ctx context.Context, attempt int) (outcome string, complete bool) {
	request := &emulator.StreamRequest{
		PromptTokens: 800, OutputTokens: 10 * s.Events, LastEventID: s.lastEvent,
		PromptParts: append(slices.Clone(s.Parts), emulator.PromptPart{ID: s.ID, Tokens: 700}),
	}
	response, err := s.send(ctx, s.attemptID(attempt), http.MethodPost, "/"+s.Route+"/"+s.ID, s.body, request)
	if err != nil {
		return failure(err), false
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
			if s.lastEvent != s.Events {
				s.result.Violation = fmt.Sprintf("stream %s ended as complete after event %d of %d", s.ID, s.lastEvent, s.Events)
			}
			return "complete", s.lastEvent == s.Events
		case err != nil:
			return Cut, false
		case event != emulator.EventText([]byte(s.body), s.lastEvent+1):
			s.result.Violation = fmt.Sprintf("stream %s got after event %d: %q", s.ID, s.lastEvent, event)
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
