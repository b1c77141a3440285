package timeline

import (
	"cmp"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxClockLead is how far a remote timestamp may be ahead of the local clock.
// A larger lead is a fault of the remote clock; adopting it would permanently
// advance the timestamps of the whole deployment.
const MaxClockLead = time.Minute

// ErrClockLead reports a remote timestamp too far ahead of the local clock.
var ErrClockLead = errors.New("remote timestamp is too far ahead of the local clock")

// Compare orders timestamps.
func (t Timestamp) Compare(other Timestamp) int {
	return cmp.Or(cmp.Compare(t.WallMS, other.WallMS), cmp.Compare(t.Logical, other.Logical))
}

// Clock is a hybrid logical clock: close to physical time, and later than every
// timestamp that it issued or received.
type Clock struct {
	mu   sync.Mutex // guards last
	last Timestamp
	now  func() time.Time
}

// NewClock returns a clock that reads physical time from time.Now.
func NewClock() *Clock { return &Clock{now: time.Now} }

// Now returns the next timestamp.
func (c *Clock) Now() Timestamp {
	wall := c.now().UnixMilli()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = advance(c.last, Timestamp{WallMS: wall})
	return c.last
}

// Update merges a timestamp received from another instance. It returns
// ErrClockLead, and leaves the clock unchanged, if remote is too far ahead.
func (c *Clock) Update(remote Timestamp) error {
	wall := c.now().UnixMilli()
	if remote.WallMS-wall > MaxClockLead.Milliseconds() {
		return errors.Wrapf(ErrClockLead, "remote %d ms, local %d ms", remote.WallMS, wall)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if remote.Compare(c.last) > 0 {
		c.last = remote
	}
	c.last = advance(c.last, Timestamp{WallMS: wall})
	return nil
}

// advance returns the smallest timestamp after last that is not before now.
func advance(last, now Timestamp) Timestamp {
	if now.WallMS > last.WallMS {
		return now
	}
	if last.Logical == ^uint32(0) {
		return Timestamp{WallMS: last.WallMS + 1}
	}
	return Timestamp{WallMS: last.WallMS, Logical: last.Logical + 1}
}
