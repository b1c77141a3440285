package timeline

import "sync/atomic"

// DefaultCapacity is the default number of events in the ring buffer. An event
// takes about 200 bytes with its text, a full buffer about 3.5 MB.
const DefaultCapacity = 16384

// ring is a lock-free ring buffer of the latest events. Writers claim a slot with
// one atomic addition and publish an immutable event; they never wait for each
// other or for readers.
type ring struct {
	next  atomic.Uint64
	slots []atomic.Pointer[Event]
}

func newRing(capacity int) *ring {
	return &ring{slots: make([]atomic.Pointer[Event], capacity)}
}

func (r *ring) add(event *Event) {
	i := r.next.Add(1) - 1
	r.slots[i%uint64(len(r.slots))].Store(event)
}

// snapshot returns the events that match, in no particular order.
func (r *ring) snapshot(match func(*Event) bool) []Event {
	var out []Event
	for i := range r.slots {
		if e := r.slots[i].Load(); e != nil && match(e) {
			out = append(out, *e)
		}
	}
	return out
}
