package configuration

import (
	"fmt"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Defaults of the confirmation rule.
const (
	// DefaultConfirmWindow is how old a head read or a contact may be. With 1 s
	// for the poll it keeps a missed version below the bound of 3 s.
	DefaultConfirmWindow = 2 * time.Second
	// DefaultDepartureHold is how long an instance that disappeared without
	// announcing it still counts as known.
	DefaultDepartureHold = 24 * time.Hour
)

// KnownInstance is another instance as this one knows it.
type KnownInstance struct {
	ID contract.InstanceID
	// Permanent is true while the platform's list or the settings name it.
	Permanent bool
	// Leaving is true if its last known state is leaving. It counts neither as
	// known nor as heard, not even for itself (ConfirmInput.Draining).
	Leaving bool
	// LastKnown is when it was last heard from or seen in the list. It matters
	// when Permanent is false.
	LastKnown time.Time
	// Heard is the time of the last completed contact, direct or through others;
	// zero if there was none. It is only noted if the sender was current
	// (Confirmation.Current) and if this instance was not behind after
	// Follower.Announce of the same message. A sender that is not current proves
	// nothing: since a restart it may have forgotten a version that it
	// acknowledged, or it still lacks one that it has heard of. For the same
	// reason an instance that is not current relays no contacts.
	Heard time.Time
}

// ConfirmInput is what the confirmation rule looks at.
type ConfirmInput struct {
	Now time.Time
	// Initialized is true if this instance has known a version from the store
	// or from more than half of the known instances since its start.
	Initialized bool
	// HeadRead is the start of the last successful read of the head whose
	// version this instance holds; see Follower.Standing.
	HeadRead time.Time
	// BehindSince is when this instance learned of a version newer than the one
	// it holds; zero if it holds the newest version that it knows of.
	BehindSince time.Time
	// Draining is true while this instance stops. It still admits work, but the
	// others no longer count it: without this, instances that all drain at once
	// would each be a majority of one.
	Draining bool
	// Uninformed is true while this instance may not know of all others, as
	// after a start without the platform's list. There is no majority then.
	Uninformed    bool
	Others        []KnownInstance
	Window        time.Duration // default 2 s
	DepartureHold time.Duration // default 24 h
}

// Confirmation is the result of the confirmation rule.
type Confirmation struct {
	Confirmed   bool   // may admit new work
	MayAccept   bool   // may accept patches
	Initialized bool   // Initialized of the input, or reached now
	Current     bool   // initialized and not behind: contacts of others with this instance count
	Known       int    // known instances, this one included
	Heard       int    // of these heard from within the window, this one included if initialized
	Reason      string // why not confirmed, or why it may not accept; "" if it may
}

// Confirm applies the confirmation rule of the design page: an instance admits
// new work only while it can have missed no accepted version for longer than
// the window.
func Confirm(in ConfirmInput) Confirmation {
	setDefault(&in.Window, DefaultConfirmWindow)
	setDefault(&in.DepartureHold, DefaultDepartureHold)
	fromStore := in.within(in.HeadRead)
	c := Confirmation{Initialized: in.Initialized || fromStore}
	c.Known, c.Heard = in.count(c.Initialized)
	majority := 2*c.Heard > c.Known && !in.Uninformed
	c.Initialized = c.Initialized || (majority && in.BehindSince.IsZero())
	c.Current = c.Initialized && in.BehindSince.IsZero()
	c.Confirmed = c.Initialized && (fromStore || majority)
	c.MayAccept = fromStore && majority
	c.Reason = c.reason(fromStore, majority)
	return c
}

func (in ConfirmInput) within(t time.Time) bool {
	return !t.IsZero() && in.Now.Sub(t) <= in.Window
}

// heard reports whether a contact counts. Contacts since a missed version
// became known do not: the peers may hold that version, and counting them would
// keep this instance confirmed under the old one.
func (in ConfirmInput) heard(other KnownInstance) bool {
	return in.within(other.Heard) && (in.BehindSince.IsZero() || other.Heard.Before(in.BehindSince))
}

// count returns the known instances and those heard from. An instance that is
// not initialized does not count itself as heard: after a restart it knows
// nothing, so more than half of the known instances must be others.
func (in ConfirmInput) count(initialized bool) (known, heard int) {
	if !in.Draining {
		known = 1
	}
	if initialized && !in.Draining {
		heard = 1
	}
	for _, other := range in.Others {
		if other.Leaving || !(other.Permanent || in.Now.Sub(other.LastKnown) <= in.DepartureHold) {
			continue
		}
		known++
		if in.heard(other) {
			heard++
		}
	}
	return known, heard
}

func (c Confirmation) reason(fromStore, majority bool) string {
	heard := fmt.Sprintf("heard from %d of %d known instances", c.Heard, c.Known)
	switch {
	case c.MayAccept:
		return ""
	case c.Confirmed && fromStore:
		return "no majority: " + heard
	case c.Confirmed:
		return "the store was not read"
	case !majority:
		return "the store was not read and there is no majority: " + heard
	default:
		return "no configuration version is known since the start"
	}
}
