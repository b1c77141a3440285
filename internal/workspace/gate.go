package workspace

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// With fullMargin nearly all queued requests are admitted in time: with equal
// and with exponential hold times, at most 2% of the refusals came later than
// on arrival (seed 1 of TestOverloadIsRefusedOnArrival). Larger margins refuse
// more requests of light workspaces.
//
// The margin grows from minMargin to fullMargin with the excess of the
// workspace's arrivals over its fair share. Requests within the share are not
// displaced by others; they are refused only if admission in time is unlikely.
var (
	fullMargin = margin{arrivals: 2.5, slots: 1.5}
	minMargin  = margin{arrivals: -0.5, slots: -0.5}
)

// gate limits how many requests of a service run at this instance at a time.
type gate struct {
	capacity    func() int   // requests at a time; 0: no limit
	newCapacity func() int   // part of the capacity that is not reserved for resumed generations
	queueLength atomic.Int64 // length of the queue, readable without the lock

	mu        sync.Mutex // guards the fields below; one per service, held only for short in-memory operations
	running   int
	queue     *Queue
	holdTimes holdTimeStats
	rates     arrivalRates
}

// entry is one request at a gate.
type entry struct {
	state      *state
	weight     float64
	priority   upstream.Priority
	generation bool // counts against the workspace's concurrent generations
	deadline   time.Time
}

// exemptFromShare reports whether the workspace's share does not limit the
// request. A resumed generation was already admitted under the limit, and its
// former slot was lost.
func (e entry) exemptFromShare() bool { return !e.generation || e.priority >= upstream.PriorityResumed }

func (e entry) acquireSlot() bool {
	if !e.generation {
		return true
	}
	if e.exemptFromShare() {
		e.state.running.Add(1)
		return true
	}
	return e.state.acquire()
}

// slots returns how many requests may run at a time when one of the priority is
// admitted; 0: no limit.
func (g *gate) slots(priority upstream.Priority) int {
	if priority >= upstream.PriorityResumed {
		return g.capacity()
	}
	return g.newCapacity()
}

func (g *gate) hasFreeSlot(priority upstream.Priority) bool {
	slots := g.slots(priority)
	return slots <= 0 || g.running < slots
}

// enter admits the request, queues it, or refuses it immediately with the time
// after which it would have been admitted.
//
// A request is queued if its admission is expected before its deadline with a
// margin, so that later requests ordered before it rarely make it miss the
// deadline. A workspace's first queued request needs no margin, since without a
// queue slots would stay idle and the order would not be fair. A resumed
// generation needs none either, since a refusal loses it.
func (g *gate) enter(e entry, now time.Time) (queued *QueuedRequest, wait time.Duration, refusal contract.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rates.add(e, now, g.queue.hasWaiting)
	if g.queue.Len() == 0 && g.hasFreeSlot(e.priority) && e.acquireSlot() {
		g.admit(now)
		return nil, 0, ""
	}
	if !g.canMeetDeadline(e, now) {
		wait, reason := g.expectedWait(e, now)
		return nil, wait, reason
	}
	queued = &QueuedRequest{
		Workspace:  e.state.id,
		Weight:     e.weight,
		Priority:   e.priority,
		state:      e.state,
		limited:    !e.exemptFromShare(),
		generation: e.generation,
		admitted:   make(chan struct{}),
	}
	if !g.queue.Push(queued) {
		wait, _ := g.expectedWait(e, now)
		return nil, max(wait, minRetryAfter), contract.ReasonOverloaded
	}
	g.dispatch(now)
	return queued, 0, ""
}

// canMeetDeadline reports whether a new request is expected to be admitted
// before its deadline. It must be called with g.mu held.
func (g *gate) canMeetDeadline(e entry, now time.Time) bool {
	available := e.deadline.Sub(now)
	for _, f := range g.forecasts(e, now) {
		m := minMargin.interpolate(fullMargin, g.excess(e, now))
		if f.ownAhead == 0 || e.priority >= upstream.PriorityResumed {
			m = minMargin
		}
		if !f.within(available, m) {
			return false
		}
	}
	return true
}

// excess returns how far the request's flow exceeds its fair share. It must be
// called with g.mu held.
func (g *gate) excess(e entry, now time.Time) float64 {
	perSecond := float64(max(1, g.slots(e.priority))) / max(g.holdTimes.mean(now).Seconds(), minHold.Seconds())
	var own flowRate
	var others []flowRate
	for key, arrivals := range g.rates {
		d := flowRate{rate: arrivals.rate(now), weight: max(arrivals.weight, minWeight)}
		switch {
		case key == (flowID{workspace: e.state.id, priority: e.priority}):
			own = d
		case key.priority == e.priority:
			others = append(others, d)
		case key.priority > e.priority:
			perSecond -= d.rate
		}
	}
	return shareExcess(own, others, perSecond)
}

