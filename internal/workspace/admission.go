package workspace

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

const (
	// DefaultQueueLimit bounds the requests that wait for one service.
	DefaultQueueLimit = 1024
	// minRetryAfter is the shortest retry-after time of a refusal.
	minRetryAfter = 100 * time.Millisecond
	// recheckInterval is the time between checks whether a waiting request can
	// still meet its deadline. Later requests may be ordered before it, and a
	// refusal must not be delayed until the deadline.
	recheckInterval = 100 * time.Millisecond
)

// Config holds the dependencies and settings of an Admission.
type Config struct {
	Instance      contract.InstanceID
	Configuration configuration.Source
	// Capacity returns how many requests of a service may run at this instance at
	// a time; 0 means no limit. nil: no limit for any service.
	Capacity func(contract.ServiceID) int
	// NewRequestCapacity is Capacity for requests other than resumed generations. nil:
	// as Capacity.
	NewRequestCapacity func(contract.ServiceID) int
	// InstanceCount returns the number of known instances. nil: one.
	InstanceCount func() int
	// QueueLimit is the largest number of requests that wait for one service.
	// Default 1024.
	QueueLimit int
}

// Admission is the Admitter of an instance.
type Admission struct {
	config Config
	states sync.Map // contract.WorkspaceID to *state; read without a lock
	gates  sync.Map // contract.ServiceID to *gate; read without a lock

	mu            sync.Mutex // guards the fields below and the demand of each state; not used by Admit
	remoteDemands map[contract.WorkspaceID]map[contract.InstanceID]remoteDemand
	refreshedAt   time.Time
}

// NewAdmission returns an Admission. Run must be called to keep its shares up
// to date.
func NewAdmission(config Config) *Admission {
	if config.Capacity == nil {
		config.Capacity = func(contract.ServiceID) int { return 0 }
	}
	if config.NewRequestCapacity == nil {
		config.NewRequestCapacity = config.Capacity
	}
	if config.InstanceCount == nil {
		config.InstanceCount = func() int { return 1 }
	}
	if config.QueueLimit == 0 {
		config.QueueLimit = DefaultQueueLimit
	}
	return &Admission{
		config:        config,
		remoteDemands: map[contract.WorkspaceID]map[contract.InstanceID]remoteDemand{},
		refreshedAt:   time.Now(),
	}
}

// Run recomputes the shares until ctx ends.
func (a *Admission) Run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.refresh(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// Admit waits for a slot. A request that cannot be admitted before its deadline
// is refused immediately.
func (a *Admission) Admit(ctx context.Context, request AdmissionRequest) (func(), contract.Verdict, bool) {
	document := a.config.Configuration.Current().Document
	w, ok := document.Workspaces[request.Workspace]
	if !ok {
		return refuse(contract.ReasonUnknownWorkspace, 0)
	}
	service, ok := document.Services[request.Service]
	if !ok {
		return refuse(contract.ReasonUnknownService, 0)
	}
	l := limitsOf(w)
	s := a.state(request.Workspace, l)
	s.requestsSinceRefresh.Add(1)
	if wait, ok := waitForRate(ctx, s, request); !ok {
		return refuse(contract.ReasonWorkspaceLimit, wait)
	}
	return a.enter(ctx, a.gate(request.Service), entry{
		state:      s,
		weight:     l.weight,
		priority:   request.Priority,
		generation: service.Kind == configuration.KindEngine,
		deadline:   request.Deadline,
	})
}

// waitForRate waits for a token of the workspace's rate limit, or returns false
// immediately if none is due before the deadline. A resumed generation was
// counted before.
func waitForRate(ctx context.Context, s *state, request AdmissionRequest) (time.Duration, bool) {
	if request.Priority >= upstream.PriorityResumed {
		return 0, true
	}
	now := time.Now()
	reservation := s.limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return 0, true
	}
	if delay == rate.InfDuration || now.Add(delay).After(request.Deadline) {
		reservation.CancelAt(now)
		return max(delay, minRetryAfter), false
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return 0, true
	case <-ctx.Done():
		reservation.Cancel()
		return minRetryAfter, false
	}
}

func (a *Admission) enter(ctx context.Context, g *gate, e entry) (func(), contract.Verdict, bool) {
	queued, wait, refusal := g.enter(e, time.Now())
	if refusal != "" {
		e.countRefusal()
		return refuse(refusal, max(wait, minRetryAfter))
	}
	if queued != nil && !a.waitInQueue(ctx, g, e, queued) {
		e.countRefusal()
		wait, reason := g.currentWait(e, time.Now())
		return refuse(reason, max(wait, minRetryAfter))
	}
	return a.release(g, e, time.Now()), contract.Verdict{}, true
}

func (e entry) countRefusal() {
	if e.generation {
		e.state.refusedSinceRefresh.Add(1)
	}
}

// waitInQueue returns false if the request was not admitted before its
// deadline.
func (a *Admission) waitInQueue(ctx context.Context, g *gate, e entry, queued *QueuedRequest) bool {
	if e.generation {
		e.state.waiting.Add(1)
		defer e.state.waiting.Add(-1)
	}
	timer := time.NewTimer(time.Until(e.deadline))
	defer timer.Stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		select {
		case <-queued.admitted:
			return true
		case now := <-recheck.C:
			if !g.cannotMeetDeadline(queued, e.deadline, now) {
				continue
			}
		case <-timer.C:
		case <-ctx.Done():
		}
		return !g.abandon(queued)
	}
}

func (a *Admission) release(g *gate, e entry, admitted time.Time) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			if e.generation {
				e.state.running.Add(-1)
			}
			now := time.Now()
			g.finish(now.Sub(admitted), now)
			if e.generation {
				// A request at another gate may wait for this slot of the workspace.
				a.dispatchAll(now)
			}
		})
	}
}

func (a *Admission) dispatchAll(now time.Time) {
	a.gates.Range(func(_, value any) bool {
		value.(*gate).dispatchIfQueued(now)
		return true
	})
}

func (a *Admission) state(id contract.WorkspaceID, l limits) *state {
	if s, ok := a.states.Load(id); ok {
		return s.(*state)
	}
	s, _ := a.states.LoadOrStore(id, newState(id, l, a.config.InstanceCount()))
	return s.(*state)
}

func (a *Admission) gate(service contract.ServiceID) *gate {
	if g, ok := a.gates.Load(service); ok {
		return g.(*gate)
	}
	g, _ := a.gates.LoadOrStore(service, &gate{
		capacity:    func() int { return a.config.Capacity(service) },
		newCapacity: func() int { return a.config.NewRequestCapacity(service) },
		queue:       NewQueue(a.config.QueueLimit),
		rates:       arrivalRates{},
	})
	return g.(*gate)
}

func refuse(reason contract.Reason, retryAfter time.Duration) (func(), contract.Verdict, bool) {
	return func() {}, contract.Verdict{Outcome: contract.NotRun, Reason: reason, RetryAfter: retryAfter}, false
}
