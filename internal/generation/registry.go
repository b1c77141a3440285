package generation

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/timeline"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/workspace"
)

// DefaultRetention is how long a finished generation is kept for callers that
// reconnect.
const DefaultRetention = time.Minute

// Config connects a Registry to the rest of the instance.
type Config struct {
	Instance  contract.InstanceID
	Router    upstream.Router
	Dialer    upstream.EngineDialer
	Recorder  timeline.Recorder            // nil: events are discarded
	Admitter  workspace.Admitter           // admits new generations; nil: all are admitted
	Transport link.Transport               // nil: no relays
	Peers     func() []contract.InstanceID // linked peers; nil: none
	Retention time.Duration                // 0: DefaultRetention
	StartsEnd context.Context              // ends when this instance may start no generation any more; nil: never
}

// Registry holds the generations of this instance.
type Registry struct {
	config          Config
	firstTokenTimes *serviceEstimators // times to the first token
	runTimes        *serviceEstimators // times of whole generations

	mu     sync.Mutex // guards all fields below
	held   map[contract.RequestID]*Generation
	active int
	idle   chan struct{} // closed while active is 0
}

// NewRegistry returns an empty registry. With a transport it registers its
// handlers, so it must be called before the transport runs.
func NewRegistry(config Config) *Registry {
	if config.Recorder == nil {
		config.Recorder = timeline.Discard{}
	}
	if config.StartsEnd == nil {
		config.StartsEnd = context.Background()
	}
	if config.Retention == 0 {
		config.Retention = DefaultRetention
	}
	r := &Registry{
		config:          config,
		firstTokenTimes: newServiceEstimators(),
		runTimes:        newServiceEstimators(),
		held:            map[contract.RequestID]*Generation{},
		idle:            make(chan struct{}),
	}
	close(r.idle)
	r.registerHandlers()
	return r
}

// ActiveGenerations returns the number of generations that run on this instance.
func (r *Registry) ActiveGenerations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}

