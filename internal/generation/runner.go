package generation

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/timeline"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

const (
	// inputBuffer is the number of events that connections may queue for the machine.
	inputBuffer = 16
	// affinityBytes is the length of the prompt prefix for prefix-cache affinity.
	affinityBytes = 2048
)

// runner performs the actions of one machine. Only the goroutine of run uses its
// fields, except inputs.
type runner struct {
	config          Config
	generation      *Generation
	machine         *Machine
	firstTokenTimes *serviceEstimators
	ctx             context.Context // of the connections
	inputs          chan Input
	pending         []Input // inputs caused by the actions of a step
	attempts        map[contract.AttemptNumber]*engineAttempt
	connections     map[ConnectionID]context.CancelFunc
}

// engineAttempt is an attempt with its engine and placement.
type engineAttempt struct {
	number       contract.AttemptNumber
	stream       upstream.StreamID
	target       upstream.Target
	engine       upstream.Engine // nil if the router does not have the upstream
	adopted      bool            // started by another instance: its first token may be ready at once
	done         func(upstream.Observation)
	base         contract.Position // start of the stream
	baseState    []byte            // of the digester at base
	started      time.Time
	latency      time.Duration  // time to the first token; 0 before it
	pendingOpens sync.WaitGroup // starts and probes without a response
	incarnation  atomic.Pointer[upstream.Incarnation]
}

// run runs the generation until its end.
func (r *runner) run(cancel context.CancelFunc) {
	defer cancel()
	r.adopt()
	wake := r.step(Input{Kind: InputBegin})
	timer := time.NewTimer(time.Until(wake))
	defer timer.Stop()
	startsEnd := r.config.StartsEnd.Done()
	for !r.machine.Finished() {
		select {
		case <-startsEnd:
			startsEnd = nil
			wake = r.step(Input{Kind: InputStartsEnded})
		case in := <-r.inputs:
			wake = r.step(in)
		case in := <-r.generation.stop:
			wake = r.step(in)
		case <-timer.C:
			wake = r.step(Input{Kind: InputTick})
		}
		timer.Reset(time.Until(wake))
	}
}

// step feeds an input, and all inputs that its actions cause, to the machine.
func (r *runner) step(in Input) time.Time {
	r.pending = append(r.pending, in)
	var wake time.Time
	for len(r.pending) > 0 {
		in := r.pending[0]
		r.pending = r.pending[1:]
		if in.Kind != InputEvent {
			in.ContentStatus = r.config.Router.ContentStatus(r.generation.content)
		}
		var actions []Action
		actions, wake = r.machine.Step(time.Now(), in)
		for _, action := range actions {
			r.perform(action)
		}
	}
	return wake
}

func (r *runner) perform(action Action) {
	switch action.Kind {
	case ActionStart:
		r.startAttempt(action)
	case ActionProbe:
		r.probe(action)
	case ActionCloseConnection:
		r.close(action.Connection)
	case ActionEndAttempt:
		r.endAttempt(action)
	case ActionSwitchAttempt:
		r.generation.switchTo(r.locator(r.attempts[action.Attempt]))
	case ActionDeliver:
		r.deliver(action)
	case ActionFinish:
		r.record(timeline.RequestFinished, 0, "", string(action.Verdict.Outcome))
		r.generation.finish(action.Verdict)
	default:
		contract.Invariant(false, "action kind unknown", "kind", action.Kind)
	}
}

// adopt registers the attempt that another instance started.
func (r *runner) adopt() {
	adopted := r.machine.settings.Adopt
	if adopted == nil {
		return
	}
	base, state := r.generation.endPosition()
	a := &engineAttempt{
		number: adopted.Attempt, stream: adopted.Stream, adopted: true,
		base: base, baseState: state, started: time.Now(),
		done: func(upstream.Observation) {}, // the placement belongs to the other instance
	}
	target, found := r.config.Router.Target(adopted.Upstream)
	a.target = target
	if found {
		a.engine = r.config.Dialer.Engine(target)
	}
	r.attempts[a.number] = a
	r.record(timeline.GenerationTakenOver, a.number, adopted.Upstream, "")
	r.generation.switchTo(r.locator(a))
}

