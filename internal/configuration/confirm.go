package configuration

import (
	"fmt"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/roster"
)

// DefaultConfirmWindow is the maximum age of a head read or a contact. With a
// poll interval of 1 s, a version is missed for less than the bound of 3 s.
const DefaultConfirmWindow = 2 * time.Second

// PeerContact is another instance and the last contact with it.
type PeerContact struct {
	ID contract.InstanceID
	// LastContact is the time of the last completed contact, direct or relayed; zero if
	// there was none. It is recorded only if the sender was current
	// (Confirmation.Current), if this instance was not behind after
	// Follower.ObservePeerVersion of the same message, and if its roster was at least as new
	// as the sender's. A sender that is not current proves nothing: it may have
	// lost an acknowledged version in a restart, or it lacks a version that was
	// reported to it. For the same reason an instance that is not current relays
	// no contacts.
	LastContact time.Time
}

// ConfirmInput is the input of the confirmation rule.
type ConfirmInput struct {
	Now  time.Time
	Self contract.InstanceID
	// Started is the start time of this instance.
	Started time.Time
	// Initialized is true if, since its start, this instance has read the head and
	// the roster from the store or was in contact with a majority of the roster.
	Initialized bool
	// HeadRead is the start of the last successful head read whose version this
	// instance holds; see Follower.Status.
	HeadRead    time.Time
	HeldVersion Version // version held
	// BehindSince is when this instance received the first report of a version
	// newer than the one it holds; zero if it holds the newest reported version.
	BehindSince time.Time
	// Roster is the set of voting members. Without one there is no majority.
	Roster         roster.State
	OtherInstances []PeerContact // without duplicates and without this instance
	Window         time.Duration // default 2 s
}

// Confirmation is the result of the confirmation rule.
type Confirmation struct {
	Confirmed        bool   // may admit new work
	MayAcceptPatches bool   // may accept patches under the roster with this Sequence
	HeadConfirmed    bool   // has read the head within the window and holds its version
	Initialized      bool   // Initialized of the input, or reached now
	Current          bool   // initialized and not behind: others may count contacts with this instance
	RosterSize       int    // instances in the roster, and in the previous one during a change by more than one instance
	Contacted        int    // of these in contact within the window; this one counts if initialized
	Sequence         int64  // of the roster
	Reason           string // why it is not confirmed or may not accept patches; "" if it may
}

// Confirm applies the confirmation rule of the design page: an instance admits
// new work only while it cannot have missed an accepted version for longer than
// the window.
func Confirm(in ConfirmInput) Confirmation {
	setDefault(&in.Window, DefaultConfirmWindow)
	c := Confirmation{HeadConfirmed: in.inWindow(in.HeadRead), RosterSize: in.Roster.Roster.Size(), Sequence: in.Roster.Roster.Sequence}
	c.Initialized = in.Initialized || (c.HeadConfirmed && in.Roster.ReadFromStore)
	contacted := in.contactedMembers(c.Initialized)
	c.Contacted = len(contacted)
	majority := in.Roster.Roster.Majority(contacted) && in.holdsRosterVersion()
	c.Initialized = c.Initialized || (majority && in.BehindSince.IsZero() && in.restartWindowPassed())
	c.Current = c.Initialized && in.BehindSince.IsZero() && in.holdsRosterVersion()
	c.Confirmed = c.HeadConfirmed || (c.Initialized && majority)
	c.MayAcceptPatches = c.HeadConfirmed && majority
	c.Reason = c.reason(majority)
	return c
}

func (in ConfirmInput) inWindow(t time.Time) bool {
	return !t.IsZero() && in.Now.Sub(t) <= in.Window
}

// holdsRosterVersion reports whether this instance holds the version in its
// roster. A majority of the roster need not share an instance with the majority
// of a much earlier roster that holds that version.
func (in ConfirmInput) holdsRosterVersion() bool {
	return int64(in.HeldVersion) >= in.Roster.Roster.ConfigurationVersion
}

// restartWindowPassed reports whether all contacts within the window took place
// at least one window after the start. Earlier, others may still count contacts
// with this instance before a restart, and the instances in contact may not yet
// hold a roster that this one acknowledged and lost in the restart.
func (in ConfirmInput) restartWindowPassed() bool { return in.Now.Sub(in.Started) >= 2*in.Window }

// contactCounts reports whether a contact counts towards a majority. Contacts
// since BehindSince do not: the peers may hold the missed version, and counting
// them would keep this instance confirmed under the old one.
func (in ConfirmInput) contactCounts(other PeerContact) bool {
	return in.inWindow(other.LastContact) && (in.BehindSince.IsZero() || other.LastContact.Before(in.BehindSince))
}

// contactedMembers returns the instances of the roster in contact. An instance
// that is not initialized does not count itself: a restart loses its state, so
// more than half of the roster must be other instances.
func (in ConfirmInput) contactedMembers(initialized bool) []contract.InstanceID {
	var contacted []contract.InstanceID
	if initialized && in.Roster.Roster.Contains(in.Self) {
		contacted = append(contacted, in.Self)
	}
	for _, other := range in.OtherInstances {
		if in.contactCounts(other) && in.Roster.Roster.Contains(other.ID) {
			contacted = append(contacted, other.ID)
		}
	}
	return contacted
}

func (c Confirmation) reason(majority bool) string {
	contacted := fmt.Sprintf("heard from %d of %d instances of the roster", c.Contacted, c.RosterSize)
	switch {
	case c.MayAcceptPatches:
		return ""
	case c.HeadConfirmed:
		return "no majority: " + contacted
	case c.Confirmed:
		return "the store was not read"
	case !majority:
		return "the store was not read and there is no majority: " + contacted
	default:
		return "no configuration version is known since the start"
	}
}
