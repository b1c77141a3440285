package roster

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/platform"
)

// Defaults of Config.
const (
	DefaultInterval     = 200 * time.Millisecond
	DefaultPollInterval = 10 * time.Second
	DefaultWindow       = 2 * time.Second
	// DefaultHold exceeds the minutes for which regions lose their connection,
	// so that a partition removes nobody, and is far below the hours between two
	// of the ordinary failures, so that they do not add up. A majority decides on
	// the removal, so the hold is not needed to keep a partition from it.
	DefaultHold = 10 * time.Minute
)

const (
	requestTimeout = 1 * time.Second
	// readRetry is the time between reads of the row while none was read.
	readRetry = 1 * time.Second
	// rankDelay is how long each instance waits for the one before it to write.
	rankDelay = 250 * time.Millisecond
	// idleInterval is the time between two looks while nothing changes, and
	// activeSpan how long after a change more may follow. A look at 480 instances
	// takes about 1 ms.
	idleInterval = 1 * time.Second
	activeSpan   = 5 * time.Second
	// maxAnnounced bounds the peers remembered with a newer roster.
	maxAnnounced = 16
)

// Config configures a Keeper. Durations of 0 take the defaults.
type Config struct {
	Self  contract.InstanceID
	Table platform.TableService
	// Head reads the accepted configuration version, with a condition that holds
	// until another one is accepted.
	Head func(ctx context.Context) (version int64, unchanged platform.Condition, err error)
	// Fetch asks a peer for the encoded roster that it holds.
	Fetch func(ctx context.Context, peer contract.InstanceID) ([]byte, error)
	// Observe returns what this instance knows at present.
	Observe func() Observation
	// Adopted is called with each new sequence, in order. It must not block.
	Adopted func(sequence int64)
	Log     logrus.FieldLogger

	Interval     time.Duration // between two looks at what is due, while something changes
	PollInterval time.Duration // between two reads of the row
	Window       time.Duration // age up to which a contact counts
	Hold         time.Duration // silence after which an unlisted member is removed
}

// Standing is the roster that an instance holds.
type Standing struct {
	Roster Roster
	// Read is true if the row was read since the start and the roster held then
	// was not older.
	Read bool
}

// Keeper holds the newest roster that this instance has seen and proposes
// changes to it.
type Keeper struct {
	cfg  Config
	wake chan struct{} // capacity 1: a peer holds a newer roster

	mu        sync.Mutex // guards the fields below
	held      Standing
	announced map[contract.InstanceID]int64 // newer sequences of peers

	// The fields below are used by Run only.
	seen     map[contract.InstanceID]time.Time
	stepped  time.Time // last step
	polled   time.Time // last read of the row
	absent   bool      // the last read found no row
	due      int64     // sequence at which a change is due; 0: none
	dueSince time.Time
	last     int64     // sequence held at the last step
	lastNew  time.Time // step that first saw it
}

// NewKeeper returns a Keeper; Run starts it.
func NewKeeper(cfg Config) *Keeper {
	for field, value := range map[*time.Duration]time.Duration{
		&cfg.Interval: DefaultInterval, &cfg.PollInterval: DefaultPollInterval,
		&cfg.Window: DefaultWindow, &cfg.Hold: DefaultHold,
	} {
		if *field <= 0 {
			*field = value
		}
	}
	if cfg.Adopted == nil {
		cfg.Adopted = func(int64) {}
	}
	return &Keeper{
		cfg: cfg, wake: make(chan struct{}, 1),
		announced: map[contract.InstanceID]int64{}, seen: map[contract.InstanceID]time.Time{},
	}
}

// Standing returns the roster held.
func (k *Keeper) Standing() Standing {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held
}

// Announce notes that a peer holds a roster. It does not block.
func (k *Keeper) Announce(peer contract.InstanceID, sequence int64) {
	k.mu.Lock()
	newer := sequence > k.held.Roster.Sequence && (len(k.announced) < maxAnnounced || k.announced[peer] > 0)
	if newer {
		k.announced[peer] = sequence
	}
	k.mu.Unlock()
	if !newer {
		return
	}
	select {
	case k.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// Read reads the row and adopts it. The condition holds until the row changes.
func (k *Keeper) Read(ctx context.Context) (Roster, platform.Condition, error) {
	row, err := k.cfg.Table.Read(ctx, Key)
	if err != nil {
		return Roster{}, platform.Condition{}, errors.Wrap(err, "read roster")
	}
	r, err := Decode(row.Value)
	if err != nil {
		return Roster{}, platform.Condition{}, err
	}
	k.adopt(r, true)
	return r, platform.Condition{Key: Key, Revision: row.Revision}, nil
}

// adopt takes over a roster unless a newer one is held.
func (k *Keeper) adopt(r Roster, fromStore bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	held := k.held.Roster.Sequence
	switch {
	case r.Sequence > held:
		k.held.Roster = r
		clear(k.announced)
		k.cfg.Log.WithFields(logrus.Fields{"sequence": r.Sequence, "instances": len(r.Instances)}).Debug("roster adopted")
		k.cfg.Adopted(r.Sequence)
	case r.Sequence < held && fromStore:
		k.cfg.Log.WithFields(logrus.Fields{"row": r.Sequence, "held": held}).Error("roster in the table service is older than the held one")
		return
	}
	k.held.Read = k.held.Read || fromStore
}

// Run follows and changes the roster until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(k.cfg.Interval)
	defer ticker.Stop()
	for {
		k.step(ctx)
		for idle := true; idle; {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				idle = k.idle(time.Now())
			case <-k.wake:
				idle = false
			}
		}
	}
}