// currentWait returns how long the request would wait if it arrived now, and
// why.
func (g *gate) currentWait(e entry, now time.Time) (time.Duration, contract.Reason) {
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
		if f.workspaceLimit {
			reason = contract.ReasonWorkspaceLimit
		}
	}
	return wait, reason
}

// forecasts returns the forecasts for the slots that a new request waits for:
// one at the gate, one of its workspace. It must be called with g.mu held.
func (g *gate) forecasts(e entry, now time.Time) []forecast {
	var all []forecast
	if !g.hasFreeSlot(e.priority) {
		all = append(all, g.forecast(e.state.id, e.priority, g.queue.startTagOf(e.state.id, e.priority), now))
	}
	if !e.exemptFromShare() && !e.state.hasFreeSlot() {
		all = append(all, g.limitForecast(e.state, g.queue.CountAhead(e.state.id, e.priority), now))
	}
	return all
}

// limitForecast returns the forecast for a slot of the workspace's own limit.
// It must be called with g.mu held.
func (g *gate) limitForecast(s *state, own int, now time.Time) forecast {
	return forecast{
		workspaceLimit: true,
		ownAhead:       own,
		slotInterval:   g.holdTimes.mean(now) / time.Duration(max(1, s.slots.Load())),
		dispersion:     g.holdTimes.dispersion(),
	}
}

// forecast returns the forecast for a slot at the gate for a request with the
// given start tag. It must be called with g.mu held.
func (g *gate) forecast(id contract.WorkspaceID, priority upstream.Priority, start float64, now time.Time) forecast {
	hold := g.holdTimes.mean(now)
	slots := max(1, g.slots(priority))
	f := forecast{
		slotInterval: hold / time.Duration(slots),
		dispersion:   g.holdTimes.dispersion(),
		overCapacity: max(0, g.running-slots),
	}
	for key, arrivals := range g.rates {
		waiting, maxEarlier := g.queue.earlierRequests(key, arrivals.weight, priority, start)
		if key == (flowID{workspace: id, priority: priority}) {
			f.ownAhead = waiting
			continue
		}
		if waiting == 0 && maxEarlier == 0 {
			continue
		}
		c := competitor{waiting: waiting, maxEarlier: maxEarlier, maxRate: math.Inf(1)}
		if maxEarlier > 0 {
			c.rate = arrivals.rate(now)
		}
		if arrivals.limited && hold > 0 {
			c.maxRate = float64(arrivals.state.slots.Load()) / hold.Seconds()
		}
		f.competitors = append(f.competitors, c)
	}
	return f
}

func (g *gate) admit(now time.Time) {
	g.running++
	g.holdTimes.begin(now)
}

// dispatch admits waiting requests while slots are free. It must be called with
// g.mu held.
func (g *gate) dispatch(now time.Time) {
	for g.hasFreeSlot(upstream.PriorityResumed) {
		queued, ok := g.queue.Pop(g.admissible)
		if !ok {
			break
		}
		if !(entry{state: queued.state, priority: queued.Priority, generation: queued.generation}).acquireSlot() {
			// The gate of another service has taken the workspace's last slot
			// meanwhile; a later dispatch continues.
			g.queue.Restore(queued)
			break
		}
		g.admit(now)
		close(queued.admitted)
	}
	g.queueLength.Store(int64(g.queue.Len()))
}

func (g *gate) admissible(queued *QueuedRequest) bool {
	return g.hasFreeSlot(queued.Priority) && eligible(queued)
}

// eligible reports whether the workspace's own limit admits the request.
func eligible(queued *QueuedRequest) bool {
	return !queued.limited || queued.state.hasFreeSlot()
}

// cannotMeetDeadline reports whether a waiting request is no longer likely to
// be admitted before its deadline.
func (g *gate) cannotMeetDeadline(queued *QueuedRequest, deadline, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if queued.removed || queued.Priority >= upstream.PriorityResumed {
		return false
	}
	available := deadline.Sub(now)
	f := g.forecast(queued.Workspace, queued.Priority, queued.startTag, now)
	f.ownAhead-- // queued itself
	if !g.hasFreeSlot(queued.Priority) && !f.within(available, minMargin) {
		return true
	}
	return !eligible(queued) && !g.limitForecast(queued.state, f.ownAhead, now).within(available, minMargin)
}

// abandon removes a request from the queue. It returns false if it was admitted
// meanwhile.
func (g *gate) abandon(queued *QueuedRequest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	removed := g.queue.Remove(queued)
	g.queueLength.Store(int64(g.queue.Len()))
	return removed
}

// finish releases the slot of an admitted request.
func (g *gate) finish(held time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.holdTimes.end(held)
	g.dispatch(now)
}

// dispatchIfQueued calls dispatch unless the queue is empty.
func (g *gate) dispatchIfQueued(now time.Time) {
	if g.queueLength.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(now)
}
