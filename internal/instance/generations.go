package instance

import (
	"context"
	"fmt"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/api"
	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/generation"
	"foxtailhub.example/foxtailhub/internal/timeline"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// unconfirmedRetryAfter is the Retry-After of a refused caller: by then the load
// balancer has seen that this instance is unready.
const unconfirmedRetryAfter = time.Second

// brokenRelayRetryAfter is the Retry-After when the link to the instance that
// runs the generation broke.
const brokenRelayRetryAfter = 100 * time.Millisecond

// StartGeneration serves POST .../generations.
func (h *handler) StartGeneration(
	ctx context.Context, body *oas.GenerationRequest, params oas.StartGenerationParams, w http.ResponseWriter,
) error {
	defer h.activity.track(&h.activity.generations)()
	id := contract.RequestID{Workspace: contract.WorkspaceID(params.Workspace), Key: string(params.IdempotencyKey)}
	if path := invalidTextPath(body); path != "" {
		return badRequest(path, errNotUTF8)
	}
	resume, err := decodeResume(body.Resume)
	if err != nil {
		return badRequest("resume.position", err)
	}
	// The configuration is read after the confirmation check; see Call.
	admits := h.admitsNewWork()
	request, verdict, ok := h.generationRequest(id, contract.ServiceID(params.Service), body)
	if !ok {
		return h.refuseWithoutRule(id, verdict)
	}
	request.Resume = resume
	if request.Resume == nil && !admits {
		return h.refuse(id, unconfirmedVerdict())
	}
	subscription, verdict, ok := h.registry.Open(ctx, request)
	if !ok {
		return h.refuse(id, resumedVerdict(request.Resume, verdict))
	}
	defer subscription.Close()
	return h.stream(ctx, w, id, request.Resume, subscription)
}

// resumedVerdict turns not_run into interrupted for a caller that already has a
// part of the text, because its generation has run.
func resumedVerdict(resume *generation.ResumeState, verdict contract.Verdict) contract.Verdict {
	if resume != nil && resume.Position.Offset > 0 && verdict.Outcome == contract.NotRun {
		verdict.Outcome = contract.Interrupted
	}
	return verdict
}

// ContinueGeneration serves GET .../generations/{key}.
func (h *handler) ContinueGeneration(ctx context.Context, params oas.ContinueGenerationParams, w http.ResponseWriter) error {
	defer h.activity.track(&h.activity.generations)()
	id := contract.RequestID{Workspace: contract.WorkspaceID(params.Workspace), Key: string(params.Key)}
	resume := &generation.ResumeState{Position: contract.StartPosition(), Locator: params.Locator.Or("")}
	if last, set := params.LastEventID.Get(); set {
		position, err := contract.ParsePosition(last)
		if err != nil {
			return badRequest("Last-Event-ID", err)
		}
		resume.Position = position
	}
	if _, verdict, ok := h.findRule(id.Workspace, contract.ServiceID(params.Service), configuration.KindEngine); !ok {
		return h.refuseWithoutRule(id, verdict)
	}
	subscription, verdict, ok := h.registry.Join(ctx, id, resume)
	if !ok {
		return h.refuse(id, verdict)
	}
	defer subscription.Close()
	return h.stream(ctx, w, id, resume, subscription)
}

// stream writes the events of the subscription to the caller. A generation that
// ended before it reached an engine results in an HTTP error.
func (h *handler) stream(
	ctx context.Context, w http.ResponseWriter, id contract.RequestID, resume *generation.ResumeState, subscription *generation.Subscription,
) error {
	receivedAt := time.Now()
	waitCtx, cancel := h.lifecycle.grace.untilWaitsEnd(ctx)
	first, err := subscription.Next(waitCtx)
	cancel()
	if err != nil {
		// The caller left, or this instance ends while an engine may run the request.
		return h.refuse(id, contract.Verdict{Outcome: contract.Unknown, Reason: contract.ReasonInProgress, RetryAfter: unconfirmedRetryAfter})
	}
	if first.Kind == generation.EventEnd && first.TokenCount == 0 && first.Verdict.Outcome != contract.Completed {
		return h.refuse(id, resumedVerdict(resume, first.Verdict))
	}
	if first.Kind == generation.EventBroken {
		// The generation may still run at the instance behind the broken relay.
		return h.refuse(id, contract.Verdict{Outcome: contract.Unknown, Reason: contract.ReasonInProgress, RetryAfter: brokenRelayRetryAfter})
	}
	if err := newStreamWriter(w, id, &callerLatency{metrics: h.metrics, receivedAt: receivedAt}).copy(ctx, subscription, first); err != nil {
		h.log.WithField("request", id).WithError(err).Info("stream ended early")
		panic(http.ErrAbortHandler) // a truncated response must not look complete
	}
	return nil
}

// generationRequest checks the request against the configuration in force.
func (h *handler) generationRequest(
	id contract.RequestID, serviceID contract.ServiceID, body *oas.GenerationRequest,
) (generation.Request, contract.Verdict, bool) {
	document := &h.source.Current().Document
	rule, verdict, ok := findRule(document, id.Workspace, serviceID, configuration.KindEngine)
	if !ok {
		return generation.Request{}, verdict, false
	}
	service := document.Services[serviceID]
	now := time.Now()
	request := generation.Request{
		ID:          id,
		Service:     serviceID,
		Pin:         upstream.ModelPin{Model: service.Model, Version: service.ModelVersion, Adapter: service.Adapter},
		Prompt:      body.Prompt,
		Sampling:    upstream.Sampling{Seed: uint64(body.Seed.Or(0)), Temperature: body.Temperature.Or(0)},
		MaxTokens:   min(body.MaxTokens.Or(service.MaxTokens), service.MaxTokens),
		Priority:    priorityOf(rule),
		Policy:      service.ResumePolicy,
		MaxAttempts: service.MaxAttempts,
		QueueUntil:  now.Add(milliseconds(service.QueueMS)),
		Deadline:    now.Add(milliseconds(min(body.DeadlineMs.Or(service.DeadlineMS), service.DeadlineMS))),
		DetachGrace: milliseconds(service.DetachGraceMS),
	}
	if request.QueueUntil.After(request.Deadline) {
		request.QueueUntil = request.Deadline
	}
	return request, contract.Verdict{}, true
}

// errNotUTF8 refuses text that is not valid UTF-8: JSON encoders would change it.
var errNotUTF8 = errors.New("must be valid UTF-8")

// invalidTextPath returns the path of a text that is not valid UTF-8, or "".
func invalidTextPath(body *oas.GenerationRequest) string {
	if !utf8.ValidString(body.Prompt) {
		return "prompt"
	}
	for i, text := range body.Resume.Value.Received {
		if !utf8.ValidString(text) {
			return fmt.Sprintf("resume.received[%d]", i)
		}
	}
	return ""
}

// decodeResume returns the resume state that a reconnecting caller sent, or nil.
func decodeResume(body oas.OptResume) (*generation.ResumeState, error) {
	resume, set := body.Get()
	if !set {
		return nil, nil
	}
	position, err := contract.ParsePosition(resume.Position)
	if err != nil {
		return nil, err
	}
	return &generation.ResumeState{Position: position, Locator: resume.Locator.Or(""), Received: resume.Received}, nil
}

func priorityOf(rule configuration.Rule) upstream.Priority {
	if rule.Priority == "batch" {
		return upstream.PriorityBatch
	}
	return upstream.PriorityInteractive
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func unconfirmedVerdict() contract.Verdict {
	return contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonConfigurationUnconfirmed, RetryAfter: unconfirmedRetryAfter}
}

// findRule returns the rule that lets a workspace use a service of the given kind.
func findRule(
	document *configuration.Document, workspace contract.WorkspaceID, serviceID contract.ServiceID, kind configuration.Kind,
) (configuration.Rule, contract.Verdict, bool) {
	if _, ok := document.Workspaces[workspace]; !ok {
		return configuration.Rule{}, contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonUnknownWorkspace}, false
	}
	for _, rule := range document.Rules {
		if rule.Workspace == workspace && rule.Service == serviceID && document.Services[serviceID].Kind == kind {
			return rule, contract.Verdict{}, true
		}
	}
	return configuration.Rule{}, contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonUnknownService}, false
}

// findRule searches the configuration in force.
func (h *handler) findRule(
	workspace contract.WorkspaceID, serviceID contract.ServiceID, kind configuration.Kind,
) (configuration.Rule, contract.Verdict, bool) {
	return findRule(&h.source.Current().Document, workspace, serviceID, kind)
}

// refuseWithoutRule refuses a request for which there is no rule. An unconfirmed
// instance may lack a newer configuration that has one, so it refuses as unconfirmed.
func (h *handler) refuseWithoutRule(id contract.RequestID, verdict contract.Verdict) error {
	if !h.admitsNewWork() {
		verdict = unconfirmedVerdict()
	}
	return h.refuse(id, verdict)
}

// refuse returns the HTTP error for a verdict and records it.
func (h *handler) refuse(id contract.RequestID, verdict contract.Verdict) error {
	h.record(timeline.Event{Kind: timeline.RequestRefused, Request: id, Detail: "reason=" + string(verdict.Reason)})
	h.metrics.countRefused(verdict)
	return api.ErrorFromVerdict(verdict, refusalMessage(verdict))
}
