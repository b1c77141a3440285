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
	DefaultCheckInterval = 200 * time.Millisecond
	DefaultPollInterval  = 10 * time.Second
	DefaultContactWindow = 2 * time.Second
	// DefaultRemovalDelay exceeds the minutes for which regions lose their connection,
	// so that a partition removes no instance, and is far below the hours between
	// two ordinary failures, so that failed members do not accumulate. Safety in a
	// partition does not depend on it, since only a majority removes an instance.
	DefaultRemovalDelay = 10 * time.Minute
)

const (
	requestTimeout = 1 * time.Second
	// readRetryInterval is the time between reads of the row until one succeeds.
	readRetryInterval = 1 * time.Second
	// rankDelay is how long each instance waits for the one ranked before it to write.
	rankDelay = 250 * time.Millisecond
	// idleInterval is the time between two steps while nothing changes.
	// activePeriod is the time after a change in which more changes are expected.
	// A step with 480 instances takes about 1 ms.
	idleInterval = 1 * time.Second
	activePeriod = 5 * time.Second
	// maxAnnouncingPeers bounds the recorded peers with a newer roster.
	maxAnnouncingPeers = 16
)

// Config configures a Manager. Durations of 0 take the defaults.
type Config struct {
	Self  contract.InstanceID
	Table platform.TableService
	// Head reads the accepted configuration version and returns a condition that
	// holds until another version is accepted.
	Head func(ctx context.Context) (version int64, unchanged platform.Condition, err error)
	// Fetch requests the encoded roster that a peer holds.
	Fetch func(ctx context.Context, peer contract.InstanceID) ([]byte, error)
	// Observe returns the present state of this instance and of its peers.
	Observe func() Observation
	// OnTableWentBack is called when the table service has lost the held roster. Optional.
	OnTableWentBack func()
	// OnAdopt is called with the sequence of each adopted roster, in order. It
	// must not block.
	OnAdopt func(sequence int64)
	Log     logrus.FieldLogger

	CheckInterval time.Duration // between two steps, while changes are pending
	PollInterval  time.Duration // between two reads of the row
	ContactWindow time.Duration // maximum age of a contact that counts
	RemovalDelay  time.Duration // silence after which an unlisted member is removed
}

// State is the roster that an instance holds.
type State struct {
	Roster Roster
	// ReadFromStore is true if the row was read since the start and was not older than the
	// held roster.
	ReadFromStore bool
}

// Manager holds the newest roster that this instance has received and changes the
// row in the table service.
type Manager struct {
	cfg  Config
	wake chan struct{} // capacity 1; signals that a peer holds a newer roster

	mu        sync.Mutex // guards the fields below
	held      State
	announced map[contract.InstanceID]int64 // sequences of peers with a newer roster

	// The fields below are used by Run only.
	lastSeen     map[contract.InstanceID]time.Time
	lastStep     time.Time // time of the last step
	lastPoll     time.Time // time of the last read of the row
	rowAbsent    bool      // the last read found no row
	rowWentBack  bool      // the last read found an older roster than the held one
	wentBackAt   time.Time // time of the first such read
	dueSequence  int64     // sequence at which a change is due; 0: none
	dueSince     time.Time
	lastSequence int64     // sequence held at the last step
	lastChange   time.Time // time of the first step that held lastSequence
}

// NewManager returns a Manager; Run starts it.
func NewManager(cfg Config) *Manager {
	for field, value := range map[*time.Duration]time.Duration{
		&cfg.CheckInterval: DefaultCheckInterval, &cfg.PollInterval: DefaultPollInterval,
		&cfg.ContactWindow: DefaultContactWindow, &cfg.RemovalDelay: DefaultRemovalDelay,
	} {
		if *field <= 0 {
			*field = value
		}
	}
	if cfg.OnAdopt == nil {
		cfg.OnAdopt = func(int64) {}
	}
	return &Manager{
		cfg: cfg, wake: make(chan struct{}, 1),
		announced: map[contract.InstanceID]int64{}, lastSeen: map[contract.InstanceID]time.Time{},
	}
}