// startAttempt places an attempt on an upstream and starts it.
func (r *runner) startAttempt(action Action) {
	g := r.generation
	need := upstream.Requirements{
		Service: g.request.Service, Workspace: g.request.ID.Workspace, Pin: g.pin,
		Prefix:  g.request.Prompt[:min(len(g.request.Prompt), affinityBytes)],
		Content: g.content, Avoid: action.Avoid, Resumed: action.Resumed,
	}
	if r.config.Router.ContentStatus(g.content).Quarantined {
		r.pending = append(r.pending, Input{Kind: InputNoPlacement, Attempt: action.Attempt})
		return
	}
	placement, wait, ok := r.config.Router.Place(need)
	if !ok {
		versionGone := !r.config.Router.Serves(g.request.Service, g.pin)
		r.pending = append(r.pending, Input{Kind: InputNoPlacement, Attempt: action.Attempt, RetryAfter: wait, VersionGone: versionGone})
		return
	}
	if r.runsOn(placement.Target.ID) {
		// Another attempt on the same silent engine would replace one that may go on.
		placement.Done(upstream.Observation{Kind: upstream.ObservedCancelled})
		r.pending = append(r.pending, Input{Kind: InputNoPlacement, Attempt: action.Attempt})
		return
	}
	base, state := g.endPosition()
	a := &engineAttempt{
		number: action.Attempt, stream: action.Stream, target: placement.Target,
		engine: r.config.Dialer.Engine(placement.Target), done: placement.Done,
		base: base, baseState: state, started: time.Now(),
	}
	r.attempts[a.number] = a
	r.pending = append(r.pending, Input{Kind: InputPlaced, Attempt: a.number, Upstream: a.target.ID})
	r.record(timeline.AttemptStarted, a.number, a.target.ID, "")
	request := r.streamRequest(action)
	r.connect(a, action.Connection, func(ctx context.Context) (upstream.Stream, error) {
		return a.engine.Start(ctx, request)
	})
}

// runsOn reports whether an attempt in progress runs on an upstream.
func (r *runner) runsOn(id contract.UpstreamID) bool {
	for _, a := range r.attempts {
		if a.target.ID == id {
			return true
		}
	}
	return false
}

func (r *runner) streamRequest(action Action) upstream.StreamRequest {
	g := r.generation
	priority := g.request.Priority
	if action.Resumed {
		priority = upstream.PriorityResumed
	}
	return upstream.StreamRequest{
		Stream: action.Stream, Request: g.request.ID, Attempt: action.Attempt, Pin: g.pin,
		Prompt: g.request.Prompt, Prefix: g.prefix(), Sampling: g.sampling,
		MaxTokens: g.request.MaxTokens, Priority: priority,
	}
}

// probe resumes the stream of an attempt over a new connection.
func (r *runner) probe(action Action) {
	a := r.attempts[action.Attempt]
	r.record(timeline.AttemptSuspected, a.number, a.target.ID, string(action.Observation))
	r.record(timeline.AttemptProbed, a.number, a.target.ID, "")
	from, _ := r.generation.endPosition()
	r.connect(a, action.Connection, func(ctx context.Context) (upstream.Stream, error) {
		if a.engine == nil {
			return nil, upstream.ErrUnreachable
		}
		return a.engine.Resume(ctx, a.stream, from)
	})
}

// connect opens a connection and reads it until it ends or is closed.
func (r *runner) connect(
	a *engineAttempt, id ConnectionID, open func(context.Context) (upstream.Stream, error),
) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.connections[id] = cancel
	a.pendingOpens.Add(1)
	go func() {
		defer cancel()
		stream, err := open(ctx)
		a.pendingOpens.Done()
		if err != nil {
			r.send(ctx, Input{Kind: failureKind(err), Attempt: a.number, Connection: id})
			return
		}
		defer stream.Close()
		incarnation := stream.Incarnation()
		a.incarnation.Store(&incarnation)
		if r.send(ctx, Input{Kind: InputOpened, Attempt: a.number, Connection: id}) {
			r.read(ctx, a.number, id, stream)
		}
	}()
}

func (r *runner) read(ctx context.Context, number contract.AttemptNumber, id ConnectionID, s upstream.Stream) {
	for {
		event, err := s.Next(ctx)
		if err != nil {
			r.send(ctx, Input{Kind: failureKind(err), Attempt: number, Connection: id})
			return
		}
		if !r.send(ctx, Input{Kind: InputEvent, Attempt: number, Connection: id, Event: event}) {
			return
		}
	}
}

