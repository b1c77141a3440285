package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/poison"
	"foxtailhub.example/foxtailhub/internal/pool"
	"foxtailhub.example/foxtailhub/internal/route"
)

const (
	// retryNoUpstream is the Retry-After when no upstream can take a request: a crashed
	// upstream is up again after a little over a second.
	retryNoUpstream = 400 * time.Millisecond
	// retryBusy is the Retry-After for a request that exceeds a limit on the requests
	// in progress; most of those end within half a second.
	retryBusy = 500 * time.Millisecond
	// retryLeaving sends a caller to another instance immediately.
	retryLeaving = 10 * time.Millisecond
	// defaultDeadline bounds requests for which neither the caller nor the route sets a
	// limit.
	defaultDeadline = time.Minute
	// defaultBodyBytes bounds a body if the configuration sets no limit.
	defaultBodyBytes = 8 << 20
)

// TableSource provides the route table of the configuration in force, or nil before the
// first one.
type TableSource interface {
	Current() *route.Table
}

// Config holds the dependencies and limits of a Forwarder.
type Config struct {
	Tables       TableSource
	Pool         *pool.Pool
	Protocol     Protocol
	Prober       UpstreamProber
	KVCopier     KVCopier
	PromptFinder PromptFinder
	RetryBudgets *RetryBudgets
	Log          logrus.FieldLogger
	Metrics      *Metrics
	Drain        *DrainState
	// Startup is closed after the first reads of the configuration and of the list of
	// upstreams, or when they take too long. Requests wait for it; nil: they do not
	// wait.
	Startup <-chan struct{}
	// StoreUnreachable reports whether the store that holds the configuration is unreachable.
	StoreUnreachable func() bool
	// Quarantine holds the evidence against requests that crash upstreams, and CrashExchange
	// shares it with the other instances; nil: it is not shared.
	Quarantine    *poison.Quarantine
	CrashExchange CrashExchange
	// Poison holds the evidence and the verdicts on parts of prompts, and PartExchange shares
	// them with the other instances; nil: an own ledger, and they are not shared.
	Poison       *poison.Ledger
	PartExchange PartExchange
	// ShareRate is called after each response that shows whether its upstream states a
	// request rate, to inform the other instances; nil: they are not informed. It must not
	// block.
	ShareRate func(*pool.Member)
	// BodyMemory bounds the memory for the bodies of all requests and responses in
	// progress.
	BodyMemory *BodyMemory
	// MaxRequests bounds the requests in progress; 0: no bound. Each request takes file
	// descriptors.
	MaxRequests int
	// Transport carries requests to upstreams; nil: HTTP/1.1 over TCP.
	Transport http.RoundTripper
}

// Forwarder is the HTTP handler for callers.
type Forwarder struct {
	Config
	sender *sender
	active atomic.Int64
	// movingStreams has an element for each stream that has left an upstream and has no event
	// of the next one yet.
	movingStreams chan struct{}
	// watchedRuns has an element for each ended run whose outcome is not known yet.
	watchedRuns chan struct{}
}

// New returns a forwarder.
func New(config Config) *Forwarder {
	if config.Poison == nil {
		config.Poison = poison.NewLedger()
	}
	if config.PartExchange == nil {
		config.PartExchange = unsharedParts{}
	}
	if config.CrashExchange == nil {
		config.CrashExchange = unsharedCrashes{}
	}
	f := &Forwarder{
		Config: config, sender: newSender(config.Protocol, config.Transport),
		movingStreams: make(chan struct{}, maxMovingStreams), watchedRuns: make(chan struct{}, maxWatchedRuns),
	}
	f.sender.confirmProcess = f.confirmProcess
	return f
}

// ActiveRequests returns the number of requests in progress.
func (f *Forwarder) ActiveRequests() int { return int(f.active.Load()) }

