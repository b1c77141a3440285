package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// returnSpread bounds the random delay between the first sign of a return of the store and the
// reads of each topic, so that instances do not all read at one moment.
const returnSpread = 100 * time.Millisecond

// ReturnDelay returns a random delay between a sign of a return of the store and a read.
func ReturnDelay() time.Duration { return rand.N(returnSpread) }

// Era counts how often the store has come back from a copy of itself, in which its newest writes
// are missing. Versions of different eras have no order. It is 0 if the store does not state it.
type Era int64

// FirstEra is the era of a store that has never come back from a copy.
const FirstEra Era = 1

// Revision identifies a state of the store. Versions order the states of one era.
type Revision struct {
	Era     Era
	Version int64
}

// Before reports whether a revision is older than another one.
func (r Revision) Before(other Revision) bool {
	if r.Era != other.Era {
		return r.Era < other.Era
	}
	return r.Version < other.Version
}

// EraTracker holds the newest era of the store that any response has shown, also a refusal or
// a response to a write.
type EraTracker struct {
	mu      sync.Mutex // guards the fields below
	newest  Era
	changed chan struct{} // closed when newest rises
	// contradictions is the number of consecutive responses of an earlier era.
	contradictions int
}

// NewEraTracker returns a tracker that has seen no era yet.
func NewEraTracker() *EraTracker { return &EraTracker{changed: make(chan struct{})} }

// Observe records the era of a response.
func (t *EraTracker) Observe(era Era) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era >= t.newest {
		t.contradictions = 0
	}
	if era <= t.newest {
		return
	}
	t.newest = era
	close(t.changed)
	t.changed = make(chan struct{})
}

// Newest returns the newest era, and a channel that is closed when a later one is seen.
func (t *EraTracker) Newest() (era Era, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest, t.changed
}

// Contradict records a response of an earlier era to a call that began after the newest one had been
// seen. The newest era was wrong if several such responses follow each other: it is given up for
// the one that they state, and Contradict returns true.
func (t *EraTracker) Contradict(newest, stated Era) (givenUp bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if newest != t.newest {
		return false
	}
	if t.contradictions++; t.contradictions < contradictionLimit {
		return false
	}
	t.newest, t.contradictions = stated, 0
	return true
}

// UntilLater returns a copy of ctx that also ends when an era later than the held one has been
// seen, after ReturnDelay.
func (t *EraTracker) UntilLater(ctx context.Context, held Era) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			newest, changed := t.Newest()
			if newest > held {
				sleep(ctx, ReturnDelay())
				cancel()
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}
