package client

import (
	"context"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/api"
	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/contract"
)

// CallResult is the end of a call.
type CallResult struct {
	Verdict     contract.Verdict
	Message     string // one line on a refusal
	Status      int
	ContentType string
	Body        string
}

// Call sends a call once to one endpoint. An error means that the outcome is
// not known here: the same key may be sent again.
func (c *Client) Call(ctx context.Context, request contract.RequestID, service contract.ServiceID, call oas.CallRequest) (CallResult, error) {
	answer, err := c.Endpoint().Call(ctx, &call, oas.CallParams{
		Workspace:      oas.Name(request.Workspace),
		Service:        oas.Name(service),
		IdempotencyKey: oas.Key(request.Key),
	})
	if err != nil {
		var refused *oas.ErrorStatusCodeWithHeaders
		if errors.As(err, &refused) {
			return CallResult{Verdict: api.ErrorVerdict(refused), Message: refused.Response.Message}, nil
		}
		return CallResult{}, err
	}
	return CallResult{
		Verdict: contract.Verdict{
			Outcome: contract.Outcome(answer.Outcome),
			Reason:  contract.Reason(answer.Reason.Or("")),
		},
		Status:      answer.Status.Or(0),
		ContentType: answer.ContentType.Or(""),
		Body:        answer.Body.Or(""),
	}, nil
}
