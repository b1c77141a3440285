package discovery

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	// callTimeout bounds a call to the store beyond its wait. A store that is up
	// answers in 4 ms, a slow one in about 400 ms.
	callTimeout = 700 * time.Millisecond
	// backoffMin and backoffMax bound the pause after a failed call. Calls are
	// priced also while the store is away. One that knows nothing yet serves
	// nobody, so it asks more often.
	backoffMin      = 50 * time.Millisecond
	backoffMax      = 600 * time.Millisecond
	backoffUnsynced = 300 * time.Millisecond
	// outageAfter is the time without an answer after which the store counts as
	// lost: several calls in a row have failed.
	outageAfter = 2500 * time.Millisecond
)

// errInterrupted ends a held call that was interrupted.
var errInterrupted = errors.New("the call was interrupted")

// Rhythm says how a topic is followed.
type Rhythm struct {
	Wait  time.Duration // how long the store may hold a call until something changes
	Pause time.Duration // between calls
	// Backoff is the longest pause after failed calls; 0: the usual one.
	Backoff time.Duration
}

// Follower keeps up with one topic. Its fields are used by Run only, but for failing.
type Follower struct {
	store  Store
	topic  Topic
	rhythm Rhythm
	apply  func(batch Batch, whole bool, gap time.Duration)
	log    logrus.FieldLogger

	synced   bool
	after    int64
	answered time.Time // last answer; zero before the first
	outage   bool
	backoff  time.Duration
	failing  atomic.Bool                        // the last call failed; also read by others
	held     atomic.Pointer[context.CancelFunc] // interrupts the call in progress; also called by others
	trouble  func()                             // called at the first of failed calls, and at the first success afterwards
}

// NewFollower returns a follower that gives each batch to apply. whole means
// that the batch holds all rows; gap is the time since the answer before.
func NewFollower(store Store, topic Topic, rhythm Rhythm, log logrus.FieldLogger, apply func(batch Batch, whole bool, gap time.Duration)) *Follower {
	return &Follower{store: store, topic: topic, rhythm: rhythm, apply: apply, log: log.WithField("topic", topic), trouble: func() {}}
}

// Failing reports whether the last call failed.
func (f *Follower) Failing() bool { return f.failing.Load() }

// OnTrouble sets what is called at the first of failed calls, and at the first
// success afterwards. It must be set before Run.
func (f *Follower) OnTrouble(trouble func()) { f.trouble = trouble }

// Interrupt makes the follower give up a call that the store holds and make
// another one on a new connection. The connection of a held call may have gone
// silent, which another follower's shorter calls show sooner.
func (f *Follower) Interrupt() {
	if cancel := f.held.Load(); cancel != nil {
		(*cancel)()
	}
}

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.answered = time.Now()
	for ctx.Err() == nil {
		pause := f.rhythm.Pause
		err := f.step(ctx)
		switch {
		case errors.Is(err, errInterrupted):
			pause = 0
		case err != nil:
			pause = f.failed(err)
		}
		sleep(ctx, pause)
	}
}

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	whole := !f.synced
	batch, err := f.call(ctx, whole)
	if errors.Is(err, ErrHistoryGone) && !whole {
		f.log.WithField("after", f.after).Info("the store dropped its history; reading all rows")
		f.synced = false
		return f.step(ctx)
	}
	if err != nil {
		return err
	}
	f.regained()
	if batch.Version < f.after {
		f.log.WithFields(logrus.Fields{"version": batch.Version, "known": f.after}).Info("a stale answer of the store was ignored")
		return nil
	}
	f.apply(batch, whole, time.Since(f.answered))
	f.answered = time.Now()
	f.synced = true
	f.after = batch.Version
	return nil
}

func (f *Follower) call(ctx context.Context, whole bool) (Batch, error) {
	if whole {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return f.store.Read(ctx, f.topic)
	}
	held, cancel := context.WithTimeout(ctx, f.rhythm.Wait+callTimeout)
	defer cancel()
	f.held.Store(&cancel)
	defer f.held.Store(nil)
	batch, err := f.store.Changes(held, f.topic, f.after, f.rhythm.Wait)
	if errors.Is(held.Err(), context.Canceled) && ctx.Err() == nil {
		return Batch{}, errInterrupted
	}
	return batch, err
}

// failed notes a failed call and returns the pause before the next.
func (f *Follower) failed(err error) time.Duration {
	if !f.outage && time.Since(f.answered) > outageAfter {
		f.outage = true
		f.log.WithError(err).WithField("silent_ms", time.Since(f.answered).Milliseconds()).Warn("the store is lost")
	}
	if !f.failing.Swap(true) {
		f.trouble()
	}
	longest := max(backoffMax, f.rhythm.Backoff)
	if !f.synced && f.after == 0 && f.rhythm.Backoff == 0 {
		longest = backoffUnsynced
	}
	f.backoff = min(max(2*f.backoff, backoffMin), longest)
	return f.backoff/2 + rand.N(f.backoff/2)
}

func (f *Follower) regained() {
	f.backoff = 0
	if f.failing.Swap(false) {
		f.trouble()
	}
	if f.outage {
		f.outage = false
		f.log.WithField("silent_ms", time.Since(f.answered).Milliseconds()).Info("the store is back")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