// AwaitIdle waits until no generation runs on this instance.
func (r *Registry) AwaitIdle(ctx context.Context) error {
	for {
		r.mu.Lock()
		idle, active := r.idle, r.active
		r.mu.Unlock()
		if active == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Open subscribes to the generation of a request: to the one held by this
// instance, to one held by a peer, or to a new one that continues the caller's
// text. If ok is false the verdict is final.
func (r *Registry) Open(ctx context.Context, request Request) (*Subscription, contract.Verdict, bool) {
	request.content = ContentKeyOf(request)
	joined := r.join(request.ID, request.position(), request.content, true)
	if joined.subscription != nil || joined.refused {
		return joined.subscription, joined.verdict, !joined.refused
	}
	status := r.config.Router.ContentStatus(request.content)
	if status.Quarantined {
		wait := max(time.Until(status.Until), 0)
		return refuse(contract.Quarantined, contract.ReasonQuarantined, wait)
	}
	if s, found := r.relay(ctx, request); found {
		return s, contract.Verdict{}, true
	}
	return r.create(ctx, request, joined)
}

// concurrentRetryAfter is the retry-after time of a submission that collided with
// a concurrent one of the same request.
const concurrentRetryAfter = 100 * time.Millisecond

// Join subscribes to the generation with an identifier if this instance or a
// peer holds it. If ok is false the verdict is final.
func (r *Registry) Join(
	ctx context.Context, id contract.RequestID, resume *ResumeState,
) (*Subscription, contract.Verdict, bool) {
	request := Request{ID: id, Resume: resume}
	joined := r.join(id, request.position(), upstream.ContentKey{}, false)
	if joined.subscription != nil {
		return joined.subscription, contract.Verdict{}, true
	}
	if s, found := r.relay(ctx, request); found {
		return s, contract.Verdict{}, true
	}
	if joined.diverged {
		return refuse(contract.Interrupted, contract.ReasonPrefixMismatch, 0)
	}
	return refuse(contract.Interrupted, contract.ReasonNotHeld, 0)
}

func refuse(
	outcome contract.Outcome, reason contract.Reason, retryAfter time.Duration,
) (*Subscription, contract.Verdict, bool) {
	return nil, contract.Verdict{Outcome: outcome, Reason: reason, RetryAfter: retryAfter}, false
}

// joinResult is the result of the lookup of a held generation.
type joinResult struct {
	subscription *Subscription
	verdict      contract.Verdict
	refused      bool        // verdict is final
	diverged     bool        // the held text differs from the caller's
	predecessor  *Generation // generation that a new one replaces; may be nil
	heldText     []string    // text before the caller's position, if heldTextOK
	heldTextOK   bool
}

// join subscribes to the held generation if its content and text match.
func (r *Registry) join(
	id contract.RequestID, p contract.Position, content upstream.ContentKey, checkContent bool,
) joinResult {
	r.mu.Lock()
	g := r.held[id]
	r.mu.Unlock()
	if g == nil {
		return joinResult{}
	}
	if checkContent && g.content != content {
		verdict := contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonKeyMismatch}
		return joinResult{verdict: verdict, refused: true}
	}
	if checkContent && g.rerunAllowed() {
		texts, ok := g.textBefore(p)
		return joinResult{predecessor: g, heldText: texts, heldTextOK: ok}
	}
	s, ok := r.subscribe(g, p)
	if !ok {
		return joinResult{predecessor: g, diverged: true}
	}
	return joinResult{subscription: s}
}

// subscribe subscribes and records when the caller connects and disconnects.
func (r *Registry) subscribe(g *Generation, p contract.Position) (*Subscription, bool) {
	s, ok := g.subscribe(p)
	if !ok {
		return nil, false
	}
	record := func(kind timeline.Kind, detail string) {
		r.config.Recorder.Record(timeline.Event{Kind: kind, Request: g.request.ID, Detail: detail})
	}
	record(timeline.CallerConnected, fmt.Sprintf("offset=%d", p.Offset))
	var ended atomic.Bool // Next and Close may run concurrently
	next := func(ctx context.Context) (Event, error) {
		event, err := s.Next(ctx)
		ended.Store(event.Kind == EventEnd)
		return event, err
	}
	return NewSubscription(next, func() {
		s.Close()
		if !ended.Load() {
			record(timeline.CallerDisconnected, "")
		}
	}), true
}

// create starts a generation that continues the caller's text and replaces the
// held one, if any.
func (r *Registry) create(
	ctx context.Context, request Request, joined joinResult,
) (*Subscription, contract.Verdict, bool) {
	text, ok := request.received()
	if !ok && joined.heldTextOK {
		text, ok = joined.heldText, true
	}
	plan, reason := newPlan(request, text, ok)
	if reason != "" && joined.diverged {
		reason = contract.ReasonPrefixMismatch
	}
	if reason != "" {
		return refuse(contract.Interrupted, reason, 0)
	}
	release, verdict, admitted := r.admitUntilStartsEnd(ctx, request, plan.adopt != nil)
	if !admitted {
		return nil, verdict, false
	}
	s, inserted := r.insert(request, plan, joined.predecessor, release)
	if !inserted {
		release()
		return r.joinConcurrent(request)
	}
	r.config.Recorder.Record(timeline.Event{Kind: timeline.RequestAdmitted, Request: request.ID})
	return s, contract.Verdict{}, true
}

// leavingRetryAfter is the retry-after time of a request that this instance no longer
// starts: another one may run it at once.
const leavingRetryAfter = 100 * time.Millisecond

// admitUntilStartsEnd admits a generation while this instance may start one.
func (r *Registry) admitUntilStartsEnd(ctx context.Context, request Request, adopted bool) (func(), contract.Verdict, bool) {
	admitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.config.StartsEnd, cancel)()
	release, verdict, admitted := r.admit(admitCtx, request, adopted)
	if r.config.StartsEnd.Err() == nil {
		return release, verdict, admitted
	}
	if admitted {
		release()
	}
	return nil, contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonLeaving, RetryAfter: leavingRetryAfter}, false
}

