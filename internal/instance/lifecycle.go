package instance

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/membership"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/roster"
)

const (
	// confirmInterval is how often the confirmation rule is evaluated. It is much
	// shorter than the 2 s for which a head read or a contact counts.
	confirmInterval = 100 * time.Millisecond
	// maxConfirmationAge allows for scheduling delays on a busy machine.
	maxConfirmationAge = 3 * confirmInterval
	drainPollInterval  = 100 * time.Millisecond
)

// lifecycle holds the life-cycle state and the confirmation of the instance.
type lifecycle struct {
	log           logrus.FieldLogger
	self          contract.InstanceID
	started       time.Time
	follower      *configuration.Follower
	membership    *membership.Membership
	rosterManager *roster.Manager // set before the instance runs

	updateMu        sync.Mutex // held during update, so that results are stored in order
	evaluate        func(now time.Time, initialized bool) configuration.Confirmation
	confirmation    atomic.Pointer[timedConfirmation]
	state           atomic.Pointer[State]
	drainStartNanos atomic.Int64  // Unix nanoseconds; 0 while not draining
	drainStarted    chan struct{} // closed when the drain starts
	grace           grace
	afterUpdate     func() // called after each regular update; optional
}

// timedConfirmation is a result of the confirmation rule with its time.
type timedConfirmation struct {
	configuration.Confirmation
	at time.Time
}

func newLifecycle(self contract.InstanceID, log logrus.FieldLogger, follower *configuration.Follower, members *membership.Membership) *lifecycle {
	l := &lifecycle{self: self, started: time.Now(), log: log, follower: follower, membership: members, drainStarted: make(chan struct{}), grace: newGrace()}
	starting := StateStarting
	l.state.Store(&starting)
	l.confirmation.Store(&timedConfirmation{Confirmation: configuration.Confirmation{Reason: "starting"}})
	l.evaluate = l.evaluateConfirmation
	return l
}

