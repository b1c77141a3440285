package configuration

import (
	"sync"
	"sync/atomic"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Holder holds the configuration in force at this instance. Versions only
// increase. Readers take no lock.
type Holder struct {
	held atomic.Pointer[heldVersion]

	mu          sync.Mutex // guards subscribers and nextID, and orders Advance
	subscribers map[int]func(*Snapshot)
	nextID      int
}

// heldVersion is one version in both forms; both change together.
type heldVersion struct {
	inForce  *Snapshot // with defaults applied
	accepted *Snapshot // as accepted
}

// NewHolder returns a Holder of the empty configuration, version 0.
func NewHolder() *Holder {
	h := &Holder{subscribers: map[int]func(*Snapshot){}}
	h.held.Store(newHeldVersion(&Snapshot{Document: Document{}.normalized()}))
	return h
}

func newHeldVersion(accepted *Snapshot) *heldVersion {
	inForce := *accepted
	inForce.Document = WithDefaults(accepted.Document)
	return &heldVersion{inForce: &inForce, accepted: accepted}
}

// Current returns the snapshot in force, with defaults applied.
func (h *Holder) Current() *Snapshot { return h.held.Load().inForce }

// Accepted returns the same version as it was accepted, without defaults. It
// is the form that is stored, sent to peers and patched.
func (h *Holder) Accepted() *Snapshot { return h.held.Load().accepted }

// Advance puts a snapshot in force and notifies the subscribers. It returns
// false, and changes nothing, if the snapshot is not newer than the held one.
func (h *Holder) Advance(accepted *Snapshot) bool {
	if accepted.Version <= h.Current().Version {
		return false
	}
	next := newHeldVersion(accepted)
	h.mu.Lock()
	defer h.mu.Unlock()
	if accepted.Version <= h.Current().Version {
		return false
	}
	before := h.held.Swap(next)
	contract.Invariant(next.inForce.Version > before.inForce.Version, "configuration version moved down",
		"before", before.inForce.Version, "after", next.inForce.Version)
	for _, notify := range h.subscribers {
		notify(next.inForce)
	}
	return true
}

// Subscribe calls notify with each new snapshot, in increasing order of
// versions, until cancel is called. notify must return quickly and must not
// call Advance, Subscribe or cancel.
func (h *Holder) Subscribe(notify func(*Snapshot)) (cancel func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := h.nextID
	h.nextID++
	h.subscribers[id] = notify
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.subscribers, id)
	}
}
