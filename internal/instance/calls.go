package instance

import (
	"context"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/dispatch"

	"time"
)

// Call serves POST .../calls.
func (h *handler) Call(ctx context.Context, body *oas.CallRequest, params oas.CallParams) (*oas.CallResult, error) {
	defer h.activity.begin(&h.activity.calls)()
	id := contract.RequestID{Workspace: contract.WorkspaceID(params.Workspace), Key: string(params.IdempotencyKey)}
	serviceID := contract.ServiceID(params.Service)
	if _, verdict, ok := findRule(&h.source.Current().Document, id.Workspace, serviceID, configuration.KindService); !ok {
		return nil, h.refuse(id, h.ruleVerdict(verdict))
	}
	if !h.admitsNewWork() {
		return nil, h.refuse(id, unconfirmed())
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
	result := h.caller.Call(ctx, request)
	return h.callResult(id, result)
}

// callResult returns an answer for outcomes of calls that ran or may have run,
// and an HTTP error for the others.
func (h *handler) callResult(id contract.RequestID, result dispatch.Result) (*oas.CallResult, error) {
	verdict := result.Verdict
	if verdict.Outcome != contract.Completed && verdict.Outcome != contract.Unknown {
		return nil, h.refuse(id, verdict)
	}
	h.metrics.finished("call", verdict)
	answer := &oas.CallResult{Outcome: oas.Outcome(verdict.Outcome)}
	if verdict.Reason != "" {
		answer.Reason.SetTo(string(verdict.Reason))
	}
	if verdict.Outcome == contract.Completed {
		answer.Status.SetTo(result.Response.Status)
		answer.ContentType.SetTo(result.Response.ContentType)
		answer.Body.SetTo(string(result.Response.Body))
		answer.BodyOmitted.SetTo(result.BodyOmitted)
	}
	return answer, nil
}
