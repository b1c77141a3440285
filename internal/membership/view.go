package membership

import (
	"cmp"
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// MemberView is what is known of another instance.
type MemberView struct {
	Member
	State State
	// Contact is the time of the last contact at which it was current, direct or
	// through others; zero if there was none.
	Contact time.Time
	// Direct is the time of this instance's own last round trip to it; zero if there was none.
	Direct time.Time
	// KnownUntil is when it is forgotten without further news; zero if it has departed.
	KnownUntil time.Time
	Peer       bool  // this instance sends heartbeats to it
	Head       int64 // newest configuration version it has verified, as it last told directly
	Held       int64 // configuration version in force there, direct or through others
	Sequence   int64 // of the roster that it held at Contact
	Listed     bool  // the platform's list or the settings name it
}

// View is an immutable picture of the membership.
type View struct {
	self          Member
	contactWindow time.Duration
	members       []MemberView // by identifier
}

// Self returns this instance.
func (v *View) Self() Member { return v.self }

// Members returns the other instances that are known, by identifier. The slice
// must not be changed.
func (v *View) Members() []MemberView { return v.members }

// Member returns another instance.
func (v *View) Member(id contract.InstanceID) (MemberView, bool) {
	i, found := slices.BinarySearchFunc(v.members, id, func(m MemberView, id contract.InstanceID) int {
		return cmp.Compare(m.ID, id)
	})
	if !found {
		return MemberView{}, false
	}
	return v.members[i], true
}

// Peers returns the identifiers of the peers.
func (v *View) Peers() []contract.InstanceID {
	var peers []contract.InstanceID
	for i := range v.members {
		if v.members[i].Peer {
			peers = append(peers, v.members[i].ID)
		}
	}
	return peers
}

// Age returns the time since the last contact with an instance, direct or
// through others, and false if there was none.
func (v *View) Age(id contract.InstanceID, now time.Time) (time.Duration, bool) {
	m, found := v.Member(id)
	if !found || m.Contact.IsZero() {
		return 0, false
	}
	return now.Sub(m.Contact), true
}

// Known returns the number of known instances, this one included.
func (v *View) Known(now time.Time) int {
	count := 1
	for i := range v.members {
		if now.Before(v.members[i].KnownUntil) {
			count++
		}
	}
	return count
}

// Heard returns the number of known instances with a contact within the heard
// window, this one included.
func (v *View) Heard(now time.Time) int {
	oldest := now.Add(-v.contactWindow)
	count := 1
	for i := range v.members {
		m := &v.members[i]
		if now.Before(m.KnownUntil) && m.Contact.After(oldest) {
			count++
		}
	}
	return count
}
