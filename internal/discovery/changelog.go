package discovery

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// tombstoneRetention is how long the tombstone of a deleted row is kept for followers
// of the log. A follower that is further behind gets all rows.
const tombstoneRetention = time.Minute

// Clock returns the time since a fixed moment. It keeps running while the machine is
// suspended, so that an update from before a suspension does not count as fresh.
type Clock func() time.Duration

// Update is the state or the changes of a topic, read from the store or another instance.
type Update struct {
	Batch
	Full bool // the batch holds all rows, not only changed ones
	// SinceEra is the era of the version in the call to the store for changes.
	SinceEra Era
	AsOf     time.Duration // when the store was read, by the clock of the process that holds the update
}

// Position is an offset in the sequence of changes of one log. A version of the store
// is no replacement: a log that polls rarely misses rows that are created and deleted
// between two reads.
type Position struct {
	LogID    string // ID of the log; empty: no position in any log
	Sequence int64
}

// ChangeLog holds the rows of one topic as of a revision of the store. It applies responses
// of the store and of other logs, and passes each change to its consumer once. The revision
// does not decrease, except by ForgetRevision; the versions of a later era may be lower than those
// of the era before.
type ChangeLog struct {
	topic Topic
	id    string
	clock Clock
	equal func(a, b Row) bool // whether two rows with the same key are equivalent
	// outdated reports whether a row is an earlier state of the held one, which then stays.
	outdated func(held, row Row) bool
	consume  func(changes Batch, gap time.Duration)
	log      logrus.FieldLogger

	mu          sync.Mutex // guards the fields below
	loaded      bool
	forgotten   bool // the revision was given up since the last update
	rows        map[string]loggedRow
	revision    Revision      // of the store that the rows are as of
	sequence    int64         // sequence number of the newest change of a row
	compactedTo int64         // no tombstone after this sequence number has been dropped
	asOf        time.Duration // when the store was read for the newest update
	source      Position      // position in another log with the same state; zero after an update from elsewhere
	changed     chan struct{} // closed at the next change of a row, or of the era
}

// loggedRow is a row and the sequence number of its newest change.
type loggedRow struct {
	Row
	sequence  int64
	deletedAt time.Duration // only of tombstones
}

// ChangeLogOption sets an option of a ChangeLog.
type ChangeLogOption func(*ChangeLog)

// KeepNewer makes a log keep a held row when an update has an earlier state of it, or lacks it.
// outdated decides that; row is a tombstone if the update lacks the row.
func KeepNewer(outdated func(held, row Row) bool) ChangeLogOption {
	return func(l *ChangeLog) { l.outdated = outdated }
}

