package roster

import (
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Peer is another instance as this one knows it.
type Peer struct {
	ID contract.InstanceID
	// Heard is the last contact at which it was current, direct or through
	// others; zero if there was none. Sequence is the roster's sequence that it
	// held at that contact.
	Heard    time.Time
	Sequence int64
	Listed   bool // the platform's list or the settings name it
	Leaving  bool // it drains or has departed
}

// Observation is what an instance knows of itself and of the others.
type Observation struct {
	Reads   bool // it has read the configuration's head within the window and holds that version
	Current bool // it has known a version since its start and lacks none that it knows of
	Leaving bool // it drains
	Others  []Peer
}

// Input is what the decision about a change looks at.
type Input struct {
	Observation
	Now    time.Time
	Self   contract.InstanceID
	Roster Roster
	// Seen is when each member was last in the list or in contact. Members
	// without an entry are not removed for their silence.
	Seen   map[contract.InstanceID]time.Time
	Window time.Duration // age up to which a contact counts
	Hold   time.Duration // silence after which an unlisted member is removed
}

// Change adds or removes one instance.
type Change struct {
	Instance contract.InstanceID
	Add      bool
}

// Settled reports whether a majority of the roster holds it. Without that a
// change could follow one that is not yet known, and majorities two changes
// apart need not share an instance.
func Settled(in Input) bool {
	holding := 0
	if in.Current && in.Roster.Contains(in.Self) {
		holding = 1
	}
	for _, p := range in.Others {
		if in.heard(p) && p.Sequence >= in.Roster.Sequence && in.Roster.Contains(p.ID) {
			holding++
		}
	}
	return in.Roster.Majority(holding)
}

// Propose returns the change that is due, if this instance may write one.
// Instances that join come first, since each makes the majority safer.
func Propose(in Input) (Change, bool) {
	if in.Roster.Sequence == 0 || !in.Reads || !in.Current || in.Leaving || !Settled(in) {
		return Change{}, false
	}
	if id, found := in.joining(); found {
		return Change{Instance: id, Add: true}, true
	}
	if id, found := in.leaving(); found {
		return Change{Instance: id}, true
	}
	if id, found := in.gone(); found {
		return Change{Instance: id}, true
	}
	return Change{}, false
}

// Rank returns how many staying instances in contact come before this one. Only
// the first of them should write; the others wait for it.
func Rank(in Input) int {
	rank := 0
	for _, p := range in.Others {
		if p.ID < in.Self && in.stays(p) {
			rank++
		}
	}
	return rank
}

func (in Input) heard(p Peer) bool {
	return !p.Heard.IsZero() && in.Now.Sub(p.Heard) <= in.Window
}

func (in Input) stays(p Peer) bool { return !p.Leaving && in.heard(p) }

// joining returns the first instance to add: a contact proves that it has a
// certificate and is current; an entry in the list alone proves nothing.
func (in Input) joining() (first contract.InstanceID, found bool) {
	if !in.Roster.Contains(in.Self) {
		first, found = in.Self, true
	}
	for _, p := range in.Others {
		if p.Listed && in.stays(p) && !in.Roster.Contains(p.ID) && (!found || p.ID < first) {
			first, found = p.ID, true
		}
	}
	return first, found
}

// leaving returns the first member that drains or has departed. This instance
// stays and is a member by now, so the roster cannot become empty.
func (in Input) leaving() (first contract.InstanceID, found bool) {
	for _, p := range in.Others {
		if p.Leaving && in.Roster.Contains(p.ID) && (!found || p.ID < first) {
			first, found = p.ID, true
		}
	}
	return first, found
}

// gone returns the first member that has been silent and not listed for the hold.
func (in Input) gone() (contract.InstanceID, bool) {
	for _, id := range in.Roster.Instances {
		if at, ok := in.Seen[id]; ok && id != in.Self && in.Now.Sub(at) > in.Hold {
			return id, true
		}
	}
	return "", false
}
