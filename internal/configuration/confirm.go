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
	// DefaultFetchWindow is how long a version may be known and not yet held. A
	// contact may bring the news of a version up to 2 s after its acceptance,
	// which leaves 1 s of the bound for the fetch.
	DefaultFetchWindow = 1 * time.Second
	// DefaultDepartureHold is how long an instance that disappeared without
	// announcing it still counts as known.
	DefaultDepartureHold = 24 * time.Hour
)

// KnownInstance is another instance as this one knows it.
type KnownInstance struct {
	ID contract.InstanceID
	// Permanent is true while the platform's list or the settings name it.
	Permanent bool
	// Leaving is true if its last known state is leaving. It admits no work and
	// counts neither as known nor as heard.
	Leaving bool
	// LastKnown is when it was last heard from or seen in the list. It matters
	// when Permanent is false.
	LastKnown time.Time
	// Heard is the time of the last completed contact, direct or through others,
	// at which it was current (Confirmation.Current); zero if there was none. An
	// instance that is not current proves nothing: since a restart it may have
	// forgotten a version that it acknowledged, or it still lacks one that it
	// has heard of. For the same reason an instance that is not current relays
	// no contacts.
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
	BehindSince   time.Time
	Others        []KnownInstance
	Window        time.Duration // default 2 s
	FetchWindow   time.Duration // default 1 s
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
	setDefault(&in.FetchWindow, DefaultFetchWindow)
	setDefault(&in.DepartureHold, DefaultDepartureHold)
	fromStore := in.within(in.HeadRead, in.Window)
	c := Confirmation{Initialized: in.Initialized || fromStore}
	c.Known, c.Heard = in.count(c.Initialized)
	majority := 2*c.Heard > c.Known
	// Versions heard of and not fetched yet are missed as much as unheard ones.
	current := in.BehindSince.IsZero() || in.within(in.BehindSince, in.FetchWindow)
	c.Initialized = c.Initialized || (majority && in.BehindSince.IsZero())
	c.Current = c.Initialized && in.BehindSince.IsZero()
	c.Confirmed = c.Initialized && (fromStore || (majority && current))
	c.MayAccept = fromStore && majority
	c.Reason = c.reason(fromStore, majority, current)
	return c
}

func (in ConfirmInput) within(t time.Time, window time.Duration) bool {
	return !t.IsZero() && in.Now.Sub(t) <= window
}

// count returns the known instances and those heard from. An instance that is
// not initialized does not count itself as heard: after a restart it knows
// nothing, so more than half of the known instances must be others.
func (in ConfirmInput) count(initialized bool) (known, heard int) {
	known = 1
	if initialized {
		heard = 1
	}
	for _, other := range in.Others {
		if other.Leaving || !(other.Permanent || in.Now.Sub(other.LastKnown) <= in.DepartureHold) {
			continue
		}
		known++
		if in.within(other.Heard, in.Window) {
			heard++
		}
	}
	return known, heard
}

func (c Confirmation) reason(fromStore, majority, current bool) string {
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
	case !current:
		return "a newer configuration version is known and was not fetched"
	default:
		return "no configuration version is known since the start"
	}
}
