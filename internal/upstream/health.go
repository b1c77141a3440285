package upstream

import (
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/platform"
)

const (
	// ownContactLifetime is how long an instance trusts its own last contact more
	// than those of its peers. Upstreams found down are polled more often than
	// this.
	ownContactLifetime = 5 * time.Second
	// peerDownGrace is how much newer a peer's failed contact must be than the
	// newest successful contact of any instance and the start of the peer's
	// failures. It prevents a single watcher that is cut off from an upstream
	// from marking it down at all instances: within this time the first failure
	// reaches the other watchers and their next success reaches this instance.
	// Two polls without a response take 2.0 s, three 2.75 s.
	peerDownGrace = 2300 * time.Millisecond
	// failuresUntilDown is the number of consecutive polls without a response
	// that mark an upstream down.
	failuresUntilDown = 2
	// unattributedLeavingLifetime bounds a leaving mark of an unknown incarnation
	// while the upstream itself reports that it is not leaving. It must exceed
	// the lag of load reports.
	unattributedLeavingLifetime = time.Minute
	// formerProcessGrace is how long late updates of peers about a former process
	// are ignored. It must exceed the clock skew between instances.
	formerProcessGrace = 10 * time.Second
	// pastIncarnations is the number of former incarnations that are kept to
	// recognise late updates about them.
	pastIncarnations = 4
)

// State is the state of an upstream as seen by one instance.
type State string

// The states.
const (
	StateLive    State = "live"
	StateDown    State = "down"
	StateLeaving State = "leaving"
)

// Contact is the result of the last attempt of this instance to reach an upstream.
type Contact struct {
	Up bool
	At time.Time
}

// LeavingMark records that an upstream was reported to be leaving.
type LeavingMark struct {
	Set         bool
	Incarnation Incarnation // "" if unknown
	At          time.Time
}

// Health is the observed health of one upstream. It is a value: each transition
// returns a new one. The zero value is a live upstream without any observation.
type Health struct {
	Incarnation Incarnation
	FirstSeen   time.Time // when the incarnation was first seen
	RestartedAt time.Time // when it replaced another incarnation; zero if it did not
	Leaving     LeavingMark
	OwnContact  Contact
	SuspectedAt time.Time // when a connection was last lost or silent without an explanation

	former            [pastIncarnations]Incarnation
	failedPolls       int       // consecutive polls without a response
	listedAt          time.Time // newest time of a list entry
	listedLeavingAt   time.Time // time of the list entry with state leaving; zero if none
	peersUpAt         time.Time // newest successful contact of a peer
	peersDownAt       time.Time // newest failed contact of a peer
	peersFailingSince time.Time // when that peer's failures started; zero if unknown
	failingSince      time.Time // when the own failures started; zero if the last contact succeeded
	crashedAt         time.Time // when the present incarnation crashed
}

// State returns the state at a time.
func (h Health) State(now time.Time) State {
	switch {
	case h.leaving():
		return StateLeaving
	case h.down(now):
		return StateDown
	default:
		return StateLive
	}
}

// Suspected reports whether the upstream is suspected: a connection failed and no
// contact has succeeded since.
func (h Health) Suspected() bool { return h.SuspectedAt.After(h.lastSuccess()) }

func (h Health) leaving() bool {
	return h.Leaving.Set || h.listedLeavingAt.After(h.RestartedAt)
}

func (h Health) down(now time.Time) bool {
	if !h.OwnContact.Up && !h.OwnContact.At.IsZero() && now.Sub(h.OwnContact.At) < ownContactLifetime {
		return true
	}
	if h.crashedAt.After(h.lastSuccess()) {
		return true
	}
	return h.provesDown(h.peersFailingSince, h.peersDownAt)
}

// provesDown reports whether failed contacts from since to last prove the
// upstream down to instances without a contact of their own.
func (h Health) provesDown(since, last time.Time) bool {
	if up := h.lastSuccess(); up.After(since) {
		since = up
	}
	return last.After(since.Add(peerDownGrace))
}

// lastSuccess returns the time of the newest successful contact of any instance.
func (h Health) lastSuccess() time.Time {
	if h.OwnContact.Up && h.OwnContact.At.After(h.peersUpAt) {
		return h.OwnContact.At
	}
	return h.peersUpAt
}

// ObserveResponse is the transition for a response to this instance. at is when
// the request was sent, so that a response to a request sent before a failure
// does not override the failure.
func (h Health) ObserveResponse(at time.Time, incarnation Incarnation, leaving bool) Health {
	h, stale := h.withIncarnation(at, incarnation, 0)
	if stale || at.Before(h.OwnContact.At) {
		return h
	}
	h.OwnContact = Contact{Up: true, At: at}
	h.failedPolls = 0
	h.failingSince = time.Time{}
	return h.withLeavingReport(at, leaving)
}

// ObserveUnreachable is the transition for a connection that could not be made.
func (h Health) ObserveUnreachable(at time.Time) Health {
	if at.Before(h.OwnContact.At) {
		return h
	}
	h = h.withFailure(at)
	h.OwnContact = Contact{At: at}
	return h
}

