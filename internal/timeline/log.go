package timeline

import (
	"strings"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// maxDetail bounds the detail of an event, in bytes, and thereby the memory of
// the ring buffer.
const maxDetail = 256

// Log records the events of this instance in a bounded ring buffer.
type Log struct {
	instance contract.InstanceID
	clock    *Clock
	ring     *ring
}

var _ Recorder = (*Log)(nil)

// NewLog returns a log with room for capacity events (0: DefaultCapacity).
func NewLog(instance contract.InstanceID, clock *Clock, capacity int) *Log {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Log{instance: instance, clock: clock, ring: newRing(capacity)}
}

// Record stamps and stores an event. It never blocks.
func (l *Log) Record(event Event) {
	event.At = l.clock.Now()
	event.Instance = l.instance
	if len(event.Detail) > maxDetail {
		event.Detail = strings.ToValidUTF8(event.Detail[:maxDetail], "")
	}
	l.ring.add(&event)
}

// Select returns the latest query.Limit events that match the query, in causal
// order.
func (l *Log) Select(query Query) []Event {
	return latest(Merge(l.ring.snapshot(query.Matches)), query.Limit)
}
