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

// DefaultRetention is how long a finished generation is kept for a caller that
// reconnects.
const DefaultRetention = time.Minute

// Config connects a Registry to the rest of the instance.
type Config struct {
	Instance  contract.InstanceID
	Router    upstream.Router
	Dialer    upstream.EngineDialer
	Recorder  timeline.Recorder            // nil: discard
	Admitter  workspace.Admitter           // admits new generations; nil: all are admitted
	Transport link.Transport               // nil: no relays
	Peers     func() []contract.InstanceID // linked peers; nil: none
	Retention time.Duration                // 0: DefaultRetention
}

// Registry knows the generations that this instance holds.
type Registry struct {
	config      Config
	firstTokens *serviceRhythms // times to the first token
	runTimes    *serviceRhythms // times of whole generations

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
	if config.Retention == 0 {
		config.Retention = DefaultRetention
	}
	r := &Registry{
		config:      config,
		firstTokens: newServiceRhythms(),
		runTimes:    newServiceRhythms(),
		held:        map[contract.RequestID]*Generation{},
		idle:        make(chan struct{}),
	}
	close(r.idle)
	r.handle()
	return r
}

// Active returns how many generations run here.
func (r *Registry) Active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}

// AwaitIdle waits until no generation runs here.
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

// Open subscribes to the generation of a request: to the one held here, to one
// held by a peer, or to a new one that continues the caller's text. If ok is
// false the verdict is final.
func (r *Registry) Open(ctx context.Context, request Request) (*Subscription, contract.Verdict, bool) {
	request.content = ContentOf(request)
	joined := r.join(request.ID, request.position(), request.content, true)
	if joined.subscription != nil || joined.refused {
		return joined.subscription, joined.verdict, !joined.refused
	}
	standing := r.config.Router.Standing(request.content)
	if standing.Quarantined {
		wait := max(time.Until(standing.Until), 0)
		return refuse(contract.Quarantined, contract.ReasonQuarantined, wait)
	}
	if s, found := r.relay(ctx, request); found {
		return s, contract.Verdict{}, true
	}
	return r.create(ctx, request, joined)
}

// concurrentRetry is the retry-after time of a submission that collided with
// another one of the same request.
const concurrentRetry = 100 * time.Millisecond

// Join subscribes to the generation with an identifier if it is held here or
// by a peer. If ok is false the verdict is final.
func (r *Registry) Join(
	ctx context.Context, id contract.RequestID, resume *Resume,
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

// joining is the result of looking for a held generation.
type joining struct {
	subscription *Subscription
	verdict      contract.Verdict
	refused      bool        // verdict is final
	diverged     bool        // the held text differs from the caller's
	held         *Generation // what a new generation replaces; may be nil
	known        []string    // held text before the caller's position
	knownOK      bool
}

// join looks for a held generation that the caller can read.
func (r *Registry) join(
	id contract.RequestID, p contract.Position, content upstream.ContentKey, checkContent bool,
) joining {
	r.mu.Lock()
	g := r.held[id]
	r.mu.Unlock()
	if g == nil {
		return joining{}
	}
	if checkContent && g.content != content {
		verdict := contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonMismatch}
		return joining{verdict: verdict, refused: true}
	}
	if checkContent && g.superseded() {
		texts, ok := g.textBefore(p)
		return joining{held: g, known: texts, knownOK: ok}
	}
	s, ok := r.subscribe(g, p)
	if !ok {
		return joining{held: g, diverged: true}
	}
	return joining{subscription: s}
}

// subscribe subscribes and records when the caller comes and goes.
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
			record(timeline.CallerGone, "")
		}
	}), true
}