// State returns the roster held.
func (m *Manager) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// ObservePeerSequence records the sequence of the roster that a peer holds. It does not
// block.
func (m *Manager) ObservePeerSequence(peer contract.InstanceID, sequence int64) {
	m.mu.Lock()
	newer := sequence > m.held.Roster.Sequence && (len(m.announced) < maxAnnouncingPeers || m.announced[peer] > 0)
	if newer {
		m.announced[peer] = sequence
	}
	m.mu.Unlock()
	if !newer {
		return
	}
	select {
	case m.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// Read reads the row and adopts its roster. The condition holds until the row
// changes.
func (m *Manager) Read(ctx context.Context) (Roster, platform.Condition, error) {
	row, err := m.cfg.Table.Read(ctx, Key)
	if err != nil {
		return Roster{}, platform.Condition{}, errors.Wrap(err, "read roster")
	}
	r, err := Decode(row.Value)
	if err != nil {
		return Roster{}, platform.Condition{}, err
	}
	m.adopt(r, true)
	return r, platform.Condition{Key: Key, Revision: row.Revision}, nil
}

// adopt replaces the held roster by a newer one and records a read of the row.
func (m *Manager) adopt(r Roster, fromStore bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := m.held.Roster.Sequence
	switch {
	case r.Sequence > held:
		m.held.Roster = r
		clear(m.announced)
		m.cfg.Log.WithFields(logrus.Fields{"sequence": r.Sequence, "instances": len(r.Instances)}).Debug("roster adopted")
		m.cfg.OnAdopt(r.Sequence)
	case r.Sequence < held && fromStore:
		m.cfg.Log.WithFields(logrus.Fields{"row": r.Sequence, "held": held}).Error("roster in the table service is older than the held one")
		return
	}
	m.held.ReadFromStore = m.held.ReadFromStore || fromStore
}

// Run follows the roster and changes it where this instance may, until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(m.cfg.CheckInterval)
	defer ticker.Stop()
	for {
		m.step(ctx)
		for idle := true; idle; {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				idle = m.idle(time.Now())
			case <-m.wake:
				idle = false
			}
		}
	}
}

// idle reports whether the next step can wait.
func (m *Manager) idle(now time.Time) bool {
	active := m.dueSequence != 0 || !m.State().ReadFromStore || now.Sub(m.lastChange) < activePeriod
	return !active && now.Sub(m.lastStep) < idleInterval
}

func (m *Manager) step(ctx context.Context) {
	m.fetch(ctx)
	m.poll(ctx)
	in := m.collectInput()
	switch {
	case m.rowWentBack && m.mayWriteAgain(in):
		m.writeAgain(ctx, in.Roster)
	case m.rowAbsent && in.HeadConfirmed && !in.Leaving && !HeldByMajority(in):
		m.create(ctx)
	case m.shouldWrite(in):
		m.change(ctx, in)
	}
}

// fetch requests a newer roster from a peer that announced one. If that fails,
// the next poll reads the row at once.
func (m *Manager) fetch(ctx context.Context) {
	peer, found := m.newestAnnouncer()
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	data, err := m.cfg.Fetch(ctx, peer)
	if err == nil {
		var r Roster
		if r, err = Decode(data); err == nil {
			m.adopt(r, false)
		}
	}
	if err != nil {
		m.cfg.Log.WithError(err).WithField("peer", peer).Debug("roster was not fetched from a peer")
		m.lastPoll = time.Time{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.announced, peer)
}

// newestAnnouncer returns the peer that announced the newest roster.
func (m *Manager) newestAnnouncer() (newest contract.InstanceID, found bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for peer, sequence := range m.announced {
		if sequence > m.held.Roster.Sequence && (!found || sequence > m.announced[newest]) {
			newest, found = peer, true
		}
	}
	return newest, found
}

// poll reads the row at every poll interval, and more often until the first
// success.
func (m *Manager) poll(ctx context.Context) {
	interval := m.cfg.PollInterval
	if !m.State().ReadFromStore {
		interval = min(interval, readRetryInterval)
	}
	if !m.lastPoll.IsZero() && time.Since(m.lastPoll) < interval {
		return
	}
	m.readRow(ctx)
}

// readRow reads the row and records whether it exists.
func (m *Manager) readRow(ctx context.Context) (Roster, platform.Condition, bool) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	m.lastPoll = time.Now()
	held := m.State().Roster.Sequence // before the read, which cannot return an older one unless that was lost
	r, condition, err := m.Read(ctx)
	m.rowAbsent = errors.Is(err, platform.ErrNotFound)
	m.recordWentBack(err == nil && r.Sequence < held || m.rowAbsent && held > 0)
	if err != nil && !m.rowAbsent {
		m.cfg.Log.WithError(err).Debug("roster was not read")
	}
	return r, condition, err == nil
}

// recordWentBack records whether the table service has lost the held roster.
func (m *Manager) recordWentBack(wentBack bool) {
	if wentBack && !m.rowWentBack {
		m.wentBackAt = time.Now()
		if m.cfg.OnTableWentBack != nil {
			m.cfg.OnTableWentBack()
		}
	}
	m.rowWentBack = wentBack
}

