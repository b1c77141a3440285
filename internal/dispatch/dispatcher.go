package dispatch

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/timeline"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/workspace"
)

// Defaults of settings that are not set.
const (
	DefaultRetention    = 24 * time.Hour
	DefaultStoreTimeout = time.Second
	DefaultPollTimeout  = 2 * time.Second

	defaultDeadline     = 10 * time.Second // configuration.Service.DeadlineMS
	defaultQueueTimeout = time.Second      // configuration.Service.QueueMS
)

// Config holds the dependencies and settings of a Dispatcher.
type Config struct {
	Configuration configuration.Source
	Router        upstream.Router
	Services      upstream.ServiceDialer
	Table         platform.TableService

	Admitter    workspace.Admitter // nil: all requests are admitted
	RetryBudget *RetryBudget       // nil: a new budget with default settings
	Timeline    timeline.Recorder  // nil: events are dropped
	Log         logrus.FieldLogger // nil: log lines are dropped

	// Retention is how long a dispatch record is kept. Default 24 h.
	Retention time.Duration
	// StoreTimeout is the timeout for creating a dispatch record. Default 1 s.
	StoreTimeout time.Duration
	// PollTimeout limits the wait for the outcome of another submission. Default 2 s.
	PollTimeout time.Duration
	// InstanceCount returns the number of instances that share the deletion of
	// expired records. nil: one instance.
	InstanceCount func() int
	// OnTableWentBack is called when the table service has lost acknowledged writes. Optional.
	OnTableWentBack func(evidence string)
	// StartsEnd ends when this instance may send no further call, and WaitsEnd when callers
	// must be answered although their calls run. nil: never.
	StartsEnd context.Context
	WaitsEnd  context.Context
}

// startsEnded reports whether no further call may be sent.
func (c Config) startsEnded() bool { return c.StartsEnd.Err() != nil }

func (c Config) withDefaults() Config {
	if c.RetryBudget == nil {
		c.RetryBudget = NewRetryBudget()
	}
	if c.Timeline == nil {
		c.Timeline = timeline.Discard{}
	}
	if c.Log == nil {
		log := logrus.New()
		log.SetOutput(io.Discard)
		c.Log = log
	}
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	if c.StoreTimeout == 0 {
		c.StoreTimeout = DefaultStoreTimeout
	}
	if c.PollTimeout == 0 {
		c.PollTimeout = DefaultPollTimeout
	}
	if c.StartsEnd == nil {
		c.StartsEnd = context.Background()
	}
	if c.WaitsEnd == nil {
		c.WaitsEnd = context.Background()
	}
	if c.InstanceCount == nil {
		c.InstanceCount = func() int { return 1 }
	}
	return c
}

// Dispatcher sends calls to upstreams and returns their outcomes. Concurrent
// submissions of the same call share one run.
type Dispatcher struct {
	config     Config
	rules      rules
	records    *recordStore
	retention  *retentionSweeper
	atMostOnce *atMostOnceRunner
	idempotent *idempotentRunner

	mu      sync.Mutex // guards flights; never held during I/O
	flights map[flightKey]*flight
}

// flightKey identifies a run. Calls that are not idempotent and have the same
// idempotency key share a run, or are a mismatch if they differ. Idempotent
// calls share a run only if their fingerprints are equal too.
type flightKey struct {
	id          contract.RequestID
	fingerprint Fingerprint // idempotent calls only
}

// flight is the run of a request, shared by its concurrent submissions.
type flight struct {
	fingerprint Fingerprint
	deadline    time.Time
	done        chan struct{}
	result      Result // valid once done is closed
}

// NewDispatcher returns a Dispatcher. Run does its background work and must be called.
func NewDispatcher(config Config) *Dispatcher {
	config = config.withDefaults()
	records := newRecordStore(config)
	return &Dispatcher{
		config:     config,
		rules:      rules{source: config.Configuration},
		records:    records,
		retention:  newRetentionSweeper(config, records.batch),
		atMostOnce: &atMostOnceRunner{config: config, records: records},
		idempotent: &idempotentRunner{config: config, latencies: newLatencyTracker()},
		flights:    map[flightKey]*flight{},
	}
}

// Run writes outstanding record updates, deletes expired records and probes a
// failing table service, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { d.records.reconciler.run(ctx) })
	group.Go(func() { d.retention.run(ctx) })
	group.Go(func() { d.records.breaker.run(ctx, d.config.Table, d.config.StoreTimeout) })
	group.Wait()
}

// Flush writes all outstanding outcomes and releases. It is called at shutdown,
// when no call is in progress.
func (d *Dispatcher) Flush(ctx context.Context) error { return d.records.reconciler.flush(ctx) }

// InFlight returns the number of requests in progress.
func (d *Dispatcher) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.flights)
}

