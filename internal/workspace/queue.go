package workspace

import (
	"sort"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// Waiting is a request in a Queue.
type Waiting struct {
	Workspace contract.WorkspaceID
	Weight    float64 // of the workspace; at least minWeight counts
	Priority  upstream.Priority

	state      *state
	limited    bool          // the workspace's share applies
	generation bool          // counts as a concurrent generation
	admitted   chan struct{} // closed by the gate
	gone       bool          // taken out of the queue
	queued     time.Time
	expected   time.Duration // wait that was expected then
	start      float64       // start tag
}

// minWeight keeps a workspace with a tiny weight from never being served.
const minWeight = 0.01

// Queue orders requests by priority and, within a priority, fairly between
// workspaces by start-time fair queueing: each request gets a start tag, the
// larger of the virtual time and the finish tag of its workspace's request
// before it; the smallest start tag goes first. It is not safe for concurrent
// use; it does no I/O and reads no clock.
type Queue struct {
	limit   int
	size    int
	classes []*class // by falling priority
}

// class holds the requests of one priority.
type class struct {
	priority upstream.Priority
	virtual  float64
	flows    map[contract.WorkspaceID]*flow
	size     int
}

// flow holds the requests of one workspace in order of arrival.
type flow struct {
	finish float64 // finish tag of the last request added
	items  []*Waiting
}

// NewQueue returns an empty queue for at most limit requests.
func NewQueue(limit int) *Queue { return &Queue{limit: limit} }

// Len returns the number of requests in the queue.
func (q *Queue) Len() int { return q.size }

// Push adds a request. It returns false if the queue is full.
func (q *Queue) Push(w *Waiting) bool {
	if q.size >= q.limit {
		return false
	}
	c := q.class(w.Priority)
	f := c.flows[w.Workspace]
	if f == nil {
		f = &flow{}
		c.flows[w.Workspace] = f
	}
	w.start = max(c.virtual, f.finish)
	f.finish = w.start + 1/max(w.Weight, minWeight)
	f.items = append(f.items, w)
	c.size++
	q.size++
	return true
}

// Pop takes the next eligible request. Only the first request of each workspace
// and priority is considered.
func (q *Queue) Pop(eligible func(*Waiting) bool) (*Waiting, bool) {
	for _, c := range q.classes {
		best := c.next(eligible)
		if best == nil {
			continue
		}
		c.virtual = max(c.virtual, best.start)
		q.take(c, best)
		return best, true
	}
	return nil, false
}

// Restore puts back a request that Pop returned and that could not be served.
// It keeps its place.
func (q *Queue) Restore(w *Waiting) {
	c := q.class(w.Priority)
	f := c.flows[w.Workspace]
	if f == nil {
		f = &flow{finish: w.start + 1/max(w.Weight, minWeight)}
		c.flows[w.Workspace] = f
	}
	f.items = append([]*Waiting{w}, f.items...)
	w.gone = false
	c.size++
	q.size++
}

// Remove takes a request out of the queue. It returns false if it is not there.
func (q *Queue) Remove(w *Waiting) bool {
	if w.gone {
		return false
	}
	c := q.class(w.Priority)
	if f := c.flows[w.Workspace]; f == nil || len(f.items) == 0 {
		return false
	}
	return q.take(c, w)
}

// Before returns how many waiting requests would be served before a new one of
// the workspace: those of a higher priority, and of its own priority those with
// an earlier turn.
func (q *Queue) Before(workspace contract.WorkspaceID, priority upstream.Priority) int {
	n := 0
	for _, c := range q.classes {
		switch {
		case c.priority > priority:
			n += c.size
		case c.priority == priority:
			n += c.before(workspace)
		}
	}
	return n
}

// BeforeWaiting returns how many waiting requests would be served before w.
func (q *Queue) BeforeWaiting(w *Waiting) int {
	n := 0
	for _, c := range q.classes {
		switch {
		case c.priority > w.Priority:
			n += c.size
		case c.priority == w.Priority:
			n += max(0, c.upTo(w.start)-1)
		}
	}
	return n
}

func (c *class) before(workspace contract.WorkspaceID) int {
	start := c.virtual
	if f := c.flows[workspace]; f != nil {
		start = max(start, f.finish)
	}
	return c.upTo(start)
}

// upTo returns how many requests have a start tag up to the given one.
func (c *class) upTo(start float64) int {
	n := 0
	for _, f := range c.flows {
		n += sort.Search(len(f.items), func(i int) bool { return f.items[i].start > start })
	}
	return n
}

// AheadOf returns how many requests of the workspace of at least the priority wait.
func (q *Queue) AheadOf(workspace contract.WorkspaceID, priority upstream.Priority) int {
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

func (c *class) next(eligible func(*Waiting) bool) *Waiting {
	var best *Waiting
	for _, f := range c.flows {
		if len(f.items) == 0 {
			continue
		}
		head := f.items[0]
		if before(head, best) && eligible(head) {
			best = head
		}
	}
	return best
}

// before orders requests of one priority; the name decides between equal tags.
func before(a, b *Waiting) bool {
	if b == nil || a.start != b.start {
		return b == nil || a.start < b.start
	}
	return a.Workspace < b.Workspace
}

func (q *Queue) take(c *class, w *Waiting) bool {
	f := c.flows[w.Workspace]
	for i, item := range f.items {
		if item != w {
			continue
		}
		f.items = append(f.items[:i], f.items[i+1:]...)
		w.gone = true
		c.size--
		q.size--
		c.forget()
		return true
	}
	return false
}

// forget drops the flows of an empty class. Their finish tags no longer matter:
// all later requests begin together.
func (c *class) forget() {
	if c.size > 0 {
		return
	}
	c.virtual = 0
	clear(c.flows)
}

// ExpectedWait estimates how long a request waits when ahead requests wait
// before it, places requests run at a time, and each holds its place for hold.
func ExpectedWait(ahead, places int, hold time.Duration) time.Duration {
	return time.Duration(ahead+1) * hold / time.Duration(max(1, places))
}
