package roster

import (
	"slices"
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

// Settled reports whether a majority of the roster holds it. Without that a
// change could follow one that is not yet known, and majorities two changes
// apart need not share an instance.
func Settled(in Input) bool {
	var holders []contract.InstanceID
	if in.Current {
		holders = append(holders, in.Self)
	}
	for _, p := range in.Others {
		if in.inContact(p) && p.Sequence >= in.Roster.Sequence {
			holders = append(holders, p.ID)
		}
	}
	return in.Roster.Majority(holders)
}

// Propose returns the instances that the next roster should have, if a change is
// due and this instance may write it.
func Propose(in Input) (target []contract.InstanceID, due bool) {
	if in.Roster.Sequence == 0 || !in.Reads || !in.Current || in.Leaving || !Settled(in) {
		return nil, false
	}
	if len(in.Roster.Previous) > 0 {
		return in.Roster.Instances, true
	}
	retained := in.retained()
	joining := in.joining()
	target = append(retained, joining[:min(len(joining), in.maxJoining(retained))]...)
	slices.Sort(target)
	return target, difference(in.Roster.Instances, target) > 0
}

// Rank returns how many staying instances in contact come before this one. Only
// the first of them should write; the others wait for it.
func Rank(in Input) int {
	rank := 0
	for _, p := range in.Others {
		if p.ID < in.Self && in.staysInContact(p) {
			rank++
		}
	}
	return rank
}

func (in Input) inContact(p Peer) bool {
	return !p.Heard.IsZero() && in.Now.Sub(p.Heard) <= in.Window
}

func (in Input) staysInContact(p Peer) bool { return !p.Leaving && in.inContact(p) }

// joining returns the instances to add, in order: a contact proves that one has
// a certificate and is current; an entry in the list alone proves nothing.
func (in Input) joining() []contract.InstanceID {
	var joining []contract.InstanceID
	if !in.Roster.Contains(in.Self) {
		joining = append(joining, in.Self)
	}
	for _, p := range in.Others {
		if p.Listed && in.staysInContact(p) && !in.Roster.Contains(p.ID) {
			joining = append(joining, p.ID)
		}
	}
	slices.Sort(joining)
	return joining
}

// maxJoining returns how many instances may join at once. Those that are in contact
// without them must remain a majority, so that new instances which crash at once
// can be removed again; only one may always join.
func (in Input) maxJoining(retained []contract.InstanceID) int {
	return max(1, 2*countCommon(retained, in.reachable())-1-len(retained))
}

// retained returns the members without those that drain, have departed, or were
// silent and not listed for the hold. None is removed if the others in contact
// would be no majority without them, so the roster cannot become empty.
func (in Input) retained() []contract.InstanceID {
	removed := map[contract.InstanceID]bool{}
	for _, p := range in.Others {
		removed[p.ID] = p.Leaving
	}
	var retained []contract.InstanceID
	for _, id := range in.Roster.Instances {
		lastSeen, found := in.Seen[id]
		expired := found && in.Now.Sub(lastSeen) > in.Hold
		if id == in.Self || !removed[id] && !expired {
			retained = append(retained, id)
		}
	}
	if !majority(retained, in.reachable()) {
		return slices.Clone(in.Roster.Instances)
	}
	return retained
}

// reachable returns this instance and those in contact.
func (in Input) reachable() []contract.InstanceID {
	reachable := []contract.InstanceID{in.Self}
	for _, p := range in.Others {
		if in.inContact(p) {
			reachable = append(reachable, p.ID)
		}
	}
	return reachable
}
