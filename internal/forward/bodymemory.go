package forward

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	// readChunkBytes is the chunk size for reading bodies and reserving their memory.
	readChunkBytes = 16 << 10
	// exhaustedLogInterval is the minimum time between log lines on exhausted memory.
	exhaustedLogInterval = time.Second
	// eventSlots is how many events may exceed the limit at a time, at most one of a stream:
	// the bodies of streams in progress could otherwise use up the memory that their own
	// events need.
	eventSlots = 32
	// eventMemoryInterval is the time between tries to reserve memory for an event.
	eventMemoryInterval = 20 * time.Millisecond
)

var errMemoryExhausted = errors.New("memory limit for bodies reached")

// BodyMemory bounds the total memory for the bodies of all requests and responses in
// progress. A body that does not fit is refused or forwarded without buffering, so that
// no caller or upstream can exhaust the memory of the process with long bodies. Events of
// streams wait for memory, and may exceed the limit by eventSlots of the longest ones.
type BodyMemory struct {
	limit int64
	used  atomic.Int64
	slots atomic.Int64 // used of eventSlots
	log   logrus.FieldLogger

	mu           sync.Mutex // guards lastLoggedAt
	lastLoggedAt time.Time
}

// NewBodyMemory returns a budget of limit bytes.
func NewBodyMemory(limit int64, log logrus.FieldLogger) *BodyMemory {
	return &BodyMemory{limit: limit, log: log}
}

// Used returns the number of bytes in use.
func (m *BodyMemory) Used() int64 { return m.used.Load() }

// reserve reserves n bytes if they fit and reports whether they do.
func (m *BodyMemory) reserve(n int64) bool {
	if addUpTo(&m.used, n, m.limit) {
		return true
	}
	m.logExhausted()
	return false
}

// addUpTo adds n to a counter unless it would exceed the limit, and reports whether it does.
func addUpTo(counter *atomic.Int64, n, limit int64) bool {
	for {
		old := counter.Load()
		if old+n > limit {
			return false
		}
		if counter.CompareAndSwap(old, old+n) {
			return true
		}
	}
}

func (m *BodyMemory) release(n int64) { m.used.Add(-n) }

// takeSlot takes an event slot if one is free and reports whether it does.
func (m *BodyMemory) takeSlot() bool { return addUpTo(&m.slots, 1, eventSlots) }

func (m *BodyMemory) logExhausted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := time.Now(); now.Sub(m.lastLoggedAt) >= exhaustedLogInterval {
		m.lastLoggedAt = now
		m.log.WithFields(logrus.Fields{"used_bytes": m.used.Load(), "limit_bytes": m.limit}).Warn("memory for bodies is used up")
	}
}

// reservation is the memory reserved by one request, or by the events of one run of a stream.
// Attempts that continue after the end of their request or run get no more.
type reservation struct {
	memory   *BodyMemory
	waiting  atomic.Bool // an event waits for memory
	mu       sync.Mutex  // guards the fields below
	reserved int64
	slot     bool // it holds an event slot
	ended    bool
}

func (r *reservation) reserve(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || !r.memory.reserve(int64(n)) {
		return false
	}
	r.reserved += int64(n)
	return true
}

func (r *reservation) release(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		r.reserved -= int64(n)
		r.memory.release(int64(n))
	}
}

// reserveForEvent reserves n more bytes for an event, or a slot for the whole event. It waits
// until one of them is available; false means that the reservation has ended.
func (r *reservation) reserveForEvent(e *event, n int) bool {
	defer r.waiting.Store(false)
	for {
		switch {
		case r.reserve(n):
			e.reservedBytes += n
			return true
		case r.takeSlot():
			e.slot = true
			return true
		case r.hasEnded():
			return false
		}
		r.waiting.Store(true)
		time.Sleep(eventMemoryInterval)
	}
}

func (r *reservation) takeSlot() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || r.slot || !r.memory.takeSlot() {
		return false
	}
	r.slot = true
	return true
}

func (r *reservation) releaseSlot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slot {
		r.slot = false
		r.memory.slots.Add(-1)
	}
}

func (r *reservation) hasEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// releaseAll frees everything reserved and refuses further reservations.
func (r *reservation) releaseAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memory.release(r.reserved)
	if r.slot {
		r.memory.slots.Add(-1)
	}
	r.reserved, r.slot, r.ended = 0, false, true
}

// readLimited reads up to limit bytes. It returns io.EOF when the body is complete,
// errMemoryExhausted or errResponseTooLong when the body continues, and the read error
// otherwise. length is the length of the whole body, -1 if unknown; memory for a known
// length is reserved at once.
func (r *reservation) readLimited(body io.Reader, length int64, limit int) ([]byte, error) {
	var read []byte
	for {
		if len(read) == cap(read) {
			more := max(readChunkBytes, len(read))
			if read == nil && length > 0 && length <= int64(limit) {
				more = int(length) + 1 // one more, to read up to io.EOF
			}
			if !r.reserve(more) {
				return read, errMemoryExhausted
			}
			grown := make([]byte, len(read), len(read)+more)
			copy(grown, read)
			read = grown
		}
		n, err := body.Read(read[len(read) : min(cap(read)-1, limit)+1])
		read = read[:len(read)+n]
		switch {
		case err != nil:
			return read, err
		case len(read) > limit:
			return read, errResponseTooLong
		}
	}
}