// idle reports whether the next look can wait.
func (k *Keeper) idle(now time.Time) bool {
	active := k.due != 0 || !k.Standing().Read || now.Sub(k.lastNew) < activeSpan
	return !active && now.Sub(k.stepped) < idleInterval
}

func (k *Keeper) step(ctx context.Context) {
	k.fetch(ctx)
	k.poll(ctx)
	in := k.input()
	switch {
	case k.absent && in.Reads && !in.Leaving:
		k.create(ctx)
	case k.isDue(in):
		k.change(ctx, in)
	}
}

// fetch gets a newer roster from a peer that announced one, else from the row.
func (k *Keeper) fetch(ctx context.Context) {
	peer, found := k.source()
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	data, err := k.cfg.Fetch(ctx, peer)
	if err == nil {
		var r Roster
		if r, err = Decode(data); err == nil {
			k.adopt(r, false)
		}
	}
	if err != nil {
		k.cfg.Log.WithError(err).WithField("peer", peer).Debug("roster was not fetched from a peer")
		k.polled = time.Time{}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.announced, peer)
}

// source returns the peer that announced the newest roster.
func (k *Keeper) source() (newest contract.InstanceID, found bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for peer, sequence := range k.announced {
		if sequence > k.held.Roster.Sequence && (!found || sequence > k.announced[newest]) {
			newest, found = peer, true
		}
	}
	return newest, found
}

// poll reads the row from time to time, and until it was read once.
func (k *Keeper) poll(ctx context.Context) {
	interval := k.cfg.PollInterval
	if !k.Standing().Read {
		interval = min(interval, readRetry)
	}
	if !k.polled.IsZero() && time.Since(k.polled) < interval {
		return
	}
	k.read(ctx)
}

// read reads the row and notes whether there is one.
func (k *Keeper) read(ctx context.Context) (Roster, platform.Condition, bool) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	k.polled = time.Now()
	r, condition, err := k.Read(ctx)
	k.absent = errors.Is(err, platform.ErrNotFound)
	if err != nil && !k.absent {
		k.cfg.Log.WithError(err).Debug("roster was not read")
	}
	return r, condition, err == nil
}

// input collects what the decision looks at. Silence counts only while this
// instance hears a majority itself: after its own pause or partition everyone
// looks silent.
func (k *Keeper) input() Input {
	observation := k.cfg.Observe()
	now := time.Now() // later, so that a pause in between makes contacts older
	in := Input{
		Observation: observation, Now: now, Self: k.cfg.Self, Roster: k.Standing().Roster,
		Seen: k.seen, Window: k.cfg.Window, Hold: k.cfg.Hold,
	}
	paused := now.Sub(k.stepped) > k.cfg.Window
	k.stepped = now
	if k.last != in.Roster.Sequence {
		k.last, k.lastNew = in.Roster.Sequence, now
	}
	if paused || !Settled(in) {
		clear(k.seen)
	}
	in.look()
	return in
}

// look brings Seen up to date.
func (in Input) look() {
	for id := range in.Seen {
		if !in.Roster.Contains(id) {
			delete(in.Seen, id)
		}
	}
	for _, id := range in.Roster.Instances {
		if _, ok := in.Seen[id]; !ok {
			in.Seen[id] = in.Now
		}
	}
	for _, p := range in.Others {
		if _, ok := in.Seen[p.ID]; ok && (p.Listed || in.heard(p)) {
			in.Seen[p.ID] = in.Now
		}
	}
}

// isDue reports whether this instance should write a change now. The first one
// in contact writes at once; each other waits for those before it, which may
// not reach the store.
func (k *Keeper) isDue(in Input) bool {
	if _, ok := Propose(in); !ok {
		k.due = 0
		return false
	}
	if k.due != in.Roster.Sequence {
		k.due, k.dueSince = in.Roster.Sequence, in.Now
	}
	return in.Now.Sub(k.dueSince) >= time.Duration(Rank(in))*rankDelay
}

// create writes the first roster. Its sequence is the time, so that a row that
// is created again after an operator has removed it is newer than the old one.
func (k *Keeper) create(ctx context.Context) {
	next := Roster{Sequence: max(k.Standing().Roster.Sequence+1, time.Now().Unix()), Instances: []contract.InstanceID{k.cfg.Self}}
	k.write(ctx, platform.Condition{Key: Key}, func(version int64) Roster {
		next.Version = version
		return next
	})
}

// change writes the next roster if the held one is still that of the row.
func (k *Keeper) change(ctx context.Context, in Input) {
	r, unchanged, ok := k.read(ctx)
	if !ok || r.Sequence != in.Roster.Sequence {
		return
	}
	target, ok := Propose(in)
	if !ok {
		return
	}
	k.cfg.Log.WithFields(logrus.Fields{"sequence": r.Sequence + 1, "from": len(r.Instances), "to": len(target)}).Info("roster is being changed")
	k.write(ctx, unchanged, func(version int64) Roster { return r.next(target, version) })
}

// write writes a roster and reads the row back, whatever the answer was: an
// answer may be lost, and another instance may have been first.
func (k *Keeper) write(ctx context.Context, unchanged platform.Condition, build func(version int64) Roster) {
	defer k.read(ctx)
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	version, head, err := k.cfg.Head(ctx)
	if err == nil {
		err = k.commit(ctx, build(version), unchanged, head)
	}
	if err != nil {
		k.cfg.Log.WithError(err).Debug("roster was not written")
	}
}

func (k *Keeper) commit(ctx context.Context, next Roster, conditions ...platform.Condition) error {
	data, err := next.Encode()
	if err != nil {
		return err
	}
	_, err = k.cfg.Table.Commit(ctx, []platform.Transaction{{
		Conditions: conditions, Writes: []platform.Write{{Key: Key, Value: data}},
	}})
	return err
}
