package forward

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/dispatch"
	"foxtailhub.example/foxtailhub/internal/pool"
	"foxtailhub.example/foxtailhub/internal/route"
)

// exchange is one request of a caller and what is decided about it.
type exchange struct {
	request   *http.Request
	writer    http.ResponseWriter
	meta      Metadata
	body      []byte
	memory    *reservation  // of the body and of answers
	done      chan struct{} // closed when the request has ended
	content   Content
	route     *route.Route
	service   route.Service
	workspace route.Workspace
	version   int64 // of the configuration that decided the route
	arrived   time.Time
	deadline  time.Time
	budget    *dispatch.Budget
	log       logrus.FieldLogger
	attempted []string // upstreams that it was sent to, for the log
	avoid     []string // of these, those that do not get it again
	state     State
}

// left returns the time until the deadline.
func (x *exchange) timeLeft() time.Duration { return time.Until(x.deadline) }

// sendTo notes that the request is sent to an upstream.
func (x *exchange) startAttempt(m *pool.Member) {
	m.Start(time.Now())
	x.attempted = append(x.attempted, m.ID)
	x.avoid = append(x.avoid, m.ID)
}

// mayRepeat takes the next sending from the retry budget. One that follows
// sendings that reached no upstream is no repeat.
func (x *exchange) allowRetry() bool {
	if x.state.Arrivals == 0 || x.budget.Take() {
		return true
	}
	x.log.WithField("arrivals", x.state.Arrivals).Warn("retry budget is used up")
	return false
}

// logSent writes the line of one sending.
func (x *exchange) logCallAttempt(last callAttempt) {
	m, r := last.member, last.reply
	fields := logrus.Fields{
		"upstream": m.ID, "domain": m.FailureDomain, "route": x.route.Name, "result": r.result,
		"took_ms": time.Since(last.startedAt).Milliseconds(), "configuration": x.version, "list_age_ms": last.listAge.Milliseconds(),
		"attempt": len(x.attempted), "left_ms": x.timeLeft().Milliseconds(),
	}
	if r.response != nil {
		fields["status"] = r.response.StatusCode
	}
	if r.err != nil {
		fields["error"] = r.err.Error()
	}
	x.log.WithFields(fields).Info("request sent")
}
