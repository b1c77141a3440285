package workspace

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// entryMargin keeps nearly all queued requests within reach of their turn: with
// equal and with exponential hold times, at most 2% of the refusals came later
// than on arrival (seed 1 of TestOverloadIsRefusedOnArrival). Larger margins refuse more requests of light workspaces.
//
// It grows with the excess of the workspace's arrivals over its fair share. One
// that stays within its share is not moved back by others, and it is refused
// only when its turn has become unlikely.
var (
	entryMargin = margin{arrivals: 2.5, places: 1.5}
	laxMargin   = margin{arrivals: -0.5, places: -0.5}
)

// gate limits how many requests of a service run at this instance at a time.
type gate struct {
	capacity    func() int   // requests at a time; 0: no limit
	newCapacity func() int   // the part of it that is not kept for resumed generations
	waiters     atomic.Int64 // length of the queue, readable without the lock

	mu      sync.Mutex // guards the fields below; one per service, held for a few steps in memory
	running int
	queue   *Queue
	holds   holdTimes
	rates   arrivalRates
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

// places returns how many requests may run at a time when one of the priority
// is admitted; 0: no limit.
func (g *gate) places(priority upstream.Priority) int {
	if priority >= upstream.PriorityResumed {
		return g.capacity()
	}
	return g.newCapacity()
}

func (g *gate) hasRoom(priority upstream.Priority) bool {
	places := g.places(priority)
	return places <= 0 || g.running < places
}

// enter admits the request, queues it, or refuses it at once with the time
// after which it would have been admitted.
//
// A request is queued if its turn comes before its deadline with a margin, so
// that others with an earlier turn that arrive later rarely move it out of
// reach. The first one of its workspace needs no margin, since without a queue
// places would stand idle and turns would not be fair, and neither does a resumed
// generation, which is lost when it is refused.
func (g *gate) enter(e entry, now time.Time) (w *Waiting, wait time.Duration, refusal contract.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rates.add(e, now, g.queue.holds)
	if g.queue.Len() == 0 && g.hasRoom(e.priority) && e.take() {
		g.admit(now)
		return nil, 0, ""
	}
	if !g.reachable(e, now) {
		wait, reason := g.expectedWait(e, now)
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
	}
	if !g.queue.Push(w) {
		wait, _ := g.expectedWait(e, now)
		return nil, max(wait, minRetryAfter), contract.ReasonOverloaded
	}
	g.dispatch(now)
	return w, 0, ""
}

// reachable reports whether a new request's turn comes before its deadline. It
// must be called with g.mu held.
func (g *gate) reachable(e entry, now time.Time) bool {
	available := e.deadline.Sub(now)
	for _, f := range g.forecasts(e, now) {
		m := laxMargin.towards(entryMargin, g.excess(e, now))
		if f.own == 0 || e.priority >= upstream.PriorityResumed {
			m = laxMargin
		}
		if !f.within(available, m) {
			return false
		}
	}
	return true
}

// excess returns how far the request's stream is above its fair share. It must
// be called with g.mu held.
func (g *gate) excess(e entry, now time.Time) float64 {
	perSecond := float64(max(1, g.places(e.priority))) / max(g.holds.mean(now).Seconds(), minHold.Seconds())
	var own demand
	var others []demand
	for key, known := range g.rates {
		d := demand{rate: known.rate(now), weight: max(known.weight, minWeight)}
		switch {
		case key == (stream{workspace: e.state.id, priority: e.priority}):
			own = d
		case key.priority == e.priority:
			others = append(others, d)
		case key.priority > e.priority:
			perSecond -= d.rate
		}
	}
	return excess(own, others, perSecond)
}

// waitOf returns how long the request would wait if it came now, and for what.
func (g *gate) waitOf(e entry, now time.Time) (time.Duration, contract.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.expectedWait(e, now)
}

// expectedWait must be called with g.mu held.
func (g *gate) expectedWait(e entry, now time.Time) (time.Duration, contract.Reason) {
	var wait time.Duration
	reason := contract.ReasonOverloaded
	for _, f := range g.forecasts(e, now) {
		wait = max(wait, f.wait())
		if f.limit {
			reason = contract.ReasonLimit
		}
	}
	return wait, reason
}

// forecasts returns the forecasts for what a new request waits for: a place at
// the gate, a place of its workspace. It must be called with g.mu held.
func (g *gate) forecasts(e entry, now time.Time) []forecast {
	var all []forecast
	if !g.hasRoom(e.priority) {
		all = append(all, g.forecast(e.state.id, e.priority, g.queue.tag(e.state.id, e.priority), now))
	}
	if !e.exempt() && !e.state.hasRoom() {
		all = append(all, g.limitForecast(e.state, g.queue.AheadOf(e.state.id, e.priority), now))
	}
	return all
}

// limitForecast returns the forecast for one of the workspace's own places. It
// must be called with g.mu held.
func (g *gate) limitForecast(s *state, own int, now time.Time) forecast {
	return forecast{
		limit:      true,
		own:        own,
		pace:       g.holds.mean(now) / time.Duration(max(1, s.places.Load())),
		dispersion: g.holds.dispersion(),
	}
}

// forecast returns the forecast for a place at the gate for a request with the
// given start tag. It must be called with g.mu held.
func (g *gate) forecast(id contract.WorkspaceID, priority upstream.Priority, start float64, now time.Time) forecast {
	hold := g.holds.mean(now)
	places := max(1, g.places(priority))
	f := forecast{
		pace:       hold / time.Duration(places),
		dispersion: g.holds.dispersion(),
		excess:     max(0, g.running-places),
	}
	for key, known := range g.rates {
		waiting, turns := g.queue.before(key, known.weight, priority, start)
		if key == (stream{workspace: id, priority: priority}) {
			f.own = waiting
			continue
		}
		if waiting == 0 && turns == 0 {
			continue
		}
		c := competitor{waiting: waiting, turns: turns, served: math.Inf(1)}
		if turns > 0 {
			c.rate = known.rate(now)
		}
		if known.limited && hold > 0 {
			c.served = float64(known.state.places.Load()) / hold.Seconds()
		}
		f.competitors = append(f.competitors, c)
	}
	return f
}

func (g *gate) admit(now time.Time) {
	g.running++
	g.holds.begin(now)
}

// dispatch admits waiting requests while there is room. It must be called with
// g.mu held.
func (g *gate) dispatch(now time.Time) {
	for g.hasRoom(upstream.PriorityResumed) {
		w, ok := g.queue.Pop(g.admissible)
		if !ok {
			break
		}
		if !(entry{state: w.state, priority: w.Priority, generation: w.generation}).take() {
			// Another service's gate took the workspace's last place meanwhile;
			// a later dispatch goes on here.
			g.queue.Restore(w)
			break
		}
		g.admit(now)
		close(w.admitted)
	}
	g.waiters.Store(int64(g.queue.Len()))
}

func (g *gate) admissible(w *Waiting) bool {
	return g.hasRoom(w.Priority) && eligible(w)
}

// eligible reports whether the workspace's own limit lets the request through.
func eligible(w *Waiting) bool {
	return !w.limited || w.state.hasRoom()
}

// hopeless reports whether a waiting request is no longer likely to be
// admitted before its deadline.
func (g *gate) hopeless(w *Waiting, deadline, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.gone || w.Priority >= upstream.PriorityResumed {
		return false
	}
	available := deadline.Sub(now)
	f := g.forecast(w.Workspace, w.Priority, w.start, now)
	f.own-- // w itself
	if !g.hasRoom(w.Priority) && !f.within(available, laxMargin) {
		return true
	}
	return !eligible(w) && !g.limitForecast(w.state, f.own, now).within(available, laxMargin)
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
func (g *gate) leave(held time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.holds.end(held)
	g.dispatch(now)
}

// kick admits requests that have room now.
func (g *gate) kick(now time.Time) {
	if g.waiters.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(now)
}
