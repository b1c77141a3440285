package client

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"foxtailhub.example/foxtailhub/internal/api"
	"foxtailhub.example/foxtailhub/internal/contract"
)

// Guards against a wrong final result, and against reconnecting not at all, too
// late or without backoff.
func TestGenerate(t *testing.T) {
	fullEnd := streamEnd(completedEvent(text))
	all := len(text)
	for name, c := range map[string]struct {
		responders []responder
		outcome    contract.Outcome
		reason     contract.Reason
		err        types.GomegaMatcher
		tokens     int
		elapsed    time.Duration
	}{
		"complete":            {[]responder{streamTokens(0, all, "l", fullEnd)}, contract.Completed, "", BeNil(), all, 0},
		"broken before start": {[]responder{abortConnection, streamTokens(0, all, "l", fullEnd)}, contract.Completed, "", BeNil(), all, reconnectBackoff},
		"broken in the middle": {
			[]responder{streamTokens(0, 3, "l", abortConnection), streamTokens(3, all, "m", fullEnd)}, contract.Completed, "", BeNil(), all, reconnectBackoff,
		},
		"stream without end": {[]responder{streamTokens(0, 3, "l"), streamTokens(3, all, "m", fullEnd)}, contract.Completed, "", BeNil(), all, reconnectBackoff},
		"silent stream": {
			[]responder{streamTokens(0, 3, "l", stall), streamTokens(3, all, "m", fullEnd)}, contract.Completed, "", BeNil(), all, idleTimeout + reconnectBackoff,
		},
		"silent instance after tokens": {
			[]responder{streamTokens(0, 3, "l", abortConnection), stall, streamTokens(3, all, "m", fullEnd)},
			contract.Completed, "", BeNil(), all, 3*reconnectBackoff + 2*idleTimeout,
		},
		"silent instance before tokens": {
			[]responder{stall, streamTokens(0, all, "l", fullEnd)}, contract.Completed, "", BeNil(), all, firstResponseTimeout + reconnectBackoff,
		},
		"balancer without instances": {
			[]responder{badGateway, badGateway, badGateway, streamTokens(0, all, "l", fullEnd)}, contract.Completed, "", BeNil(), all, 7 * reconnectBackoff,
		},
		"unconfirmed leads to the next instance": {
			[]responder{refuse(contract.NotRun, contract.ReasonConfigurationUnconfirmed, time.Second), streamTokens(0, all, "l", fullEnd)},
			contract.Completed, "", BeNil(), all, reconnectBackoff,
		},
		"in progress": {
			[]responder{refuse(contract.Unknown, contract.ReasonInProgress, 0), streamTokens(0, all, "l", fullEnd)},
			contract.Completed, "", BeNil(), all, reconnectBackoff,
		},
		"refused with a retry-after time": {
			[]responder{refuse(contract.NotRun, contract.ReasonOverloaded, 5*time.Second)},
			contract.NotRun, contract.ReasonOverloaded, BeNil(), 0, 0,
		},
		"refused after a lost submission": {
			[]responder{abortConnection, refuse(contract.NotRun, contract.ReasonOverloaded, 5*time.Second)},
			contract.Unknown, contract.ReasonOverloaded, BeNil(), 0, reconnectBackoff,
		},
		"refused with a retry-after time after tokens": {
			[]responder{streamTokens(0, 3, "l", abortConnection), refuse(contract.NotRun, contract.ReasonOverloaded, 5*time.Second), streamTokens(3, all, "m", fullEnd)},
			contract.Completed, "", BeNil(), all, reconnectBackoff + 5*time.Second,
		},
		"refused permanently after tokens": {
			[]responder{streamTokens(0, 3, "l", abortConnection), refuse(contract.NotRun, contract.ReasonUnknownService, 0)},
			contract.Interrupted, contract.ReasonUnknownService, BeNil(), 3, reconnectBackoff,
		},
		"prefix mismatch is final": {
			[]responder{streamTokens(0, 3, "l", abortConnection), refuse(contract.Interrupted, contract.ReasonPrefixMismatch, 0)},
			contract.Interrupted, contract.ReasonPrefixMismatch, BeNil(), 3, reconnectBackoff,
		},
		"prefix mismatch as an event": {
			[]responder{streamTokens(0, 3, "l", streamEnd(api.EndEvent{Outcome: contract.Interrupted, Reason: contract.ReasonPrefixMismatch}))},
			contract.Interrupted, contract.ReasonPrefixMismatch, BeNil(), 3, 0,
		},
		"wrong count": {
			[]responder{streamTokens(0, 3, "l", streamEnd(api.EndEvent{Outcome: contract.Completed, TokenCount: 4, SHA256: completedEvent(text[:3]).SHA256}))},
			contract.Unknown, "", MatchError(ErrCorruptStream), 3, 0,
		},
		"wrong checksum":  {[]responder{streamTokens(0, 3, "l", fullEnd)}, contract.Unknown, "", MatchError(ErrCorruptStream), 3, 0},
		"wrong position":  {[]responder{streamTokens(1, all, "l", fullEnd)}, contract.Unknown, "", MatchError(ErrCorruptStream), 0, 0},
		"wrong digest":    {[]responder{streamTokens(0, 0, "l", writeOtherToken)}, contract.Unknown, "", MatchError(ErrCorruptStream), 0, 0},
		"unknown outcome": {[]responder{streamTokens(0, all, "l", streamEnd(api.EndEvent{Outcome: "done"}))}, contract.Unknown, "", MatchError(ErrCorruptStream), all, 0},
		"another request": {[]responder{writeOtherRequest}, contract.Unknown, "", MatchError(ErrCorruptStream), 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			runWithInstances(t, c.responders, func(h *harness, client *Client) {
				result, err := h.generate(h.ctx, client)
				h.Expect(err).To(c.err)
				h.Expect(result.Verdict.Outcome).To(Equal(c.outcome))
				h.Expect(result.Verdict.Reason).To(Equal(c.reason))
				h.Expect(result.Tokens).To(HaveLen(c.tokens))
				h.Expect(slices.Equal(result.Tokens, text[:c.tokens])).To(BeTrue(), "delivered %q", result.Tokens)
				h.Expect(time.Since(h.start)).To(Equal(c.elapsed))
				for i, r := range h.requests {
					h.Expect(r.instance).To(Equal([]string{"a:80", "b:80"}[i%2]), "endpoints are used in round-robin order")
				}
			})
		})
	}
}