// NewChangeLog returns an empty log. consume gets the changed rows of each update, which may
// be none, and the time since the previous update.
func NewChangeLog(topic Topic, clock Clock, equal func(a, b Row) bool, log logrus.FieldLogger, consume func(changes Batch, gap time.Duration), options ...ChangeLogOption) *ChangeLog {
	l := &ChangeLog{
		topic: topic, id: strconv.FormatUint(rand.Uint64(), 36), clock: clock, equal: equal, consume: consume,
		outdated: func(_, _ Row) bool { return false },
		log:      log.WithField("topic", topic), rows: map[string]loggedRow{}, changed: make(chan struct{}),
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// DropReason is why an update was not applied.
type DropReason string

// Reasons for which updates are not applied.
const (
	NotDropped          DropReason = ""
	DroppedEarlierEra   DropReason = "earlier_era"
	DroppedOlderVersion DropReason = "older_version"
	// DroppedLaterEra is the reason for changes since a version of an earlier era: others may lie
	// between. All rows have to be read.
	DroppedLaterEra DropReason = "later_era"
	DroppedPosition DropReason = "position" // the log has changed since the request
)

// Apply applies a response of the store. One that is older than the log is dropped, and so are
// changes in another era than that of the log. The era of the call decides too: the log may have
// reached the later era during the call, by an update of another log.
func (l *ChangeLog) Apply(update Update) DropReason {
	l.mu.Lock()
	defer l.mu.Unlock()
	reason := l.staleness(update.Revision())
	isOtherEra := update.SinceEra != update.Era || l.revision.Era != update.Era
	if reason == NotDropped && !update.Full && l.loaded && isOtherEra {
		reason = DroppedLaterEra
	}
	if reason != NotDropped {
		l.log.WithFields(logrus.Fields{
			"reason": reason, "version": update.Version, "era": update.Era, "held_version": l.revision.Version, "held_era": l.revision.Era,
		}).Debug("response of the store dropped")
		return reason
	}
	l.source = Position{}
	l.applyLocked(update)
	return NotDropped
}

// ApplyFrom applies the response of another log to a request from a position. Changes are
// applied only if this log is still at that position. They lead to the state of the other log
// in a later era too: positions count the changes of that log, not those of the store.
func (l *ChangeLog) ApplyFrom(update Update, from, to Position) DropReason {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reason := l.staleness(update.Revision()); reason != NotDropped {
		return reason
	}
	if !update.Full && (from == Position{} || l.source != from) {
		return DroppedPosition
	}
	l.source = to
	l.applyLocked(update)
	return NotDropped
}

// TakeNewer replaces held rows by those of another log of which they are an earlier state, whatever
// their revisions, and returns the number of those. Only logs with KeepNewer have such rows.
func (l *ChangeLog) TakeNewer(rows []Row) (taken int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes := Batch{Version: l.revision.Version, Era: l.revision.Era, Age: max(0, l.clock()-l.asOf)}
	for _, row := range rows {
		held := l.rows[row.Key].Row
		if held.Key == "" {
			held = Row{Key: row.Key, Deleted: true}
		}
		if !row.Deleted && l.outdated(row, held) && l.put(row) {
			changes.Rows = append(changes.Rows, row)
		}
	}
	if len(changes.Rows) > 0 {
		l.consume(changes, 0)
		close(l.changed)
		l.changed = make(chan struct{})
	}
	return len(changes.Rows)
}

// ForgetRevision makes the log apply the next update, whatever its revision, as the first one after a
// return of the store. The rows stay until then.
func (l *ChangeLog) ForgetRevision() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgotten = l.forgotten || l.loaded
	l.loaded, l.revision, l.source = false, Revision{}, Position{}
}

// staleness returns why an update of a revision is older than the log, if it is. The caller
// holds mu.
func (l *ChangeLog) staleness(revision Revision) DropReason {
	switch {
	case !l.loaded || !revision.Before(l.revision):
		return NotDropped
	case revision.Era < l.revision.Era:
		return DroppedEarlierEra
	}
	return DroppedOlderVersion
}

// applyLocked applies an update to the rows. The caller holds mu.
func (l *ChangeLog) applyLocked(update Update) {
	changes := Batch{
		Version: update.Version, Era: update.Era, Returned: l.forgotten || l.loaded && update.Era > l.revision.Era, Age: max(0, l.clock()-update.AsOf),
	}
	present := make(map[string]bool, len(update.Rows))
	for _, row := range update.Rows {
		present[row.Key] = !row.Deleted
		if l.put(row) {
			changes.Rows = append(changes.Rows, row)
		}
	}
	missing := 0
	if update.Full {
		for key := range l.rows {
			if deletion := (Row{Key: key, Version: update.Version, Deleted: true}); !present[key] && l.put(deletion) {
				changes.Rows = append(changes.Rows, deletion)
				missing++
			}
		}
	}
	if changes.Returned {
		l.log.WithFields(logrus.Fields{
			"era": update.Era, "version": update.Version, "held_era": l.revision.Era, "held_version": l.revision.Version,
			"rows": len(update.Rows), "full": update.Full, "changed": len(changes.Rows) - missing, "missing": missing,
		}).Info("first rows of a later era of the store")
	}
	var gap time.Duration
	if l.loaded || l.forgotten {
		gap = max(0, update.AsOf-l.asOf)
	}
	l.loaded, l.forgotten, l.revision, l.asOf = true, false, update.Revision(), max(l.asOf, update.AsOf)
	l.dropTombstones()
	l.consume(changes, gap)
	if len(changes.Rows) > 0 || changes.Returned {
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

// put stores a row and reports whether it is a change.
func (l *ChangeLog) put(row Row) bool {
	old, known := l.rows[row.Key]
	present := known && !old.Deleted
	switch {
	case row.Deleted && !present:
		return false
	case !row.Deleted && present && l.equal(old.Row, row):
		return false
	case present && l.outdated(old.Row, row):
		return false
	}
	l.sequence++
	l.rows[row.Key] = loggedRow{Row: row, sequence: l.sequence, deletedAt: l.clock()}
	return true
}

// dropTombstones drops the tombstones that are older than tombstoneRetention.
func (l *ChangeLog) dropTombstones() {
	now := l.clock()
	for key, row := range l.rows {
		if row.Deleted && now-row.deletedAt > tombstoneRetention {
			delete(l.rows, key)
			l.compactedTo = max(l.compactedTo, row.sequence)
		}
	}
}

// Revision returns the revision of the store that the log is as of; known is false before the
// first update.
func (l *ChangeLog) Revision() (revision Revision, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision, l.loaded
}

// Age returns the time since the store was read for the newest update; known is false
// before the first update.
func (l *ChangeLog) Age() (age time.Duration, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock() - l.asOf, l.loaded
}

// Position returns the position in another log with the same state, or zero if none.
func (l *ChangeLog) Position() Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.source
}

// Since returns the changes after a position, or all rows if the position is in
// another log or too old, and the next position. It returns no rows if the revision that the
// requester holds is newer; one without an era is taken for one of the era of the log. known is
// false before the first update.
func (l *ChangeLog) Since(from Position, held Revision) (update Update, to Position, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	to = Position{LogID: l.id, Sequence: l.sequence}
	update = Update{Batch: Batch{Version: l.revision.Version, Era: l.revision.Era}, AsOf: l.asOf}
	if held.Era == 0 {
		held.Era = l.revision.Era
	}
	if !l.loaded || l.revision.Before(held) {
		return update, from, l.loaded
	}
	update.Full = from.LogID != l.id || from.Sequence < l.compactedTo
	changed := make([]loggedRow, 0, len(l.rows))
	for _, row := range l.rows {
		if update.Full && !row.Deleted || !update.Full && row.sequence > from.Sequence {
			changed = append(changed, row)
		}
	}
	slices.SortFunc(changed, func(a, b loggedRow) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, row := range changed {
		update.Rows = append(update.Rows, row.Row)
	}
	return update, to, true
}

// Changed returns a channel that is closed at the next change of a row, or of the era.
func (l *ChangeLog) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}