// run evaluates the confirmation rule periodically until ctx ends.
func (l *lifecycle) run(ctx context.Context) {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		l.update(time.Now())
		if l.afterUpdate != nil {
			l.afterUpdate()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// update evaluates the confirmation rule once and stores and returns its result.
func (l *lifecycle) update(now time.Time) *timedConfirmation {
	l.updateMu.Lock()
	defer l.updateMu.Unlock()
	before := l.confirmation.Load()
	after := &timedConfirmation{Confirmation: l.evaluate(now, before.Initialized), at: now}
	l.confirmation.Store(after)
	if before.Confirmed != after.Confirmed {
		l.log.WithField("confirmed", after.Confirmed).WithField("reason", after.Reason).Warn("confirmation changed")
	}
	l.setState(lifecycleState(l.isDraining(), after.Initialized || after.Confirmed, after.Confirmed))
	return after
}

// freshConfirmation returns the confirmation, evaluated again if it is too old: a
// process that was paused must not admit work by a result from before the pause.
func (l *lifecycle) freshConfirmation() *timedConfirmation {
	current := l.confirmation.Load()
	if now := time.Now(); now.Sub(current.at) > maxConfirmationAge {
		return l.update(now)
	}
	return current
}

// evaluateConfirmation evaluates the rule from the follower, the membership and the roster.
func (l *lifecycle) evaluateConfirmation(now time.Time, initialized bool) configuration.Confirmation {
	// The roster is read last: contacts made under one roster count only for that
	// roster or a newer one.
	followerStatus := l.follower.Status()
	view := l.membership.View()
	rosterStatus := l.rosterManager.State()
	result := configuration.Confirm(configuration.ConfirmInput{
		Now:            now,
		Self:           l.self,
		Started:        l.started,
		Initialized:    initialized,
		HeadRead:       followerStatus.HeadRead,
		HeldVersion:    followerStatus.HeldVersion,
		BehindSince:    followerStatus.BehindSince,
		Roster:         rosterStatus,
		OtherInstances: knownInstances(view),
	})
	l.membership.SetConfigurationStatus(membership.ConfigurationStatus{
		Current: result.Current, HeadVersion: int64(followerStatus.VerifiedVersion), HeldVersion: int64(followerStatus.HeldVersion),
	})
	return result
}

// knownInstances converts the membership view to the input of the confirmation rule.
func knownInstances(view *membership.View) []configuration.PeerContact {
	members := view.Members()
	known := make([]configuration.PeerContact, 0, len(members))
	for _, m := range members {
		known = append(known, configuration.PeerContact{ID: m.ID, LastContact: m.LastContact})
	}
	return known
}

var membershipStates = map[State]membership.State{
	StateStarting: membership.Unready,
	StateUnready:  membership.Unready,
	StateReady:    membership.Ready,
	StateDraining: membership.Draining,
}

func (l *lifecycle) setState(state State) {
	before := *l.state.Swap(&state)
	if before == state {
		return
	}
	l.log.WithField("from", before).WithField("to", state).Info("instance state changed")
	l.membership.SetState(membershipStates[state])
}

// State returns the state of the instance in its life cycle.
func (i *Instance) State() State { return i.lifecycle.currentState() }

// AdmitsNewWork reports whether the instance may admit new work.
func (i *Instance) AdmitsNewWork() bool { return i.lifecycle.confirmed() }

func (l *lifecycle) currentState() State { return *l.state.Load() }

// confirmed reports whether new work may be admitted.
func (l *lifecycle) confirmed() bool { return l.freshConfirmation().Confirmed }

// mayAccept reads the roster from the store and returns an error if this instance
// may not accept a patch under it. The condition requires an unchanged roster.
func (l *lifecycle) mayAccept(ctx context.Context) (platform.Condition, error) {
	current, unchanged, err := l.rosterManager.Read(ctx)
	if err != nil {
		return platform.Condition{}, err
	}
	return unchanged, l.mayAcceptUnder(current.Sequence)
}

func (l *lifecycle) mayAcceptUnder(sequence int64) error {
	c := l.freshConfirmation()
	if c.Sequence != sequence {
		c = l.update(time.Now())
	}
	if c.Sequence != sequence {
		return errors.Newf("the roster of the store has sequence %d, the held one %d", sequence, c.Sequence)
	}
	if !c.MayAcceptPatches {
		return errors.New(c.Reason)
	}
	return nil
}

// observeRoster returns the input of the roster manager.
func (l *lifecycle) observeRoster() roster.Observation {
	c := l.freshConfirmation()
	members := l.membership.View().Members()
	o := roster.Observation{
		HeadConfirmed: c.HeadConfirmed, Current: c.Current, Leaving: l.isDraining(), OtherInstances: make([]roster.Peer, 0, len(members)),
	}
	for _, m := range members {
		o.OtherInstances = append(o.OtherInstances, roster.Peer{
			ID: m.ID, LastContact: m.LastContact, Sequence: m.RosterSequence, Listed: m.Listed,
			Leaving: m.State == membership.Draining || m.KnownUntil.IsZero(),
		})
	}
	return o
}

func (l *lifecycle) isDraining() bool { return l.drainStartNanos.Load() != 0 }

// startDrain starts the graceful shutdown, which cannot be undone. It is idempotent.
func (l *lifecycle) startDrain() {
	if !l.drainStartNanos.CompareAndSwap(0, time.Now().UnixNano()) {
		return
	}
	close(l.drainStarted)
	l.setState(StateDraining)
}

// awaitIdle waits until a draining instance may exit. It has no timeout: a forced
// exit would end requests in progress.
func (l *lifecycle) awaitIdle(ctx context.Context, a *activity, running func() runningWork, linger time.Duration) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		view := drainProgress{
			startedAt:      time.Unix(0, l.drainStartNanos.Load()),
			lastRequest:    time.Unix(0, a.lastRequest.Load()),
			activeRequests: a.generations.Load() + a.calls.Load(),
			running:        running(),
			linger:         linger,
		}
		if mayExit(time.Now(), view) {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