func writeOtherToken(w http.ResponseWriter, _ *http.Request) {
	_ = api.WriteEvent(w, api.EventToken, positionAt(1), api.TokenEvent{Text: "B"})
}

func writeOtherRequest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	other := contract.RequestID{Workspace: request.Workspace, Key: "key-2"}
	_ = api.WriteEvent(w, api.EventStart, contract.StartPosition(), api.StartEvent{Request: other})
	_ = api.WriteEvent(w, api.EventEnd, contract.StartPosition(), completedEvent(nil))
}

// Guards against a reconnect without the state that an instance needs to resume,
// and against a deadline that restarts with each connection.
func TestReconnectSendsResumeState(t *testing.T) {
	attempt := func(w http.ResponseWriter, _ *http.Request) {
		_ = api.WriteEvent(w, api.EventAttempt, positionAt(3), api.AttemptEvent{Locator: "moved"})
		_ = http.NewResponseController(w).Flush()
	}
	responders := []responder{streamTokens(0, 3, "first", attempt, stall), streamTokens(3, len(text), "last", streamEnd(completedEvent(text)))}
	runWithInstances(t, responders, func(h *harness, c *Client) {
		var delivered []string
		result, err := c.Generate(h.ctx, GenerationRequest{
			RequestID: request, Service: "guides", Prompt: "p", Deadline: 10 * time.Second,
			OnToken: func(token contract.Token) {
				h.Expect(token.Offset).To(BeEquivalentTo(len(delivered)))
				delivered = append(delivered, token.Text)
				time.Sleep(2 * idleTimeout / time.Duration(len(text))) // a slow caller must not trigger idleTimeout
			},
		})
		h.Expect(err).NotTo(HaveOccurred())
		h.Expect(result.Reconnects).To(Equal(1))
		h.Expect(delivered).To(Equal(text))
		h.Expect(h.requests[0].Resume).To(BeNil())
		resumed := h.requests[1]
		h.Expect(resumed.Resume.Position).To(Equal(positionAt(3).String()))
		h.Expect(resumed.Resume.Locator).To(Equal("moved"))
		h.Expect(resumed.Resume.Received).To(Equal(text[:3]))
		h.Expect(resumed.Deadline).To(Equal((10*time.Second - resumed.at).Milliseconds()))
	})
}

// Guards against a client that reconnects without backoff to endpoints that refuse
// connections, continues after its deadline, or hides that nothing ran.
func TestGenerateEndsWithTheContext(t *testing.T) {
	runWithInstances(t, nil, func(h *harness, c *Client) {
		ctx, cancel := context.WithTimeout(h.ctx, 20*time.Second)
		defer cancel()
		result, err := h.generate(ctx, c)
		h.Expect(err).To(MatchError(ErrNoFinalOutcome))
		h.Expect(result.Verdict.Outcome).To(Equal(contract.Unknown))
		h.Expect(result.Reconnects).To(BeNumerically("<", 25))
		h.Expect(time.Since(h.start)).To(Equal(20 * time.Second))
	})
	runWithInstances(t, []responder{refuse(contract.NotRun, contract.ReasonConfigurationUnconfirmed, time.Second)}, func(h *harness, c *Client) {
		result, err := c.Generate(h.ctx, GenerationRequest{RequestID: request, Service: "guides", Prompt: "p", Deadline: time.Second})
		h.Expect(err).To(MatchError(ErrNoFinalOutcome))
		h.Expect(result.Verdict.Reason).To(Equal(contract.ReasonConfigurationUnconfirmed))
		h.Expect(time.Since(h.start)).To(Equal(time.Second + deadlineGrace))
	})
}

// Guards against received tokens that are truncated or changed in a resume request.
func TestReconnectSendsAllReceivedTokens(t *testing.T) {
	saved := text
	defer func() { text = saved }()
	text = make([]string, 2_000)
	for i := range text {
		text[i] = string(rune('a' + i%26))
	}
	runWithInstances(t, []responder{streamTokens(0, 1_999, "l", abortConnection), streamTokens(1_999, 2_000, "m", streamEnd(completedEvent(text)))}, func(h *harness, c *Client) {
		result, err := h.generate(h.ctx, c)
		h.Expect(err).NotTo(HaveOccurred())
		h.Expect(result.Verdict.Outcome).To(Equal(contract.Completed))
		h.Expect(h.requests[1].Resume.Received).To(Equal(text[:1_999]))
	})
}
