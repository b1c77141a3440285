package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/placement"
	"foxtailhub.example/foxtailhub/internal/poison"
	"foxtailhub.example/foxtailhub/internal/pool"
	"foxtailhub.example/foxtailhub/internal/route"
)

// exchange is one request of a caller with the state of its handling.
type exchange struct {
	request *http.Request
	writer  http.ResponseWriter
	meta    Metadata
	body    []byte
	memory  *reservation   // memory for the body and for responses
	done    chan struct{}  // closed when the request has ended
	content poison.Content // of the whole request
	prompt  poison.Prompt  // parts of the prompt that others may share
	trial   bool           // the request shows whether the verdict that refuses it is wrong
	// contentTrial is whether the request shows whether its own quarantine is wrong.
	contentTrial bool
	route        *route.Route
	service      route.Service
	workspace    route.Workspace
	version      int64 // version of the configuration that selected the route
	receivedAt   time.Time
	deadline     time.Time
	budget       *RetryBudget
	log          logrus.FieldLogger
	attempted    []string // all attempted upstreams, for the log
	excluded     []string // attempted upstreams that are not chosen again
	state        RequestState
	// retryReserved is whether the next attempt is already taken from the retry budget.
	retryReserved bool
	budgetLogged  bool         // the empty retry budget is logged
	phase         atomic.Int32 // waitPhase
	answerState   atomic.Int32
	cancel        context.CancelCauseFunc // ends the attempts and the waits of the request
}

// timeLeft returns the time until the deadline.
func (x *exchange) timeLeft() time.Duration { return time.Until(x.deadline) }

// demand returns what the request needs of an engine.
func (x *exchange) demand() placement.Demand {
	return placement.Demand{PromptTokens: x.meta.PromptTokens, OutputTokens: x.meta.OutputTokens}
}

// startAttempt records that the request is sent to an upstream.
func (x *exchange) startAttempt(metrics *Metrics, m *pool.Member, why purpose) {
	m.Started(time.Now())
	metrics.countLimited(m, why)
	x.attempted = append(x.attempted, m.ID)
	x.excluded = append(x.excluded, m.ID)
}

// nextPurpose returns the purpose of the next attempt of a request that is not hedged.
func (x *exchange) nextPurpose() purpose {
	if len(x.attempted) > 0 {
		return retryAttempt
	}
	return firstAttempt
}

// allowRetry takes the next attempt from the retry budget. An attempt is not a retry if
// no earlier one reached an upstream.
func (x *exchange) allowRetry() bool {
	if x.retryReserved {
		x.retryReserved = false
		return true
	}
	if x.state.Reached == 0 || x.budget.takeFor(x.state.retryUse()) {
		return true
	}
	if !x.budgetLogged {
		x.budgetLogged = true
		x.log.WithField("arrivals", x.state.Reached).Warn("retry budget is used up")
	}
	return false
}

// logCallAttempt logs one attempt of a call.
func (x *exchange) logCallAttempt(last callAttempt) {
	m, r := last.member, last.reply
	fields := logrus.Fields{
		"upstream": m.ID, "domain": m.FailureDomain, "route": x.route.Name, "result": r.result,
		"took_ms": time.Since(last.startedAt).Milliseconds(), "configuration": x.version, "list_age_ms": last.listAge.Milliseconds(), "list_era": last.listEra,
		"attempt": len(x.attempted), "left_ms": x.timeLeft().Milliseconds(),
	}
	if r.response != nil {
		fields["status"] = r.response.StatusCode
	}
	if r.err != nil {
		fields["error"] = r.err.Error()
	}
	addStatedRate(fields, m)
	x.log.WithFields(fields).Info("request sent")
}

// addStatedRate adds the request rate that an upstream states, if any, to the fields of a log line.
func addStatedRate(fields logrus.Fields, m *pool.Member) {
	if limit, limited := m.RateLimit(time.Now()); limited {
		fields["stated_rate"] = limit.PerSecond
	}
}
