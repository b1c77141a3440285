package forward

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foxtailhub.example/foxtailhub/internal/route"
)

// Leaving tells whether the instance is leaving, and whether a new request can
// still end before it has left.
type Leaving struct {
	endsAt atomic.Pointer[time.Time] // when the process ends at the latest; nil: it stays

	mu          sync.Mutex // guards the fields below
	durations   [recentStreams]time.Duration
	streamCount int
}

const (
	// streamTime is the time that a new stream needs at least until its end: about one
	// second to read 8,000 tokens and five to write 1,300. Its deadline is much longer.
	minStreamTime = 6500 * time.Millisecond
	// recentStreams is how many of the latest streams tell how long one may take here:
	// engines are slower where many write at once.
	recentStreams = 32
	// endMargin is for the end of the process coming early by its clock.
	endMargin = 200 * time.Millisecond
)

// Begin notes that the process ends at the given time.
func (l *Leaving) Begin(end time.Time) { l.endsAt.Store(&end) }

// Begun reports whether the instance is leaving.
func (l *Leaving) Begun() bool { return l.endsAt.Load() != nil }

// StreamEnded notes how long a stream took from its request to its end.
func (l *Leaving) StreamEnded(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.durations[l.streamCount%recentStreams] = duration
	l.streamCount++
}

// StreamTime returns the time that a new stream may need: one that is refused is
// begun at another instance at once, one that is cut is read and written again.
func (l *Leaving) StreamTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(minStreamTime, slices.Max(l.durations[:]))
}

// TimeFor reports whether a request that may last until its deadline can end
// before the process does.
func (l *Leaving) TimeFor(kind route.Kind, left time.Duration) bool {
	end := l.endsAt.Load()
	if end == nil {
		return true
	}
	if kind == route.Stream {
		left = min(left, l.StreamTime())
	}
	return time.Until(*end)-endMargin >= left
}
