package discovery

import "sync"

// Era counts how often the store has come back from a copy of itself, in which its newest writes
// are missing. Versions of different eras have no order. It is 0 if the store does not state it.
type Era int64

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
}

// NewEraTracker returns a tracker that has seen no era yet.
func NewEraTracker() *EraTracker { return &EraTracker{changed: make(chan struct{})} }

// Observe records the era of a response.
func (t *EraTracker) Observe(era Era) {
	t.mu.Lock()
	defer t.mu.Unlock()
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
