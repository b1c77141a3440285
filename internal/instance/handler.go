package instance

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/api"
	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/dispatch"
	"foxtailhub.example/foxtailhub/internal/generation"
	"foxtailhub.example/foxtailhub/internal/membership"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/timeline"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// handler serves the operations of the HTTP interface.
type handler struct {
	log        logrus.FieldLogger
	source     configuration.Source
	holder     *configuration.Holder
	store      *configuration.Store
	acceptor   *configuration.Acceptor
	registry   *generation.Registry
	dispatcher *dispatch.Dispatcher
	upstreams  *upstream.Upstreams
	membership *membership.Membership
	events     *timeline.Log
	collector  *timeline.Collector
	activity   *activity
	metrics    *metrics
	lifecycle  *lifecycle
}

var (
	_ oas.Handler    = (*handler)(nil)
	_ oas.RawHandler = (*handler)(nil)
)

func (h *handler) record(event timeline.Event) { h.events.Record(event) }

// admitsNewWork reports whether this instance may admit new work. A draining
// instance still may: until the load balancer has removed it, a refusal would
// fail the caller's request.
func (h *handler) admitsNewWork() bool { return h.lifecycle.confirmed() }

// NewError maps an unexpected error to an HTTP error. The cause is logged and not
// sent, because it may contain internal details.
func (h *handler) NewError(_ context.Context, err error) *oas.ErrorStatusCodeWithHeaders {
	var httpError *oas.ErrorStatusCodeWithHeaders
	if errors.As(err, &httpError) {
		return httpError
	}
	h.log.WithError(err).Error("request failed")
	return api.ErrorFromVerdict(contract.Verdict{Outcome: contract.Unknown, Reason: contract.ReasonInternal}, "internal error")
}

// badRequest returns the HTTP error 400 with the path of the invalid value.
func badRequest(path string, err error) error {
	return &oas.ErrorStatusCodeWithHeaders{
		StatusCode: http.StatusBadRequest,
		Response:   oas.Error{Outcome: oas.OutcomeNotRun, Reason: string(contract.ReasonBadRequest), Message: path + ": " + err.Error()},
	}
}

// writeDecodeError responds to requests that do not match the OpenAPI schema.
func writeDecodeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	status := ogenerrors.ErrorCode(err)
	body := oas.Error{Outcome: oas.OutcomeNotRun, Reason: string(contract.ReasonBadRequest), Message: decodeMessage(err)}
	data, encodeErr := body.MarshalJSON()
	if encodeErr != nil {
		http.Error(w, "bad request", status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // a failed write means that the caller disconnected
}

// errRequestIDFormat is returned for a request identifier that cannot be parsed.
var errRequestIDFormat = errors.New("must have the form workspace/key")

// storeError returns the HTTP error for a failed read of an accepted version.
func storeError(err error) error {
	if errors.Is(err, platform.ErrNotFound) {
		return &oas.ErrorStatusCodeWithHeaders{
			StatusCode: http.StatusNotFound,
			Response:   oas.Error{Outcome: oas.OutcomeNotRun, Reason: "not_found", Message: "version: was not accepted"},
		}
	}
	return api.ErrorFromVerdict(contract.Verdict{
		Outcome: contract.NotRun, Reason: contract.ReasonStoreDown, RetryAfter: unconfirmedRetryAfter,
	}, "the table service cannot be read")
}