func (r *runner) send(ctx context.Context, in Input) bool {
	select {
	case r.inputs <- in:
		return true
	case <-ctx.Done():
		return false
	}
}

// failureKind maps an engine's error to an input. An unknown error is treated
// as a lost connection: the request may have run.
func failureKind(err error) InputKind {
	switch {
	case errors.Is(err, upstream.ErrRefused):
		return InputRefused
	case errors.Is(err, upstream.ErrLeaving):
		return InputLeaving
	case errors.Is(err, upstream.ErrUnreachable):
		return InputUnreachable
	case errors.Is(err, upstream.ErrStreamNotFound):
		return InputStreamNotFound
	case errors.Is(err, upstream.ErrPrefixMismatch):
		return InputPrefixMismatch
	default:
		return InputLost
	}
}

func (r *runner) close(id ConnectionID) {
	if cancel, open := r.connections[id]; open {
		cancel()
		delete(r.connections, id)
	}
}

// endAttempt closes an attempt and reports the observation of its upstream.
func (r *runner) endAttempt(action Action) {
	a, started := r.attempts[action.Attempt]
	if !started {
		return // it was never placed
	}
	for _, id := range action.Connections {
		r.close(id)
	}
	delete(r.attempts, a.number)
	kind := timeline.AttemptEnded
	if action.Observation == upstream.ObservedConnectionLost || action.Observation == upstream.ObservedNoResponse {
		kind = timeline.AttemptLost
	}
	r.record(kind, a.number, a.target.ID, string(action.Observation))
	observation := upstream.Observation{Kind: action.Observation, Latency: a.latency}
	if incarnation := a.incarnation.Load(); incarnation != nil {
		observation.Incarnation = *incarnation
	}
	a.done(observation)
	if action.Cancel && a.engine != nil {
		go r.cancel(a)
	}
}

// cancel frees the stream's slot on the engine, also after the generation ends.
func (r *runner) cancel(a *engineAttempt) {
	a.pendingOpens.Wait() // a start in flight would arrive after the cancellation
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), cancelTimeout)
	defer cancel()
	_ = a.engine.Cancel(ctx, a.stream) // an engine that does not respond is considered down
	r.send(r.ctx, Input{Kind: InputCancelled, Attempt: a.number})
}

func (r *runner) deliver(action Action) {
	a := r.attempts[action.Attempt]
	if a.latency == 0 {
		a.latency = time.Since(a.started)
		if !a.adopted {
			r.firstTokenTimes.observe(r.generation.request.Service, a.latency)
		}
		r.record(timeline.AttemptFirstToken, a.number, a.target.ID, "")
	}
	if !r.generation.deliver(action.Token) {
		r.generation.requestStop(InputDiverged)
	}
}

func (r *runner) locator(a *engineAttempt) string {
	g := r.generation
	l := Locator{
		Tag: TagOf(g.request.ID, g.content), Holder: r.config.Instance, Upstream: a.target.ID, Stream: a.stream,
		Attempt: a.number, Pin: g.pin, Sampling: g.sampling, Base: a.base.Offset,
	}
	if l.Base > 0 {
		l.DigesterState = a.baseState
	}
	return l.Encode()
}

func (r *runner) record(kind timeline.Kind, n contract.AttemptNumber, id contract.UpstreamID, detail string) {
	r.config.Recorder.Record(timeline.Event{
		Kind: kind, Request: r.generation.request.ID, Attempt: n, Upstream: id, Detail: detail,
	})
}

// serviceEstimators estimates one duration per service over all generations.
type serviceEstimators struct {
	mu         sync.Mutex // guards estimators
	estimators map[contract.ServiceID]IntervalEstimator
}

func newServiceEstimators() *serviceEstimators {
	return &serviceEstimators{estimators: map[contract.ServiceID]IntervalEstimator{}}
}

func (s *serviceEstimators) observe(service contract.ServiceID, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	estimator := s.estimators[service]
	estimator.Observe(latency)
	s.estimators[service] = estimator
}

func (s *serviceEstimators) of(service contract.ServiceID) IntervalEstimator {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimators[service]
}