// create starts a generation that continues the caller's text, in place of the
// one that is held, if any.
func (r *Registry) create(
	ctx context.Context, request Request, joined joining,
) (*Subscription, contract.Verdict, bool) {
	known, ok := request.received()
	if !ok && joined.knownOK {
		known, ok = joined.known, true
	}
	plan, reason := newPlan(request, known, ok)
	if reason != "" && joined.diverged {
		reason = contract.ReasonPrefixMismatch
	}
	if reason != "" {
		return refuse(contract.Interrupted, reason, 0)
	}
	release, verdict, admitted := r.admit(ctx, request, plan.adopt != nil)
	if !admitted {
		return nil, verdict, false
	}
	s, inserted := r.insert(request, plan, joined.held, release)
	if !inserted {
		release()
		return r.joinConcurrent(request)
	}
	r.config.Recorder.Record(timeline.Event{Kind: timeline.RequestAdmitted, Request: request.ID})
	return s, contract.Verdict{}, true
}

// admit admits a generation. One that takes over a running stream holds a slot
// at its engine already, so it goes on at once and is counted when there is room.
func (r *Registry) admit(ctx context.Context, request Request, running bool) (func(), contract.Verdict, bool) {
	if r.config.Admitter == nil {
		return func() {}, contract.Verdict{}, true
	}
	ask := workspace.Ask{
		Workspace: request.ID.Workspace, Service: request.Service, Priority: request.Priority, Deadline: r.latestStart(request),
	}
	if request.position().Offset > 0 {
		ask.Priority = upstream.PriorityResumed
	}
	if !running || ask.Priority != upstream.PriorityResumed {
		return r.config.Admitter.Admit(ctx, ask)
	}
	ask.Deadline = request.Deadline
	return r.admitLater(ask), contract.Verdict{}, true
}

// latestStart returns when a request must have been admitted. A generation that
// would be cut off by its deadline is refused instead of begun.
func (r *Registry) latestStart(request Request) time.Time {
	latest := request.Deadline.Add(-r.runTimes.of(request.Service).mean)
	if latest.Before(request.QueueUntil) {
		return latest
	}
	return request.QueueUntil
}

// admitLater asks for admission in the background until it is released.
func (r *Registry) admitLater(ask workspace.Ask) (release func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		release, _, ok := r.config.Admitter.Admit(ctx, ask)
		if !ok {
			return // refused, or it has ended before there was room
		}
		defer release()
		<-ctx.Done()
	}()
	return cancel
}

// joinConcurrent joins the generation that another submission of the request
// has started in the meantime.
func (r *Registry) joinConcurrent(request Request) (*Subscription, contract.Verdict, bool) {
	joined := r.join(request.ID, request.position(), request.content, true)
	if joined.subscription != nil || joined.refused {
		return joined.subscription, joined.verdict, !joined.refused
	}
	return refuse(contract.Unknown, contract.ReasonInProgress, concurrentRetry)
}

// insert registers, subscribes to and runs a new generation if the held one is
// still the one that it is to replace.
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
	s, subscribed := r.subscribe(g, request.position()) // before it runs: it may end at once
	contract.Invariant(subscribed, "new generation does not continue the caller's text", "request", request.ID)
	go r.run(g, plan, release)
	return s, true
}

func (r *Registry) run(g *Generation, plan plan, release func()) {
	defer r.finished(g)
	defer release()
	ctx, cancel := context.WithCancel(context.Background())
	runner := &runner{
		config: r.config, generation: g, firstTokens: r.firstTokens, ctx: ctx,
		machine:     NewMachine(plan.settings(g.request, uuid.NewString(), r.firstTokens.of(g.request.Service))),
		inputs:      make(chan Input, inputBuffer),
		attempts:    map[contract.AttemptNumber]*engineAttempt{},
		connections: map[ConnectionID]context.CancelFunc{},
	}
	began := time.Now()
	runner.run(cancel)
	if plan.adopt == nil && g.completed() {
		r.runTimes.observe(g.request.Service, time.Since(began))
	}
}

// finished keeps the generation for its retention time.
func (r *Registry) finished(g *Generation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
	if r.active == 0 {
		close(r.idle)
	}
	time.AfterFunc(r.config.Retention, func() { r.forget(g) })
}

func (r *Registry) forget(g *Generation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held[g.request.ID] == g {
		delete(r.held, g.request.ID)
	}
}
