package instance

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/dispatch"
	"foxtailhub.example/foxtailhub/internal/generation"
	"foxtailhub.example/foxtailhub/internal/timeline"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/upstreamtest"
)

func testDocument() configuration.Document {
	return configuration.Document{
		Services: map[contract.ServiceID]configuration.Service{
			"guides": {Kind: configuration.KindEngine, Model: "m", ModelVersion: "1"},
			"stock":  {Kind: configuration.KindService},
		},
		Workspaces: map[contract.WorkspaceID]configuration.Workspace{"shop-a": {}, "shop-b": {}},
		Rules: map[string]configuration.Rule{
			"r1": {Workspace: "shop-a", Service: "guides"}, "r2": {Workspace: "shop-a", Service: "stock"},
		},
	}
}

// newTestHandler returns a handler without engines in the given life-cycle state.
func newTestHandler(confirmed, draining bool) *handler {
	log := logrus.New()
	log.SetOutput(io.Discard)
	holder := configuration.NewHolder()
	holder.Advance(&configuration.Snapshot{Version: 1, Document: testDocument()})
	l := &lifecycle{drainStarted: make(chan struct{}), grace: newGrace()}
	l.confirmation.Store(&timedConfirmation{Confirmation: configuration.Confirmation{Confirmed: confirmed}, at: time.Now().Add(time.Hour)})
	if draining {
		l.drainStartNanos.Store(time.Now().UnixNano())
	}
	router := upstreamtest.NewFakeRouter()
	return &handler{
		log: log, source: holder, holder: holder, lifecycle: l, activity: &activity{}, metrics: newMetrics(),
		events:   timeline.NewLog("i1", timeline.NewClock(), 16),
		registry: generation.NewRegistry(generation.Config{Instance: "i1", Router: router, Dialer: router}),
	}
}

// Guards against responses that differ from docs/api.md: callers depend on the
// status, outcome, reason and path.
func TestRefusals(t *testing.T) {
	const (
		ready = iota
		unconfirmed
		draining
	)
	guides := "/v1/workspaces/shop-a/services/guides/generations"
	stock := "/v1/workspaces/shop-a/services/stock/calls"
	newRequest := `{"prompt":"p"}`
	resumeRequest := `{"prompt":"p","resume":{"position":"1-0123456789abcdef"}}`
	for _, c := range []struct {
		state      int
		method     string
		path       string
		body       string
		status     int
		substrings string // of the response body, separated by |
	}{
		{ready, "POST", guides, `{"prompt":"p","resume":{"position":"1-xyz"}}`, 400, "not_run|bad_request|resume.position: "},
		{ready, "GET", guides + "/k", "1-xyz", 400, "not_run|bad_request|Last-Event-ID: "},
		{ready, "POST", guides, `{"prompt":""}`, 400, "not_run|bad_request|prompt"},
		{ready, "POST", guides, "{\"prompt\":\"\xff\"}", 400, "not_run|bad_request|prompt: must be valid UTF-8"},
		{ready, "POST", guides, "{\"prompt\":\"p\",\"resume\":{\"position\":\"1-0123456789abcdef\",\"received\":[\"\xff\"]}}", 400, "not_run|bad_request|resume.received[0]: "},
		{ready, "POST", guides, `{"prompt":"p","other":1}`, 400, "not_run|bad_request|other"},
		{ready, "POST", stock, `{"path":"x"}`, 400, "not_run|bad_request|path"},
		{ready, "POST", strings.Replace(guides, "shop-a", "shop-c", 1), newRequest, 404, "not_run|unknown_workspace"},
		{ready, "POST", strings.Replace(guides, "guides", "none", 1), newRequest, 404, "not_run|unknown_service"},
		{ready, "GET", strings.Replace(guides, "shop-a", "shop-c", 1) + "/k", "", 404, "not_run|unknown_workspace"},
		{ready, "POST", strings.Replace(stock, "stock", "guides", 1), `{}`, 404, "not_run|unknown_service"},
		{ready, "GET", guides + "/k", "1-0123456789abcdef", 409, "interrupted|not_held"},
		{ready, "POST", guides, resumeRequest, 409, "interrupted|not_held"},
		{unconfirmed, "POST", guides, newRequest, 503, "not_run|unconfirmed|retry_after_ms"},
		{unconfirmed, "POST", stock, `{}`, 503, "not_run|unconfirmed|retry_after_ms"},
		{unconfirmed, "POST", strings.Replace(guides, "shop-a", "shop-c", 1), newRequest, 503, "not_run|unconfirmed"},
		{unconfirmed, "POST", guides, resumeRequest, 409, "interrupted|not_held"},          // a started generation is not refused as unconfirmed
		{draining, "POST", guides, newRequest, 503, "not_run|version_gone|retry_after_ms"}, // admitted: refused only because no engine exists
	} {
		t.Run(c.method+c.path+c.body, func(t *testing.T) {
			g := NewWithT(t)
			h := newTestHandler(c.state != unconfirmed, c.state == draining)
			server, err := oas.NewServer(h, h, oas.WithErrorHandler(writeDecodeError))
			g.Expect(err).NotTo(HaveOccurred())
			request := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			request.Header.Set("Content-Type", "application/json")
			request.Header.Set("Idempotency-Key", "k")
			if c.method == http.MethodGet && c.body != "" {
				request.Header.Set("Last-Event-ID", c.body)
			}
			response := httptest.NewRecorder()
			server.ServeHTTP(response, request)
			g.Expect(response.Code).To(Equal(c.status), response.Body.String())
			for part := range strings.SplitSeq(c.substrings, "|") {
				g.Expect(response.Body.String()).To(ContainSubstring(part))
			}
			g.Expect(h.activity.generations.Load() + h.activity.calls.Load()).To(BeZero())
		})
	}
}

// Guards against a body whose bytes are changed by JSON encoding, and against a
// result without its retry-after time.
func TestCallResult(t *testing.T) {
	g := NewWithT(t)
	h := newTestHandler(true, false)
	completed := dispatch.Result{Verdict: contract.Verdict{Outcome: contract.Completed}, Response: upstream.CallResponse{Status: 200, Body: []byte("é")}}
	result, err := h.callResult(contract.RequestID{}, completed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect([]any{result.Body.Value, result.BodyOmitted.Value}).To(Equal([]any{"é", false}))
	completed.Response.Body = []byte("\xff\xfe")
	result, err = h.callResult(contract.RequestID{}, completed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect([]any{result.Body.Set, result.BodyOmitted.Value, result.Status.Value}).To(Equal([]any{false, true, 200}))
	running := contract.Verdict{Outcome: contract.Unknown, Reason: contract.ReasonInProgress, RetryAfter: time.Second}
	result, err = h.callResult(contract.RequestID{}, dispatch.Result{Verdict: running})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect([]any{result.Outcome, result.RetryAfterMs.Value}).To(Equal([]any{oas.OutcomeUnknown, int64(1000)}))
}
