package instance

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/api"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/generation"
)

// newScriptedSubscription returns a subscription that yields the events at an interval.
func newScriptedSubscription(interval time.Duration, events ...generation.Event) *generation.Subscription {
	return generation.NewSubscription(func(ctx context.Context) (generation.Event, error) {
		if len(events) == 0 {
			<-ctx.Done()
			return generation.Event{}, ctx.Err()
		}
		time.Sleep(interval)
		next := events[0]
		events = events[1:]
		return next, nil
	}, func() {})
}

// Guards against a stream without keep-alives, which callers assume to be broken.
func TestStreamKeepsTheConnectionAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		token := generation.Event{Kind: generation.EventToken, Text: "a", Position: contract.Position{Offset: 1, Digest: contract.DigestOf([]string{"a"})}}
		start := generation.Event{Kind: generation.EventStart, Position: contract.StartPosition()}
		end := generation.Event{Kind: generation.EventEnd, TokenCount: 1, Verdict: contract.Verdict{Outcome: contract.Completed}}
		recorder := httptest.NewRecorder()
		interval := 2*api.KeepAliveInterval + time.Millisecond
		err := newTestHandler(true, false).stream(t.Context(), recorder, contract.RequestID{}, nil, newScriptedSubscription(interval, start, token, end))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(recorder.Body.String()).To(MatchRegexp(`(?s)^.*event: start\n.*\n\n:\n\n:\n\n.*event: token\n.*\n\n:\n\n:\n\n.*event: end\n.*$`))
	})
}

// Guards against outcome not_run for a generation that may still run at another instance.
func TestBrokenRelayOutcomeIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		broken := newScriptedSubscription(0, generation.Event{Kind: generation.EventBroken})
		err := newTestHandler(true, false).stream(t.Context(), httptest.NewRecorder(), contract.RequestID{}, nil, broken)
		g.Expect(err).To(MatchError(ContainSubstring("in_progress")))
		g.Expect(err).To(MatchError(And(ContainSubstring("unknown"), Not(ContainSubstring("not_run")))))
	})
}

// Guards against a stream that is broken off within the instance, or at the end of its last write, and framed as a whole response.
func TestBrokenStreamIsNotFramedAsWhole(t *testing.T) {
	g := NewWithT(t)
	start := generation.Event{Kind: generation.EventStart, Position: contract.StartPosition()}
	token := generation.Event{Kind: generation.EventToken, Text: "a", Position: contract.Position{Offset: 1, Digest: contract.DigestOf([]string{"a"})}}
	h := newTestHandler(true, false)
	server := httptest.NewServer(crashOnInvariantViolation(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		broken := newScriptedSubscription(0, start, token, generation.Event{Kind: generation.EventBroken})
		_ = h.stream(r.Context(), w, contract.RequestID{}, nil, broken)
	})))
	defer server.Close()
	response, err := server.Client().Get(server.URL)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	g.Expect(string(body)).To(ContainSubstring("event: token"))
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
}
