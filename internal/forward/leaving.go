package forward

import (
	"sync/atomic"
	"time"
)

// Leaving tells whether the instance is leaving, and whether a new stream can
// still end before it has left.
type Leaving struct {
	end atomic.Pointer[time.Time] // when the process ends at the latest; nil: it stays
}

// streamTime is the time that a new stream needs until its end: about one second
// to read 8,000 tokens and five to write 1,300.
const streamTime = 6500 * time.Millisecond

// Begin notes that the process ends at the given time.
func (l *Leaving) Begin(end time.Time) { l.end.Store(&end) }

// TimeForStream reports whether a new stream can end before the process does.
func (l *Leaving) TimeForStream() bool {
	end := l.end.Load()
	return end == nil || time.Until(*end) >= streamTime
}
