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
	Full bool          // the batch holds all rows, not only changed ones
	AsOf time.Duration // when the store was read, by the clock of the process that holds the update
}

// Position is an offset in the sequence of changes of one log. A version of the store
// is no replacement: a log that polls rarely misses rows that are created and deleted
// between two reads.
type Position struct {
	LogID    string // ID of the log; empty: no position in any log
	Sequence int64
}

// ChangeLog holds the rows of one topic as of a version of the store. It applies responses
// of the store and of other logs, and passes each change to its consumer once.
type ChangeLog struct {
	topic   Topic
	id      string
	clock   Clock
	equal   func(a, b Row) bool // whether two rows with the same key are equivalent
	consume func(changes Batch, gap time.Duration)
	log     logrus.FieldLogger

	mu          sync.Mutex // guards the fields below
	loaded      bool
	rows        map[string]loggedRow
	version     int64         // version of the store that the rows are as of
	era         Era           // of the newest update, not yet part of the order
	sequence    int64         // sequence number of the newest change of a row
	compactedTo int64         // no tombstone after this sequence number has been dropped
	asOf        time.Duration // when the store was read for the newest update
	source      Position      // position in another log with the same state; zero after an update from elsewhere
	changed     chan struct{} // closed at the next change of a row
}

// loggedRow is a row and the sequence number of its newest change.
type loggedRow struct {
	Row
	sequence  int64
	deletedAt time.Duration // only of tombstones
}

// NewChangeLog returns an empty log. consume gets the changed rows of each update, which may
// be none, and the time since the previous update.
func NewChangeLog(topic Topic, clock Clock, equal func(a, b Row) bool, log logrus.FieldLogger, consume func(changes Batch, gap time.Duration)) *ChangeLog {
	return &ChangeLog{
		topic: topic, id: strconv.FormatUint(rand.Uint64(), 36), clock: clock, equal: equal, consume: consume,
		log: log.WithField("topic", topic), rows: map[string]loggedRow{}, changed: make(chan struct{}),
	}
}

// DropReason is why an update was not applied.
type DropReason string

// Reasons for which updates are not applied.
const (
	NotDropped          DropReason = ""
	DroppedEarlierEra   DropReason = "earlier_era"
	DroppedOlderVersion DropReason = "older_version"
	DroppedPosition     DropReason = "position" // the log has changed since the request
)

// Apply applies a response of the store. One that is older than the log is dropped.
func (l *ChangeLog) Apply(update Update) DropReason {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stale(update) {
		l.log.WithFields(logrus.Fields{
			"version": update.Version, "era": update.Era, "held_version": l.version, "held_era": l.era,
		}).Info("stale response of the store ignored")
		return DroppedOlderVersion
	}
	l.source = Position{}
	l.applyLocked(update)
	return NotDropped
}

// ApplyFrom applies the response of another log to a request from a position. Changes are
// applied only if this log is still at that position.
func (l *ChangeLog) ApplyFrom(update Update, from, to Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stale(update) || !update.Full && l.source != from {
		return
	}
	l.source = to
	l.applyLocked(update)
}

func (l *ChangeLog) stale(update Update) bool { return l.loaded && update.Version < l.version }

// applyLocked applies an update to the rows. The caller holds mu.
func (l *ChangeLog) applyLocked(update Update) {
	changes := Batch{Version: update.Version}
	present := make(map[string]bool, len(update.Rows))
	for _, row := range update.Rows {
		present[row.Key] = !row.Deleted
		if l.put(row) {
			changes.Rows = append(changes.Rows, row)
		}
	}
	if update.Full {
		for key, row := range l.rows {
			if deletion := (Row{Key: key, Version: update.Version, Deleted: true}); !present[key] && !row.Deleted {
				l.put(deletion)
				changes.Rows = append(changes.Rows, deletion)
			}
		}
	}
	var gap time.Duration
	if l.loaded {
		gap = max(0, update.AsOf-l.asOf)
	}
	l.loaded, l.version, l.era, l.asOf = true, update.Version, update.Era, max(l.asOf, update.AsOf)
	l.dropTombstones()
	l.consume(changes, gap)
	if len(changes.Rows) > 0 {
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

// Version returns the version of the store that the log is as of; known is false
// before the first update.
func (l *ChangeLog) Version() (version int64, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version, l.loaded
}

// Revision returns the state of the store that the log is as of, zero before the first update.
func (l *ChangeLog) Revision() Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Revision{Era: l.era, Version: l.version}
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
// another log or too old, and the next position. It returns no rows if the requester's
// version of the store is newer. known is false before the first update.
func (l *ChangeLog) Since(from Position, version int64) (update Update, to Position, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	to = Position{LogID: l.id, Sequence: l.sequence}
	update = Update{Batch: Batch{Version: l.version}, AsOf: l.asOf}
	if !l.loaded || version > l.version {
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

// Changed returns a channel that is closed at the next change of a row.
func (l *ChangeLog) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}