// admit admits a generation. One that adopts a running stream already occupies a
// slot of its engine, so it continues at once and is admitted in the background.
func (r *Registry) admit(ctx context.Context, request Request, adopted bool) (func(), contract.Verdict, bool) {
	if r.config.Admitter == nil {
		return func() {}, contract.Verdict{}, true
	}
	admission := workspace.AdmissionRequest{
		Workspace: request.ID.Workspace, Service: request.Service, Priority: request.Priority, Deadline: r.latestStart(request),
	}
	if request.position().Offset > 0 {
		admission.Priority = upstream.PriorityResumed
	}
	if !adopted || admission.Priority != upstream.PriorityResumed {
		return r.config.Admitter.Admit(ctx, admission)
	}
	admission.Deadline = request.Deadline
	return r.admitLater(admission), contract.Verdict{}, true
}

// latestStart returns the latest time for the admission of a request. A
// generation that would probably exceed its deadline is refused, not started.
func (r *Registry) latestStart(request Request) time.Time {
	latest := request.Deadline.Add(-r.runTimes.of(request.Service).mean)
	if latest.Before(request.QueueUntil) {
		return latest
	}
	return request.QueueUntil
}

// admitLater requests admission in the background until release is called.
func (r *Registry) admitLater(admission workspace.AdmissionRequest) (release func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		release, _, ok := r.config.Admitter.Admit(ctx, admission)
		if !ok {
			return // refused, or the generation ended before it was admitted
		}
		defer release()
		<-ctx.Done()
	}()
	return cancel
}

// joinConcurrent joins the generation that a concurrent submission of the same
// request has started.
func (r *Registry) joinConcurrent(request Request) (*Subscription, contract.Verdict, bool) {
	joined := r.join(request.ID, request.position(), request.content, true)
	if joined.subscription != nil || joined.refused {
		return joined.subscription, joined.verdict, !joined.refused
	}
	return refuse(contract.Unknown, contract.ReasonInProgress, concurrentRetryAfter)
}

// insert registers, subscribes to and runs a new generation, unless a concurrent
// submission has registered one in place of replaced.
func (r *Registry) insert(request Request, plan plan, replaced *Generation, release func()) (*Subscription, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current := r.held[request.ID]; current != nil && current != replaced {
		return nil, false
	}
	if replaced != nil {
		replaced.replace()
	}
	g := newGeneration(request, plan)
	r.held[request.ID] = g
	r.active++
	if r.active == 1 {
		r.idle = make(chan struct{})
	}
	s, subscribed := r.subscribe(g, request.position()) // before run, which may end at once
	contract.Invariant(subscribed, "new generation does not continue the caller's text", "request", request.ID)
	go r.run(g, plan, release)
	return s, true
}

func (r *Registry) run(g *Generation, plan plan, release func()) {
	defer r.finishRun(g)
	defer release()
	ctx, cancel := context.WithCancel(context.Background())
	runner := &runner{
		config: r.config, generation: g, firstTokenTimes: r.firstTokenTimes, ctx: ctx,
		machine:     NewMachine(plan.settings(g.request, uuid.NewString(), r.firstTokenTimes.of(g.request.Service))),
		inputs:      make(chan Input, inputBuffer),
		attempts:    map[contract.AttemptNumber]*engineAttempt{},
		connections: map[ConnectionID]context.CancelFunc{},
	}
	started := time.Now()
	runner.run(cancel)
	if plan.adopt == nil && g.completed() {
		r.runTimes.observe(g.request.Service, time.Since(started))
	}
}

// finishRun removes the generation after the retention time.
func (r *Registry) finishRun(g *Generation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
	if r.active == 0 {
		close(r.idle)
	}
	time.AfterFunc(r.config.Retention, func() { r.remove(g) })
}

func (r *Registry) remove(g *Generation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held[g.request.ID] == g {
		delete(r.held, g.request.ID)
	}
}