// collectInput returns the input of the decision about a change. Silence of a
// member counts only while this instance is in contact with a majority: after
// its own pause or partition all members look silent.
func (m *Manager) collectInput() Input {
	observation := m.cfg.Observe()
	now := time.Now() // after Observe, so that a pause in between makes contacts older
	in := Input{
		Observation: observation, Now: now, Self: m.cfg.Self, Roster: m.State().Roster,
		LastSeen: m.lastSeen, ContactWindow: m.cfg.ContactWindow, RemovalDelay: m.cfg.RemovalDelay,
	}
	paused := now.Sub(m.lastStep) > m.cfg.ContactWindow
	m.lastStep = now
	if m.lastSequence != in.Roster.Sequence {
		m.lastSequence, m.lastChange = in.Roster.Sequence, now
	}
	if paused || !HeldByMajority(in) {
		clear(m.lastSeen)
	}
	in.updateLastSeen()
	return in
}

// updateLastSeen updates the times from the members, the list and the contacts.
func (in Input) updateLastSeen() {
	for id := range in.LastSeen {
		if !in.Roster.Contains(id) {
			delete(in.LastSeen, id)
		}
	}
	for _, id := range in.Roster.Instances {
		if _, ok := in.LastSeen[id]; !ok {
			in.LastSeen[id] = in.Now
		}
	}
	for _, p := range in.OtherInstances {
		if _, ok := in.LastSeen[p.ID]; ok && (p.Listed || in.inContact(p)) {
			in.LastSeen[p.ID] = in.Now
		}
	}
}

// shouldWrite reports whether this instance should write a change now. The first
// instance in rank writes at once. Each other instance waits for the ones before
// it, which may be unable to reach the store.
func (m *Manager) shouldWrite(in Input) bool {
	if _, ok := Propose(in); !ok {
		m.dueSequence = 0
		return false
	}
	if m.dueSequence != in.Roster.Sequence {
		m.dueSequence, m.dueSince = in.Roster.Sequence, in.Now
	}
	return in.Now.Sub(m.dueSince) >= time.Duration(WriterRank(in))*rankDelay
}

// mayWriteAgain reports whether this instance may write the held roster again now. A majority
// of it must hold it, as before each change; the instances wait for each other as for a change.
func (m *Manager) mayWriteAgain(in Input) bool {
	return in.HeadConfirmed && in.Current && !in.Leaving && HeldByMajority(in) &&
		in.Now.Sub(m.wentBackAt) >= time.Duration(WriterRank(in))*rankDelay
}

// writeAgain writes the held roster, with the next sequence, to a table service that has lost it.
func (m *Manager) writeAgain(ctx context.Context, held Roster) {
	_, unchanged, found := m.readRow(ctx)
	if !m.rowWentBack {
		return
	}
	if !found {
		unchanged = platform.Condition{Key: Key}
	}
	m.cfg.Log.WithFields(logrus.Fields{"sequence": held.Sequence + 1, "instances": len(held.Instances)}).
		Error("table service has lost the roster; the held one is written again")
	m.write(ctx, unchanged, func(version int64) Roster {
		held.Sequence++
		held.ConfigurationVersion = max(held.ConfigurationVersion, version)
		return held
	})
}

// create writes the first roster. Its sequence is the time, so that a row that is
// created again after an operator removed it is newer than the removed one.
func (m *Manager) create(ctx context.Context) {
	next := Roster{Sequence: max(m.State().Roster.Sequence+1, time.Now().Unix()), Instances: []contract.InstanceID{m.cfg.Self}}
	m.write(ctx, platform.Condition{Key: Key}, func(version int64) Roster {
		next.ConfigurationVersion = version
		return next
	})
}

// change writes the next roster if the row still has the held one.
func (m *Manager) change(ctx context.Context, in Input) {
	r, unchanged, ok := m.readRow(ctx)
	if !ok || r.Sequence != in.Roster.Sequence {
		return
	}
	target, ok := Propose(in)
	if !ok {
		return
	}
	m.cfg.Log.WithFields(logrus.Fields{"sequence": r.Sequence + 1, "from": len(r.Instances), "to": len(target)}).Info("roster is being changed")
	m.write(ctx, unchanged, func(version int64) Roster { return r.next(target, version) })
}

// write writes a roster and reads the row back after success and failure: the
// response may be lost, and another instance may have written first.
func (m *Manager) write(ctx context.Context, unchanged platform.Condition, build func(version int64) Roster) {
	defer m.readRow(ctx)
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	version, head, err := m.cfg.Head(ctx)
	if err == nil {
		err = m.commit(ctx, build(version), unchanged, head)
	}
	if err != nil {
		m.cfg.Log.WithError(err).Debug("roster was not written")
	}
}

func (m *Manager) commit(ctx context.Context, next Roster, conditions ...platform.Condition) error {
	data, err := next.Encode()
	if err != nil {
		return err
	}
	_, err = m.cfg.Table.Commit(ctx, []platform.Transaction{{
		Conditions: conditions, Writes: []platform.Write{{Key: Key, Value: data}},
	}})
	return err
}
