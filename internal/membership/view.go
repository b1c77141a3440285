package membership

import (
	"cmp"
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// MemberView is the state of another instance as this instance sees it.
type MemberView struct {
	Member
	State State
	// LastContact is the time of the last contact at which it was current, direct or
	// relayed; zero if there was none.
	LastContact time.Time
	// LastRoundTrip is the time of the last round trip from this instance to it; zero if
	// there was none.
	LastRoundTrip time.Time
	// KnownUntil is when it is forgotten unless it is contacted or listed again;
	// zero if it has departed.
	KnownUntil     time.Time
	Peer           bool  // this instance sends heartbeats to it
	HeadVersion    int64 // newest configuration version it has verified, from its last direct response
	HeldVersion    int64 // configuration version in force there, direct or relayed
	RosterSequence int64 // of the roster that it held at LastContact
	Listed         bool  // it is in the platform's instance list or in the settings
}

// View is an immutable snapshot of the membership.
type View struct {
	self          Member
	contactWindow time.Duration
	members       []MemberView // by identifier
}

// Self returns this instance.
func (v *View) Self() Member { return v.self }

// Members returns the other known instances by identifier. The slice must not
// be changed.
func (v *View) Members() []MemberView { return v.members }

// Member returns the state of another instance, and false if it has no record.
func (v *View) Member(id contract.InstanceID) (MemberView, bool) {
	i, found := slices.BinarySearchFunc(v.members, id, func(m MemberView, id contract.InstanceID) int {
		return cmp.Compare(m.ID, id)
	})
	if !found {
		return MemberView{}, false
	}
	return v.members[i], true
}

// Peers returns the identifiers of the instances to which this one sends
// heartbeats.
func (v *View) Peers() []contract.InstanceID {
	var peers []contract.InstanceID
	for i := range v.members {
		if v.members[i].Peer {
			peers = append(peers, v.members[i].ID)
		}
	}
	return peers
}

// ContactAge returns the time since the last contact with an instance, direct or
// relayed, and false if there was none.
func (v *View) ContactAge(id contract.InstanceID, now time.Time) (time.Duration, bool) {
	m, found := v.Member(id)
	if !found || m.LastContact.IsZero() {
		return 0, false
	}
	return now.Sub(m.LastContact), true
}

// KnownCount returns the number of known instances, this one included.
func (v *View) KnownCount(now time.Time) int {
	count := 1
	for i := range v.members {
		if now.Before(v.members[i].KnownUntil) {
			count++
		}
	}
	return count
}

// ContactedCount returns the number of known instances with a contact within the contact
// window, this one included.
func (v *View) ContactedCount(now time.Time) int {
	oldest := now.Add(-v.contactWindow)
	count := 1
	for i := range v.members {
		m := &v.members[i]
		if now.Before(m.KnownUntil) && m.LastContact.After(oldest) {
			count++
		}
	}
	return count
}
