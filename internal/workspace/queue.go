package workspace

import (
	"math"
	"sort"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// QueuedRequest is a request in a Queue.
type QueuedRequest struct {
	Workspace contract.WorkspaceID
	Weight    float64 // of the workspace; raised to minWeight
	Priority  upstream.Priority

	state      *state
	limited    bool          // the workspace's share of slots applies
	generation bool          // counts as a concurrent generation
	admitted   chan struct{} // closed by the gate
	removed    bool          // no longer in the queue
	startTag   float64
}

// minWeight prevents the starvation of a workspace with a very small weight.
const minWeight = 0.01

// burstCredit is how far the start tags of a workspace may lag behind the
// virtual time, in requests per unit of weight. A workspace that has used less
// than its share can catch up by this amount; without the credit, one just
// below its share would wait as long as one at its share.
const burstCredit = 8

// Queue orders requests by priority and, within a priority, fairly between
// workspaces by start-time fair queueing. The start tag of a request is the
// larger of the virtual time, less a credit, and the finish tag of the previous
// request of its workspace; the smallest start tag goes first. A Queue is not
// safe for concurrent use; it does no I/O and reads no clock.
type Queue struct {
	limit   int
	size    int
	classes []*class // by descending priority
}

// class holds the requests of one priority.
type class struct {
	priority    upstream.Priority
	virtualTime float64
	flows       map[contract.WorkspaceID]*flow
	size        int
}

// flow holds the requests of one workspace in order of arrival.
type flow struct {
	finishTag float64 // finish tag of the last request added
	items     []*QueuedRequest
}

// NewQueue returns an empty queue for at most limit requests.
func NewQueue(limit int) *Queue { return &Queue{limit: limit} }

// Len returns the number of requests in the queue.
func (q *Queue) Len() int { return q.size }

// Push adds a request. It returns false if the queue is full.
func (q *Queue) Push(r *QueuedRequest) bool {
	if q.size >= q.limit {
		return false
	}
	c := q.class(r.Priority)
	f := c.flows[r.Workspace]
	if f == nil {
		f = &flow{finishTag: c.virtualTime}
		c.flows[r.Workspace] = f
	}
	r.startTag = c.nextStartTag(r.Workspace)
	f.finishTag = r.startTag + 1/max(r.Weight, minWeight)
	f.items = append(f.items, r)
	c.size++
	q.size++
	return true
}

// Pop removes and returns the next eligible request. Only the first request of
// each workspace and priority is considered.
func (q *Queue) Pop(eligible func(*QueuedRequest) bool) (*QueuedRequest, bool) {
	for _, c := range q.classes {
		best := c.next(eligible)
		if best == nil {
			continue
		}
		c.virtualTime = max(c.virtualTime, best.startTag)
		q.take(c, best)
		return best, true
	}
	return nil, false
}

// Restore reinserts, at its position, a request that Pop returned and that
// could not be served.
func (q *Queue) Restore(r *QueuedRequest) {
	c := q.class(r.Priority)
	f := c.flows[r.Workspace]
	if f == nil {
		f = &flow{finishTag: r.startTag + 1/max(r.Weight, minWeight)}
		c.flows[r.Workspace] = f
	}
	f.items = append([]*QueuedRequest{r}, f.items...)
	r.removed = false
	c.size++
	q.size++
}

// Remove removes a request. It returns false if it is not in the queue.
func (q *Queue) Remove(r *QueuedRequest) bool {
	if r.removed {
		return false
	}
	c := q.class(r.Priority)
	if f := c.flows[r.Workspace]; f == nil || len(f.items) == 0 {
		return false
	}
	return q.take(c, r)
}

// startTagOf returns the start tag that a new request of the workspace would
// get.
func (q *Queue) startTagOf(workspace contract.WorkspaceID, priority upstream.Priority) float64 {
	for _, c := range q.classes {
		if c.priority == priority {
			return c.nextStartTag(workspace)
		}
	}
	return 0
}

func (c *class) nextStartTag(workspace contract.WorkspaceID) float64 {
	if f := c.flows[workspace]; f != nil {
		return max(c.virtualTime-burstCredit, f.finishTag)
	}
	return c.virtualTime
}

// earlierRequests returns how many waiting requests of a flow are served before
// a request of the given priority and start tag, and how many future ones could
// be.
func (q *Queue) earlierRequests(id flowID, weight float64, priority upstream.Priority, start float64) (waiting int, maxEarlier float64) {
	if id.priority < priority {
		return 0, 0
	}
	c := q.class(id.priority)
	f := c.flows[id.workspace]
	if id.priority > priority {
		if f != nil {
			waiting = len(f.items)
		}
		return waiting, math.Inf(1)
	}
	if f != nil {
		waiting = f.countUpTo(start)
	}
	if next := c.nextStartTag(id.workspace); next <= start {
		maxEarlier = (start-next)*max(weight, minWeight) + 1
	}
	return waiting, maxEarlier
}

func (q *Queue) hasWaiting(id flowID) bool {
	for _, c := range q.classes {
		if c.priority == id.priority {
			f := c.flows[id.workspace]
			return f != nil && len(f.items) > 0
		}
	}
	return false
}

// countUpTo returns how many requests have a start tag up to the given one.
func (f *flow) countUpTo(start float64) int {
	return sort.Search(len(f.items), func(i int) bool { return f.items[i].startTag > start })
}

// CountAhead returns the number of waiting requests of the workspace with at least
// the given priority.
func (q *Queue) CountAhead(workspace contract.WorkspaceID, priority upstream.Priority) int {
	n := 0
	for _, c := range q.classes {
		if f := c.flows[workspace]; f != nil && c.priority >= priority {
			n += len(f.items)
		}
	}
	return n
}

func (q *Queue) class(priority upstream.Priority) *class {
	for i, c := range q.classes {
		if c.priority == priority {
			return c
		}
		if c.priority < priority {
			return q.insertClass(i, priority)
		}
	}
	return q.insertClass(len(q.classes), priority)
}

func (q *Queue) insertClass(at int, priority upstream.Priority) *class {
	c := &class{priority: priority, flows: map[contract.WorkspaceID]*flow{}}
	q.classes = append(q.classes, nil)
	copy(q.classes[at+1:], q.classes[at:])
	q.classes[at] = c
	return c
}

func (c *class) next(eligible func(*QueuedRequest) bool) *QueuedRequest {
	var best *QueuedRequest
	for _, f := range c.flows {
		if len(f.items) == 0 {
			continue
		}
		head := f.items[0]
		if precedes(head, best) && eligible(head) {
			best = head
		}
	}
	return best
}

// precedes orders requests of one priority by start tag; ties are broken by the
// workspace's name.
func precedes(a, b *QueuedRequest) bool {
	if b == nil || a.startTag != b.startTag {
		return b == nil || a.startTag < b.startTag
	}
	return a.Workspace < b.Workspace
}

func (q *Queue) take(c *class, r *QueuedRequest) bool {
	f := c.flows[r.Workspace]
	for i, item := range f.items {
		if item != r {
			continue
		}
		f.items = append(f.items[:i], f.items[i+1:]...)
		r.removed = true
		c.size--
		q.size--
		c.resetIfEmpty()
		return true
	}
	return false
}

// resetIfEmpty drops the flows of an empty class. Their finish tags no longer
// matter, since all later requests start at the same virtual time.
func (c *class) resetIfEmpty() {
	if c.size > 0 {
		return
	}
	c.virtualTime = 0
	clear(c.flows)
}

// ExpectedWait estimates a request's wait if ahead requests precede it, slots
// requests run at a time and each holds its slot for hold.
func ExpectedWait(ahead, slots int, hold time.Duration) time.Duration {
	return time.Duration(ahead+1) * hold / time.Duration(max(1, slots))
}