// ServeHTTP handles one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	x := &exchange{
		request: r, writer: w, receivedAt: time.Now(), meta: f.Protocol.Metadata(r.Header),
		memory: &reservation{memory: f.BodyMemory}, done: make(chan struct{}),
	}
	defer x.memory.releaseAll()
	defer close(x.done)
	x.log = f.Log.WithField("request", x.meta.ID)
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	x.cancel = cancel
	stop := context.AfterFunc(f.Drain.graceEnd, func() { f.handleGraceEnd(x) })
	defer stop()
	if f.MaxRequests > 0 && f.ActiveRequests() > f.MaxRequests {
		f.refuse(x, http.StatusServiceUnavailable, "too many requests are in progress", retryBusy)
		return
	}
	f.awaitStartup(ctx)
	x.setPhase(waitBody)
	if !f.admit(x) || !f.readBody(ctx, x) {
		return
	}
	x.content = poison.NewContent(x.workspace.Name, r.Method, r.RequestURI, x.body)
	x.prompt = poison.NewPrompt(x.meta.PromptParts)
	if f.refuseQuarantined(ctx, x) || f.refusePoisonParts(x) {
		return
	}
	x.setPhase(waitUpstream)
	x.budget.RecordRequest(f.Pool.Fleet())
	ctx, cancelDeadline := context.WithDeadline(ctx, x.deadline)
	defer cancelDeadline()
	if x.route.Kind == route.Stream {
		f.forwardStream(ctx, x)
		return
	}
	f.forwardCall(ctx, x)
}

// awaitStartup waits until the first reads are complete or ctx ends.
func (f *Forwarder) awaitStartup(ctx context.Context) {
	if f.Startup == nil {
		return
	}
	select {
	case <-f.Startup:
	case <-ctx.Done():
	}
}

// admit finds the route and the workspace, and refuses requests that the configuration
// does not allow.
func (f *Forwarder) admit(x *exchange) bool {
	table := f.Tables.Current()
	switch {
	case table == nil && f.Drain.Draining():
		f.refuseLeaving(x)
		return false
	case table == nil:
		f.refuse(x, http.StatusServiceUnavailable, "no configuration is known yet", NoConfigurationRetryAfter(x.meta.Deadline, f.StoreUnreachable()))
		return false
	}
	x.version = table.Version
	if limit := table.Limits.HeaderBytes; limit > 0 && headerBytes(x.request) > limit {
		f.refuse(x, http.StatusRequestHeaderFieldsTooLarge, "the header is too long", 0)
		return false
	}
	matched, ok := table.Match(x.request.Host, x.request.URL.EscapedPath())
	if !ok {
		f.refuse(x, http.StatusNotFound, "no route matches", 0)
		return false
	}
	x.route = matched
	x.workspace, ok = table.Authenticate(matched, x.meta.APIKey)
	if !ok {
		f.refuse(x, http.StatusUnauthorized, "the API key is unknown", 0)
		return false
	}
	x.service = table.Service(matched.PickService(rand.Float64()))
	x.budget = f.RetryBudgets.For(x.service, f.Pool.Fleet())
	x.deadline = x.receivedAt.Add(requestTimeout(x.meta.Deadline, matched.Timeout))
	x.state = RequestState{Kind: matched.Kind, Resumable: matched.Resumable, MaxAttempts: max(1, matched.MaxAttempts)}
	if !f.hasTime(x) {
		f.refuseLeaving(x)
		return false
	}
	return true
}

// headerBytes returns the size of a request's header on the wire.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\n ") + len("Host: \r\n") + len(r.Host) + len("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(": \r\n") + len(value)
		}
	}
	return size
}

// requestTimeout returns how long a request may take.
func requestTimeout(deadline, timeout time.Duration) time.Duration {
	switch {
	case deadline <= 0 && timeout <= 0:
		return defaultDeadline
	case deadline <= 0:
		return timeout
	case timeout <= 0:
		return deadline
	}
	return min(deadline, timeout)
}

// readBody reads the whole body, so that the request can be sent again.
func (f *Forwarder) readBody(ctx context.Context, x *exchange) bool {
	limit := int64(defaultBodyBytes)
	if table := f.Tables.Current(); table.Limits.BodyBytes > 0 {
		limit = table.Limits.BodyBytes
	}
	controller := http.NewResponseController(x.writer)
	_ = controller.SetReadDeadline(x.deadline) // not supported by test recorders
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = controller.SetReadDeadline(time.Now())
		close(interrupted)
	})
	body, err := x.memory.readLimited(http.MaxBytesReader(x.writer, x.request.Body, limit), x.request.ContentLength, int(limit))
	if !stop() {
		<-interrupted
	}
	// In these two cases the read deadline stays, so that the server does not wait for the rest
	// of the body.
	switch {
	case graceOver(ctx):
		f.refuseLeaving(x)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.refuse(x, http.StatusRequestTimeout, "the body did not arrive in time", 0)
		return false
	}
	_ = controller.SetReadDeadline(time.Time{})
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		f.refuse(x, http.StatusRequestEntityTooLarge, "the body is too long", 0)
		return false
	case errors.Is(err, errMemoryExhausted):
		f.refuse(x, http.StatusServiceUnavailable, "no memory for the body", retryBusy)
		return false
	case !errors.Is(err, io.EOF):
		// Nothing was forwarded; the caller disconnected.
		f.Metrics.countOutcome(x, "body_incomplete")
		x.log.WithError(err).Info("caller did not send the complete request body")
		panic(http.ErrAbortHandler)
	}
	x.body = body
	if !f.hasTime(x) {
		f.refuseLeaving(x)
		return false
	}
	return true
}

