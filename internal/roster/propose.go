package roster

import (
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Peer is the state of another instance as observed by this one.
type Peer struct {
	ID contract.InstanceID
	// LastContact is the last contact at which the peer was current, direct or relayed;
	// zero if there was none. Sequence is that of the roster that the peer held at
	// that contact.
	LastContact time.Time
	Sequence    int64
	Listed      bool // in the platform's list or in the settings
	Leaving     bool // draining or departed
}

// Observation is the state of an instance and of its peers as observed by it.
type Observation struct {
	HeadConfirmed  bool // has read the configuration's head within the window and holds that version
	Current        bool // initialized since its start, and holds the newest reported version
	Leaving        bool // draining
	OtherInstances []Peer
}

// Input is the input of the decision about a change.
type Input struct {
	Observation
	Now    time.Time
	Self   contract.InstanceID
	Roster Roster
	// LastSeen is when each member was last listed or in contact. Members without an
	// entry are not removed for silence.
	LastSeen      map[contract.InstanceID]time.Time
	ContactWindow time.Duration // maximum age of a contact that counts
	RemovalDelay  time.Duration // silence after which an unlisted member is removed
}

// HeldByMajority reports whether a majority of the roster holds it. Otherwise a change
// could follow one that no majority holds yet, and majorities two changes apart
// need not share an instance.
func HeldByMajority(in Input) bool {
	var holders []contract.InstanceID
	if in.Current {
		holders = append(holders, in.Self)
	}
	for _, p := range in.OtherInstances {
		if in.inContact(p) && p.Sequence >= in.Roster.Sequence {
			holders = append(holders, p.ID)
		}
	}
	return in.Roster.Majority(holders)
}

// Propose returns the instances of the next roster, if a change is due and this
// instance may write it.
func Propose(in Input) (target []contract.InstanceID, due bool) {
	if in.Roster.Sequence == 0 || !in.HeadConfirmed || !in.Current || in.Leaving || !HeldByMajority(in) {
		return nil, false
	}
	if len(in.Roster.Previous) > 0 {
		return in.Roster.Instances, true
	}
	retained := in.retained()
	joining := in.instancesToAdd()
	target = append(retained, joining[:min(len(joining), in.maxJoining(retained))]...)
	slices.Sort(target)
	return target, difference(in.Roster.Instances, target) > 0
}

// WriterRank returns how many instances that are in contact and not leaving have a
// lower ID than this one. Only the first should write; the others wait for it.
func WriterRank(in Input) int {
	rank := 0
	for _, p := range in.OtherInstances {
		if p.ID < in.Self && in.staysInContact(p) {
			rank++
		}
	}
	return rank
}

func (in Input) inContact(p Peer) bool {
	return !p.LastContact.IsZero() && in.Now.Sub(p.LastContact) <= in.ContactWindow
}

func (in Input) staysInContact(p Peer) bool { return !p.Leaving && in.inContact(p) }

// instancesToAdd returns the new instances, in order. A contact proves that an
// instance has a certificate and is current; a list entry alone proves nothing.
func (in Input) instancesToAdd() []contract.InstanceID {
	var joining []contract.InstanceID
	if !in.Roster.Contains(in.Self) {
		joining = append(joining, in.Self)
	}
	for _, p := range in.OtherInstances {
		if p.Listed && in.staysInContact(p) && !in.Roster.Contains(p.ID) {
			joining = append(joining, p.ID)
		}
	}
	slices.Sort(joining)
	return joining
}

// maxJoining returns how many instances may join in one change. The retained
// members in contact must be a majority even if all new instances crash at once,
// so that these can be removed again. One instance may always join.
func (in Input) maxJoining(retained []contract.InstanceID) int {
	return max(1, 2*countCommon(retained, in.reachable())-1-len(retained))
}

// retained returns the members except those that are draining, have departed, or
// were silent and unlisted for the removal delay. None is removed if the instances
// in contact would not be a majority of the retained ones, so the roster cannot
// become empty.
func (in Input) retained() []contract.InstanceID {
	removed := map[contract.InstanceID]bool{}
	for _, p := range in.OtherInstances {
		removed[p.ID] = p.Leaving
	}
	var retained []contract.InstanceID
	for _, id := range in.Roster.Instances {
		lastSeen, found := in.LastSeen[id]
		expired := found && in.Now.Sub(lastSeen) > in.RemovalDelay
		if id == in.Self || !removed[id] && !expired {
			retained = append(retained, id)
		}
	}
	if !majority(retained, in.reachable()) {
		return slices.Clone(in.Roster.Instances)
	}
	return retained
}

// reachable returns this instance and the instances in contact.
func (in Input) reachable() []contract.InstanceID {
	reachable := []contract.InstanceID{in.Self}
	for _, p := range in.OtherInstances {
		if in.inContact(p) {
			reachable = append(reachable, p.ID)
		}
	}
	return reachable
}
