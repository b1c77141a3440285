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
)

var errMemoryExhausted = errors.New("memory limit for bodies reached")

// BodyMemory bounds the total memory for the bodies of all requests and responses in
// progress. A body that does not fit is refused or forwarded without buffering, so that
// no caller or upstream can exhaust the memory of the process with long bodies.
type BodyMemory struct {
	limit int64
	used  atomic.Int64
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
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	m.logExhausted()
	return false
}

func (m *BodyMemory) release(n int64) { m.used.Add(-n) }

func (m *BodyMemory) logExhausted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := time.Now(); now.Sub(m.lastLoggedAt) >= exhaustedLogInterval {
		m.lastLoggedAt = now
		m.log.WithFields(logrus.Fields{"used_bytes": m.used.Load(), "limit_bytes": m.limit}).Warn("memory for bodies is used up")
	}
}

// reservation is the memory reserved by one request. Attempts that continue after the
// end of their request get no more.
type reservation struct {
	memory   *BodyMemory
	mu       sync.Mutex // guards the fields below
	reserved int64
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

// releaseAll frees everything reserved and refuses further reservations.
func (r *reservation) releaseAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memory.release(r.reserved)
	r.reserved, r.ended = 0, true
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