// refuse responds to a request that no upstream has run.
func (f *Forwarder) refuse(x *exchange, status int, reason string, after time.Duration) {
	if after > 0 {
		f.Protocol.SetRetryAfter(x.writer.Header(), after)
	}
	f.Metrics.countOutcome(x, "refused")
	fields := logrus.Fields{
		"status": status, "reason": reason, "retry_after_ms": after.Milliseconds(), "configuration": x.version,
		"age_ms": time.Since(x.receivedAt).Milliseconds(), "offered": x.state.Refused, "last": x.state.LastResult.String(),
		"list_age_ms": f.Pool.Age(time.Now()).Milliseconds(), "list_era": f.Pool.Era(), "waits_for": x.currentPhase(),
	}
	f.addGrace(fields)
	x.log.WithFields(fields).Info("request refused")
	f.writeError(x, status, reason)
}

// fail responds to a request that an upstream may have run.
func (f *Forwarder) fail(x *exchange, status int, reason string) {
	f.Metrics.countOutcome(x, "failed")
	fields := logrus.Fields{
		"status": status, "reason": reason, "upstreams": x.attempted, "last": x.state.LastResult.String(), "may_have_run": x.state.MayHaveRun,
		"age_ms": time.Since(x.receivedAt).Milliseconds(), "waits_for": x.currentPhase(),
	}
	f.addGrace(fields)
	x.log.WithFields(fields).Warn("request failed")
	f.writeError(x, status, reason)
}

func (f *Forwarder) writeError(x *exchange, status int, reason string) {
	body := []byte(reason + "\n")
	header := x.writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	f.closeConnectionIfLeaving(header)
	x.writer.WriteHeader(status)
	_, _ = x.writer.Write(body) // an error means that the caller has disconnected
}

// closeConnectionIfLeaving closes the connection after this response if the instance is
// leaving. Idle connections are not closed then: a request may be in transit.
func (f *Forwarder) closeConnectionIfLeaving(header http.Header) {
	if f.Drain.Draining() {
		header.Set("Connection", "close")
	}
}

// failUnanswered responds to a request for which no further attempt is allowed.
func (f *Forwarder) failUnanswered(ctx context.Context, x *exchange) {
	switch {
	case x.request.Context().Err() != nil:
		f.Metrics.countOutcome(x, "caller_left")
		x.log.WithField("age_ms", time.Since(x.receivedAt).Milliseconds()).Info("caller disconnected")
		panic(http.ErrAbortHandler)
	case x.state.MayHaveRun == 0 && !f.hasTime(x):
		f.refuseLeaving(x)
	case graceOver(ctx) || !f.hasTime(x):
		f.fail(x, http.StatusGatewayTimeout, "the instance is leaving and has no answer yet")
	case x.state.MayHaveRun == 0:
		f.refuse(x, http.StatusServiceUnavailable, "no upstream could take the request", f.retryAfter(x))
	case ctx.Err() != nil || x.timeLeft() <= 0:
		f.fail(x, http.StatusGatewayTimeout, "no answer in time")
	default:
		f.fail(x, http.StatusBadGateway, "the upstream failed")
	}
}

// retryAfter returns the Retry-After for a request that no upstream accepts.
func (f *Forwarder) retryAfter(x *exchange) time.Duration {
	first, pushedBack := pool.RetryAfter(f.Pool.Members(x.service.Name), time.Now())
	if !pushedBack {
		return retryNoUpstream
	}
	return PushbackRetryAfter(first, x.timeLeft(), rand.Float64())
}

