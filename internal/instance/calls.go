package instance

import (
	"context"
	"time"
	"unicode/utf8"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/dispatch"
)

// Call serves POST .../calls.
func (h *handler) Call(ctx context.Context, body *oas.CallRequest, params oas.CallParams) (*oas.CallResult, error) {
	defer h.activity.track(&h.activity.calls)()
	id := contract.RequestID{Workspace: contract.WorkspaceID(params.Workspace), Key: string(params.IdempotencyKey)}
	serviceID := contract.ServiceID(params.Service)
	// The configuration is read after the confirmation check: if the process was
	// paused in between, a configuration read earlier could be outdated.
	if !h.admitsNewWork() {
		return nil, h.refuse(id, unconfirmedVerdict())
	}
	if _, verdict, ok := h.findRule(id.Workspace, serviceID, configuration.KindService); !ok {
		return nil, h.refuse(id, verdict)
	}
	request := dispatch.Request{
		ID:      id,
		Service: serviceID,
		Method:  string(body.Method.Or(oas.CallRequestMethodPOST)),
		Path:    body.Path.Or("/"),
		Body:    []byte(body.Body.Or("")),
	}
	if deadline, set := body.DeadlineMs.Get(); set {
		request.Deadline = time.Now().Add(milliseconds(deadline))
	}
	receivedAt := time.Now()
	result := h.dispatcher.Call(ctx, request)
	h.metrics.call.Observe(time.Since(receivedAt).Seconds())
	return h.callResult(id, result)
}

// callResult returns a result for calls that ran or may have run, and an HTTP
// error for all other outcomes.
func (h *handler) callResult(id contract.RequestID, result dispatch.Result) (*oas.CallResult, error) {
	verdict := result.Verdict
	if verdict.Outcome != contract.Completed && verdict.Outcome != contract.Unknown {
		return nil, h.refuse(id, verdict)
	}
	h.metrics.countFinished("call", verdict)
	response := &oas.CallResult{Outcome: oas.Outcome(verdict.Outcome)}
	if verdict.Reason != "" {
		response.Reason.SetTo(string(verdict.Reason))
	}
	if verdict.Outcome == contract.Completed {
		response.Status.SetTo(result.Response.Status)
		response.ContentType.SetTo(result.Response.ContentType)
		// JSON encoding would replace bytes that are not valid UTF-8.
		omitted := result.BodyOmitted || !utf8.Valid(result.Response.Body)
		response.BodyOmitted.SetTo(omitted)
		if !omitted {
			response.Body.SetTo(string(result.Response.Body))
		}
	}
	if verdict.RetryAfter > 0 {
		response.RetryAfterMs.SetTo(verdict.RetryAfter.Milliseconds())
	}
	return response, nil
}
