package naive

import (
	"context"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/dispatch"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

const callDeadline = 10 * time.Second

// Dispatcher runs calls without a record: it retries a call after each error and
// returns not_run when the deadline has passed.
type Dispatcher struct {
	config dispatch.Config
}

// NewDispatcher returns a Dispatcher. It accepts the configuration of dispatch.NewDispatcher
// and uses only the router and the services.
func NewDispatcher(config dispatch.Config) *Dispatcher { return &Dispatcher{config: config} }

// Call runs a request and returns its final result.
func (d *Dispatcher) Call(ctx context.Context, request dispatch.Request) dispatch.Result {
	deadline := request.Deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(callDeadline)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for ctx.Err() == nil {
		response, ok := d.sendOnce(ctx, request)
		if ok {
			return dispatch.Result{Verdict: contract.Verdict{Outcome: contract.Completed}, Response: response}
		}
		pause(ctx)
	}
	return dispatch.Result{Verdict: contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonDeadlineExceeded}}
}

func (d *Dispatcher) sendOnce(ctx context.Context, request dispatch.Request) (upstream.CallResponse, bool) {
	placement, _, ok := d.config.Router.Place(upstream.Requirements{Service: request.Service, Workspace: request.ID.Workspace})
	if !ok {
		return upstream.CallResponse{}, false
	}
	response, err := d.config.Services.Service(placement.Target).CallIdempotent(ctx, upstream.CallRequest{
		Request: request.ID,
		Path:    request.Path,
		Method:  request.Method,
		Body:    request.Body,
	})
	placement.Done(upstream.Observation{Kind: upstream.ObservedOK})
	return response, err == nil
}

func pause(ctx context.Context) {
	timer := time.NewTimer(10 * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