// recordResponseHead updates the state of an upstream from the head of its response, as
// soon as that has arrived: the body of a stream may take many seconds.
func (f *Forwarder) recordResponseHead(x *exchange, m *pool.Member, target pool.Upstream, r attemptResult, sentAt time.Time) {
	if m.Current().ID != target.ID {
		return // another process has the address now
	}
	if r.response != nil {
		m.Heard(time.Now())
	}
	if r.leaving {
		f.recordLeaving(x.log, m)
	}
	if r.retryAfter > 0 {
		m.StartPushback(time.Now(), r.retryAfter)
		x.log.WithFields(logrus.Fields{"upstream": m.ID, "wanted_ms": r.retryAfter.Milliseconds()}).Info("upstream pushes back")
	}
	if r.hasRate {
		f.recordRate(x.log, m, r.rate, sentAt)
	}
}

// recordRate records the request rate in a response to a request that was sent at a time.
func (f *Forwarder) recordRate(log logrus.FieldLogger, m *pool.Member, rate pool.RequestRate, sentAt time.Time) {
	if rate.Invalid {
		log.WithField("upstream", m.ID).Info("upstream stated an invalid request rate")
	}
	change := m.ObserveRate(time.Now(), sentAt, rate)
	if change != pool.RateUnchanged {
		LogRateChange(log, m, change, "response")
	}
	if f.ShareRate != nil {
		f.ShareRate(m)
	}
}

// LogRateChange logs a changed request rate of an upstream and this instance's part of it.
// source is where the change was learned from.
func LogRateChange(log logrus.FieldLogger, m *pool.Member, change pool.RateChange, source string) {
	fields := logrus.Fields{"upstream": m.ID, "change": change, "source": source}
	if limit, ok := m.RateLimit(time.Now()); ok {
		part := limit.Part
		fields["per_second"], fields["age_ms"] = limit.PerSecond, limit.Age.Milliseconds()
		fields["instances"], fields["holders"], fields["holder"] = part.Instances, part.Holders, part.Holder
		fields["interval_ms"] = part.Interval.Milliseconds()
	}
	log.WithFields(fields).Info("request rate of an upstream changed")
}

// recordLeaving records that an upstream reported that it is leaving.
func (f *Forwarder) recordLeaving(log logrus.FieldLogger, m *pool.Member) {
	if m.MarkLeaving() {
		log.WithFields(logrus.Fields{"upstream": m.ID, "address": m.Address, "listed_as_leaving": m.Draining}).Info("upstream reported that it is leaving")
	}
}

// pickForAttempt chooses an upstream for the next attempt, and takes the request from this
// instance's part of the upstream's request rate.
func (f *Forwarder) pickForAttempt(x *exchange, need pool.Requirements) (*pool.Member, bool) {
	for {
		m, ok := f.pick(x, need)
		if !ok || m.TakeRequest(time.Now()) {
			return m, ok
		}
		need.Exclude = append(need.Exclude, m.ID) // another request was faster
	}
}

// pick chooses an upstream.
func (f *Forwarder) pick(x *exchange, need pool.Requirements) (*pool.Member, bool) {
	need.Exclude = append(need.Exclude, x.excluded...)
	need.NotRepeatable = x.route.Kind == route.AtMostOnce
	f.checkSuspected(x)
	now, members := time.Now(), f.Pool.Members(x.service.Name)
	if pool.HoldsBack(members, now) {
		f.Metrics.heldBack.Inc()
	}
	return pool.Pick(members, need, now)
}

// recordResult updates the state of the request and of its upstream after an attempt.
func (f *Forwarder) recordResult(ctx context.Context, x *exchange, m *pool.Member, result Result, pushedBack bool) {
	f.Metrics.countAttempt(x, result)
	x.state.LastResult = result
	if result != NotSent {
		x.state.Reached++
	}
	switch result {
	case NotSent, NotRun:
		x.state.Refused++
	case Misdirected:
		// A misdirected attempt has little cost and its upstream is not chosen again,
		// so the number of such attempts is bounded, also after the restart of a whole
		// failure domain.
	default:
		x.state.MayHaveRun++
	}
	if ctx.Err() != nil {
		return // a disconnected caller or an expired deadline is no evidence against the upstream
	}
	switch result {
	case NotSent:
		m.MarkLost(time.Now())
	case Misdirected:
		m.MarkReplaced(0)
		f.identify(x.log, m)
	case Failed:
		m.Failed(time.Now())
		m.Suspect()
	case UpstreamError:
		if !pushedBack {
			m.Failed(time.Now())
		}
	case Answered:
		m.Succeeded(time.Now())
		m.Accepted(time.Now())
		f.clearQuarantine(x)
	}
}
