package client

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/api"
	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/contract"
)

// CallResult is the result of a call.
type CallResult struct {
	Verdict     contract.Verdict
	Message     string // one-line explanation of a refusal, from the instance
	Status      int
	ContentType string
	Body        string
	BodyOmitted bool // the result was replayed from a record that stores only the status
}

// Call sends a call once, to the next endpoint. An error means that the
// outcome is unknown: the call can be sent again with the same key.
func (c *Client) Call(ctx context.Context, request contract.RequestID, service contract.ServiceID, call oas.CallRequest) (CallResult, error) {
	timeout := callTimeout
	if deadline, set := call.DeadlineMs.Get(); set {
		timeout = time.Duration(deadline)*time.Millisecond + deadlineGrace
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.NextEndpoint().Call(ctx, &call, oas.CallParams{
		Workspace:      oas.Name(request.Workspace),
		Service:        oas.Name(service),
		IdempotencyKey: oas.Key(request.Key),
	})
	if err != nil {
		var httpError *oas.ErrorStatusCodeWithHeaders
		if errors.As(err, &httpError) {
			return CallResult{Verdict: api.VerdictFromError(httpError), Message: httpError.Response.Message}, nil
		}
		return CallResult{}, err
	}
	return CallResult{
		Verdict: contract.Verdict{
			Outcome:    contract.Outcome(response.Outcome),
			Reason:     contract.Reason(response.Reason.Or("")),
			RetryAfter: time.Duration(response.RetryAfterMs.Or(0)) * time.Millisecond,
		},
		Status:      response.Status.Or(0),
		ContentType: response.ContentType.Or(""),
		Body:        response.Body.Or(""),
		BodyOmitted: response.BodyOmitted.Or(false),
	}, nil
}