// Call runs a request and returns its result. If ctx is cancelled first, the
// outcome is unknown and the run continues until its deadline.
func (d *Dispatcher) Call(ctx context.Context, request Request) Result {
	request = request.withDefaults()
	service, priority, reason := d.rules.lookup(request.ID.Workspace, request.Service)
	if reason != "" {
		return refusedResult(reason, 0)
	}
	request.Deadline = deadlineOf(ctx, request, service, time.Now())
	f, mismatch := d.join(request, service, priority)
	if mismatch {
		return refusedResult(contract.ReasonKeyMismatch, 0)
	}
	return f.wait(ctx, request.Deadline, d.config.WaitsEnd.Done())
}

func deadlineOf(ctx context.Context, request Request, service configuration.Service, now time.Time) time.Time {
	deadline := now.Add(millisecondsOr(service.DeadlineMS, defaultDeadline))
	if !request.Deadline.IsZero() && request.Deadline.Before(deadline) {
		deadline = request.Deadline
	}
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	return deadline
}

func millisecondsOr(ms int64, def time.Duration) time.Duration {
	if ms <= 0 {
		return def
	}
	return time.Duration(ms) * time.Millisecond
}

// join returns the run of the request that is in progress, or starts one. It
// returns true if the key is in use by a different request.
func (d *Dispatcher) join(request Request, service configuration.Service, priority upstream.Priority) (*flight, bool) {
	fingerprint := FingerprintOf(request)
	key := flightKey{id: request.ID}
	if service.Idempotent {
		key.fingerprint = fingerprint
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if f, ok := d.flights[key]; ok {
		return f, f.fingerprint != fingerprint
	}
	f := &flight{
		fingerprint: fingerprint,
		deadline:    request.Deadline,
		done:        make(chan struct{}),
		// Kept if the run exits without a result.
		result: unknownResult(contract.ReasonUnknownOutcome, 0),
	}
	d.flights[key] = f
	go d.runFlight(f, key, request, service, priority)
	return f, false
}

func (d *Dispatcher) runFlight(f *flight, key flightKey, request Request, service configuration.Service, priority upstream.Priority) {
	defer func() {
		d.mu.Lock()
		delete(d.flights, key)
		d.mu.Unlock()
		close(f.done)
	}()
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	f.result = d.run(ctx, request, service, priority)
	d.recordEvent(timeline.RequestFinished, request, string(f.result.Verdict.Outcome)+" "+string(f.result.Verdict.Reason))
}

func (d *Dispatcher) run(ctx context.Context, request Request, service configuration.Service, priority upstream.Priority) Result {
	d.config.RetryBudget.RecordRequest()
	startCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.config.StartsEnd, cancel)()
	release, verdict, ok := d.admit(startCtx, request, service, priority)
	if d.config.startsEnded() {
		if ok {
			release()
		}
		verdict, ok = leavingResult().Verdict, false
	}
	if !ok {
		d.recordEvent(timeline.RequestRefused, request, string(verdict.Reason))
		return Result{Verdict: verdict}
	}
	defer release()
	d.recordEvent(timeline.RequestAdmitted, request, "")
	if service.Idempotent {
		return d.idempotent.run(ctx, request)
	}
	return d.atMostOnce.run(ctx, startCtx, request)
}

func (d *Dispatcher) admit(ctx context.Context, request Request, service configuration.Service, priority upstream.Priority) (func(), contract.Verdict, bool) {
	if d.config.Admitter == nil {
		return func() {}, contract.Verdict{}, true
	}
	queueDeadline := time.Now().Add(millisecondsOr(service.QueueMS, defaultQueueTimeout))
	if request.Deadline.Before(queueDeadline) {
		queueDeadline = request.Deadline
	}
	return d.config.Admitter.Admit(ctx, workspace.AdmissionRequest{
		Workspace: request.ID.Workspace,
		Service:   request.Service,
		Priority:  priority,
		Deadline:  queueDeadline,
	})
}

func (d *Dispatcher) recordEvent(kind timeline.Kind, request Request, detail string) {
	d.config.Timeline.Record(timeline.Event{Kind: kind, Request: request.ID, Detail: detail})
}

// resultNow returns the result of the run, or unknown if it is not known yet.
func (f *flight) resultNow() Result {
	select {
	case <-f.done:
		return f.result
	default:
		return unknownResult(contract.ReasonInProgress, inProgressRetryAfter)
	}
}

// wait returns the result of the run, or unknown if the caller disconnects, waitsEnd is closed, or
// deadline is earlier than the run's own and passes first. A submission with the
// same or a later deadline always gets the result, because the run ends at its
// own deadline.
func (f *flight) wait(ctx context.Context, deadline time.Time, waitsEnd <-chan struct{}) Result {
	var expired <-chan time.Time
	if deadline.Before(f.deadline) {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-f.done:
		return f.result
	case <-expired:
		return unknownResult(contract.ReasonInProgress, 0)
	case <-waitsEnd:
		return f.resultNow()
	case <-ctx.Done():
	}
	if expired == nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		<-f.done
		return f.result
	}
	return unknownResult(contract.ReasonInProgress, 0)
}
