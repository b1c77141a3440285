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
	// readChunk is the step in which bodies are read and their memory is taken.
	readChunkBytes = 16 << 10
	// exhaustedLogInterval is the least time between log lines on exhausted memory.
	exhaustedLogInterval = time.Second
)

var errMemoryExhausted = errors.New("the memory for bodies is used up")

// Memory is what the bodies of all requests and answers in progress may take
// together. What does not fit is refused or passed on without being kept, so that
// no caller or upstream can end the process by sending much.
type Memory struct {
	limit int64
	used  atomic.Int64
	log   logrus.FieldLogger

	mu           sync.Mutex // guards logged
	lastLoggedAt time.Time  // last log line on exhaustion
}

// NewMemory returns a budget of so many bytes.
func NewMemory(limit int64, log logrus.FieldLogger) *Memory { return &Memory{limit: limit, log: log} }

// Used returns the number of bytes in use.
func (m *Memory) Used() int64 { return m.used.Load() }

// take reports whether there is room for n more bytes, and takes them.
func (m *Memory) reserve(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	m.logExhausted()
	return false
}

func (m *Memory) release(n int64) { m.used.Add(-n) }

func (m *Memory) logExhausted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := time.Now(); now.Sub(m.lastLoggedAt) >= exhaustedLogInterval {
		m.lastLoggedAt = now
		m.log.WithFields(logrus.Fields{"used_bytes": m.used.Load(), "limit_bytes": m.limit}).Warn("memory for bodies is used up")
	}
}

// lease is the part of the memory that one request has taken. Sendings that go on
// after the end of their request get no more.
type reservation struct {
	memory   *Memory
	mu       sync.Mutex // guards the fields below
	reserved int64
	ended    bool
}

func (l *reservation) reserve(n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended || !l.memory.reserve(int64(n)) {
		return false
	}
	l.reserved += int64(n)
	return true
}

func (l *reservation) release(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		l.reserved -= int64(n)
		l.memory.release(int64(n))
	}
}

// end gives back all that is taken.
func (l *reservation) releaseAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memory.release(l.reserved)
	l.reserved, l.ended = 0, true
}

// read reads up to limit bytes. It returns io.EOF when the body is whole,
// errNoMemory or errLongAnswer when it goes on, and the error of the body otherwise.
// length is that of the whole body, -1 if it is unknown; its memory is taken at once.
func (l *reservation) readLimited(body io.Reader, length int64, limit int) ([]byte, error) {
	var read []byte
	for {
		if len(read) == cap(read) {
			more := max(readChunkBytes, len(read))
			if read == nil && length > 0 && length <= int64(limit) {
				more = int(length) + 1 // the end of the body is read too
			}
			if !l.reserve(more) {
				return read, errMemoryExhausted
			}
			grown := make([]byte, len(read), len(read)+more)
			copy(grown, read)
			read = grown
		}
		n, err := body.Read(read[len(read):min(cap(read), limit+1)])
		read = read[:len(read)+n]
		switch {
		case err != nil:
			return read, err
		case len(read) > limit:
			return read, errResponseTooLong
		}
	}
}
