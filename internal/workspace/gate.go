package workspace

import (
	"sync"
	"sync/atomic"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// holdWeight is the weight of the newest observation in the mean time that a
// request holds its place.
const holdWeight = 0.1

// Bounds and weight of the correction of expected waits.
const (
	slownessWeight = 0.3
	slownessFloor  = 1
	slownessLimit  = 8
	// entryMargin is by how much the expected wait may grow after a request has
	// entered the queue. A refusal after a wait is worse than one at once.
	entryMargin = 1.4
)

// gate limits how many requests of a service run at this instance at a time.
type gate struct {
	capacity func() int   // requests at a time; 0: no limit
	waiters  atomic.Int64 // length of the queue, readable without the lock

	mu      sync.Mutex // guards the fields below; one per service, held for a few steps in memory
	running int
	queue   *Queue
	hold    time.Duration // mean time that a request holds its place

	// slowness is how many times longer than expected requests of a workspace
	// waited of late: those of others that come later may have an earlier turn.
	slowness map[contract.WorkspaceID]float64
}

// entry is one request at a gate.
type entry struct {
	state      *state
	weight     float64
	priority   upstream.Priority
	generation bool // counts against the workspace's concurrent generations
	deadline   time.Time
}

// exempt reports whether the workspace's share does not limit the request. A
// resumed generation was admitted under the limit before, and its old place is
// gone.
func (e entry) exempt() bool { return !e.generation || e.priority >= upstream.PriorityResumed }

func (e entry) take() bool {
	if !e.generation {
		return true
	}
	if e.exempt() {
		e.state.running.Add(1)
		return true
	}
	return e.state.acquire()
}

func (g *gate) hasRoom() bool {
	capacity := g.capacity()
	return capacity <= 0 || g.running < capacity
}

// enter admits the request, queues it, or refuses it at once with the time
// after which it would have been admitted.
func (g *gate) enter(e entry, now time.Time) (w *Waiting, wait time.Duration, refusal contract.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Len() == 0 && g.hasRoom() && e.take() {
		g.running++
		return nil, 0, ""
	}
	wait, reason := g.expectedWait(e)
	if now.Add(time.Duration(entryMargin * float64(wait))).After(e.deadline) {
		return nil, wait, reason
	}
	w = &Waiting{
		Workspace:  e.state.id,
		Weight:     e.weight,
		Priority:   e.priority,
		state:      e.state,
		limited:    !e.exempt(),
		generation: e.generation,
		admitted:   make(chan struct{}),
		queued:     now,
		expected:   wait,
	}
	if !g.queue.Push(w) {
		return nil, max(wait, minRetryAfter), contract.ReasonOverloaded
	}
	g.dispatch()
	return w, 0, ""
}

// expectedWait must be called with g.mu held.
func (g *gate) expectedWait(e entry) (time.Duration, contract.Reason) {
	var wait time.Duration
	reason := contract.ReasonOverloaded
	if !g.hasRoom() {
		wait = ExpectedWait(g.queue.Before(e.state.id, e.priority), g.capacity(), g.hold)
		wait = time.Duration(max(slownessFloor, g.slowness[e.state.id]) * float64(wait))
	}
	if e.exempt() || e.state.hasRoom() {
		return wait, reason
	}
	places := int(e.state.places.Load())
	limited := ExpectedWait(g.queue.AheadOf(e.state.id, e.priority), places, g.hold)
	return max(wait, limited), contract.ReasonLimit
}

// dispatch admits waiting requests while there is room. It must be called with
// g.mu held.
func (g *gate) dispatch() {
	for g.hasRoom() {
		w, ok := g.queue.Pop(eligible)
		if !ok {
			break
		}
		if !(entry{state: w.state, priority: w.Priority, generation: w.generation}).take() {
			// Another service's gate took the workspace's last place meanwhile;
			// a later dispatch goes on here.
			g.queue.Restore(w)
			break
		}
		g.running++
		close(w.admitted)
	}
	g.waiters.Store(int64(g.queue.Len()))
}

func eligible(w *Waiting) bool {
	return !w.limited || w.state.hasRoom()
}

// waited learns from the end of a wait.
func (g *gate) waited(w *Waiting, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.learn(w, now)
}

// learn must be called with g.mu held.
func (g *gate) learn(w *Waiting, now time.Time) {
	known := max(slownessFloor, g.slowness[w.Workspace])
	if w.expected <= 0 {
		return
	}
	observed := known * float64(now.Sub(w.queued)) / float64(w.expected)
	known += slownessWeight * (observed - known)
	g.slowness[w.Workspace] = min(max(known, slownessFloor), slownessLimit)
}

// hopeless reports whether a waiting request is no longer expected to be
// admitted before its deadline.
func (g *gate) hopeless(w *Waiting, deadline, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.gone || w.Priority >= upstream.PriorityResumed {
		return false
	}
	wait := ExpectedWait(g.queue.BeforeWaiting(w), g.capacity(), g.hold)
	wait = time.Duration(max(slownessFloor, g.slowness[w.Workspace]) * float64(wait))
	if !now.Add(wait).After(deadline) {
		return false
	}
	g.learn(w, now.Add(wait))
	return true
}

// abandon takes a request out of the queue. It returns false if the request
// was admitted meanwhile.
func (g *gate) abandon(w *Waiting) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	removed := g.queue.Remove(w)
	g.waiters.Store(int64(g.queue.Len()))
	return removed
}

// leave ends an admitted request.
func (g *gate) leave(held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.hold == 0 {
		g.hold = held
	}
	g.hold += time.Duration(holdWeight * float64(held-g.hold))
	g.dispatch()
}

// kick admits requests that have room now.
func (g *gate) kick() {
	if g.waiters.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch()
}