// withFailure sets the start of the failures. They count from the last success if
// that is recent: an upstream that is polled regularly stopped responding after
// it.
func (h Health) withFailure(at time.Time) Health {
	if !h.failingSince.IsZero() {
		return h
	}
	h.failingSince = at
	if h.OwnContact.Up && at.Sub(h.OwnContact.At) < ownContactLifetime {
		h.failingSince = h.OwnContact.At
	}
	return h
}

// ObservePollTimeout is the transition for a poll without a response over an open
// connection. A single one suffices if the upstream is suspected.
func (h Health) ObservePollTimeout(at time.Time) Health {
	h.failedPolls++
	h = h.withFailure(at)
	if h.failedPolls < failuresUntilDown && !h.Suspected() {
		return h
	}
	return h.ObserveUnreachable(at)
}

// Suspect is the transition for a connection that was lost or went silent: the
// upstream is suspected.
func (h Health) Suspect(at time.Time) Health {
	if at.After(h.SuspectedAt) {
		h.SuspectedAt = at
	}
	return h
}

// ObserveLeaving is the transition for a leaving mark that the upstream itself
// reported to this instance or a peer.
func (h Health) ObserveLeaving(at time.Time, incarnation Incarnation) Health {
	h, stale := h.withIncarnation(at, incarnation, formerProcessGrace)
	if stale || incarnation == "" && at.Before(h.FirstSeen) {
		return h
	}
	return h.withLeavingMark(at)
}

// ObserveListed is the transition for an entry of the platform's list, which lags: it
// cannot end a mark that the upstream itself reported, and an entry from before a
// restart does not apply to the new incarnation.
func (h Health) ObserveListed(state platform.EntryState, updatedAt time.Time) Health {
	if updatedAt.Before(h.listedAt) {
		return h
	}
	h.listedAt = updatedAt
	h.listedLeavingAt = time.Time{}
	if state == platform.StateLeaving {
		h.listedLeavingAt = updatedAt
	}
	return h
}

// ObservePeerResponse is the transition for a response to a peer.
func (h Health) ObservePeerResponse(at time.Time, incarnation Incarnation, leaving bool) Health {
	h, stale := h.withIncarnation(at, incarnation, formerProcessGrace)
	if stale {
		return h
	}
	if at.After(h.peersUpAt) {
		h.peersUpAt = at
	}
	return h.withLeavingReport(at, leaving)
}

// ObservePeerFailure is the transition for a failed contact of a peer whose contacts have
// failed since a time (zero if unknown). Of several peers with the same newest
// failure, the longest series counts.
func (h Health) ObservePeerFailure(since, at time.Time) Health {
	if !at.After(h.RestartedAt) || at.Before(h.peersDownAt) {
		return h
	}
	if at.After(h.peersDownAt) || since.Before(h.peersFailingSince) {
		h.peersDownAt, h.peersFailingSince = at, since
	}
	return h
}

// ObserveCrash is the transition for the confirmed crash of an incarnation. Of several
// reported times, the earliest applies.
func (h Health) ObserveCrash(at time.Time, incarnation Incarnation) Health {
	if h.Incarnation == "" {
		h.Incarnation, h.FirstSeen = incarnation, at
	}
	if incarnation == h.Incarnation && (h.crashedAt.IsZero() || at.Before(h.crashedAt)) {
		h.crashedAt = at
	}
	return h
}

// withLeavingReport applies the leaving flag of a response. A response without
// the flag does not end a mark: load reports lag.
func (h Health) withLeavingReport(at time.Time, leaving bool) Health {
	if leaving {
		return h.withLeavingMark(at)
	}
	unattributed := h.Leaving.Set && h.Leaving.Incarnation == ""
	if unattributed && at.Sub(h.Leaving.At) > unattributedLeavingLifetime {
		h.Leaving = LeavingMark{}
	}
	return h
}

func (h Health) withLeavingMark(at time.Time) Health {
	if h.Leaving.Set && h.Leaving.Incarnation == h.Incarnation {
		return h
	}
	h.Leaving = LeavingMark{Set: true, Incarnation: h.Incarnation, At: at}
	return h
}

// withIncarnation applies an incarnation. stale reports that the update is about
// a former one. A new incarnation ends the states leaving, down and suspected. An
// update about a former incarnation that is newer than the present one by more
// than grace shows that the order was wrong, as the clocks of instances differ;
// otherwise the upstream would stay unavailable.
func (h Health) withIncarnation(at time.Time, incarnation Incarnation, grace time.Duration) (updated Health, stale bool) {
	switch {
	case incarnation == "" || incarnation == h.Incarnation:
		return h, false
	case h.Incarnation == "":
		h.Incarnation, h.FirstSeen = incarnation, at
		return h, false
	case at.Before(h.FirstSeen):
		return h, true
	case slices.Contains(h.former[:], incarnation) && at.Sub(h.FirstSeen) <= grace:
		return h, true
	}
	copy(h.former[1:], h.former[:])
	h.former[0] = h.Incarnation
	h.Incarnation, h.FirstSeen, h.RestartedAt = incarnation, at, at
	h.Leaving = LeavingMark{}
	h.SuspectedAt, h.crashedAt = time.Time{}, time.Time{}
	h.peersDownAt, h.peersFailingSince, h.failingSince = time.Time{}, time.Time{}, time.Time{}
	if !h.OwnContact.Up {
		h.OwnContact = Contact{}
	}
	h.failedPolls = 0
	return h, false
}
