package discovery

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// returningStore is a store of one topic that comes back from copies of itself. A held call that
// is in progress then gets no response until its wait is over.
type returningStore struct {
	eras *EraTracker // observes each response; nil: no response

	mu      sync.Mutex // guards the fields below
	era     Era
	version int64
	rows    map[string]Row
	down    bool
	changed chan struct{}
	reads   int // of all rows
	changes int
}

// storeCopy is the state of a store at one moment.
type storeCopy struct {
	version int64
	rows    map[string]Row
}

func newReturningStore(eras *EraTracker) *returningStore {
	return &returningStore{eras: eras, era: 1, rows: map[string]Row{}, changed: make(chan struct{})}
}

// write writes rows with the same value as present ones too, which then keep their version.
func (s *returningStore) write(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, found := s.rows[key]; found && !old.Deleted && string(old.Value) == value {
		return
	}
	s.version++
	s.rows[key] = row(key, value, s.version)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *returningStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[key] = deletedRow(key, s.version)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *returningStore) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{version: s.version, rows: maps.Clone(s.rows)}
}

func (s *returningStore) returnFrom(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era, s.version, s.rows, s.down = s.era+1, c.version, maps.Clone(c.rows), false
	s.changed = make(chan struct{}) // calls in progress miss the changes
}

func (s *returningStore) set(change func(s *returningStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *returningStore) takeCounts() (reads, changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reads, changes = s.reads, s.changes
	s.reads, s.changes = 0, 0
	return reads, changes
}

// respond returns the rows that changed after a version, or all rows. gone means that the version
// is not one of this era.
func (s *returningStore) respond(after int64, full bool) (batch Batch, gone bool) {
	batch = Batch{Version: s.version, Era: s.era}
	for _, r := range s.rows {
		if r.Version > after && !(full && r.Deleted) {
			batch.Rows = append(batch.Rows, r)
		}
	}
	return batch, after > s.version
}

// liveValues returns the values of the rows.
func (s *returningStore) liveValues() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := map[string]string{}
	for key, r := range s.rows {
		if !r.Deleted {
			values[key] = string(r.Value)
		}
	}
	return values
}

var errDown = errors.New("503")

func (s *returningStore) observe(era Era) {
	if s.eras != nil {
		s.eras.Observe(era)
	}
}

func (s *returningStore) Read(ctx context.Context, _ Topic) (Batch, error) {
	sleep(ctx, 4*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return Batch{}, errDown
	}
	batch, _ := s.respond(0, true)
	s.observe(batch.Era)
	return batch, ctx.Err()
}

func (s *returningStore) Changes(ctx context.Context, _ Topic, after int64, wait time.Duration) (Batch, error) {
	sleep(ctx, 4*time.Millisecond)
	s.set(func(s *returningStore) { s.changes++ })
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waitOver := wait == 0; ; {
		s.mu.Lock()
		batch, gone := s.respond(after, false)
		down, changed := s.down, s.changed
		s.mu.Unlock()
		if down {
			return Batch{}, errDown
		}
		if gone || len(batch.Rows) > 0 || waitOver {
			s.observe(batch.Era)
			if gone {
				return Batch{}, ErrHistoryGone
			}
			return batch, ctx.Err()
		}
		select {
		case <-changed:
		case <-timer.C:
			waitOver = true
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

func (s *returningStore) Put(_ context.Context, _ Topic, key string, value []byte) error {
	s.write(key, string(value))
	return nil
}

func (s *returningStore) Create(context.Context, Topic, string, []byte) ([]byte, error) {
	return nil, nil
}

func (s *returningStore) Remove(_ context.Context, _ Topic, key string) error {
	s.remove(key)
	return nil
}

// eraReader is a running reader of a returningStore.
type eraReader struct {
	*Reader
	mu      sync.Mutex // guards the fields below
	state   map[string]string
	batches []Batch
}

// startReader runs a reader until the test ends.
func startReader(t *testing.T, store Store, eras *EraTracker, backoff *Backoff, schedule PollSchedule, options ...func(*ReaderConfig)) *eraReader {
	c, r := clock(), &eraReader{state: map[string]string{}}
	config := ReaderConfig{
		Store: store, Topic: Configuration, Schedule: func() PollSchedule { return schedule }, Backoff: backoff, Clock: c, Logger: discardLogger(), Eras: eras,
		ChangeLog: NewChangeLog(Configuration, c, SameValue, discardLogger(), r.apply),
	}
	for _, option := range options {
		option(&config)
	}
	r.Reader = NewReader(config)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r
}

func (r *eraReader) apply(batch Batch, _ time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.batches = append(r.batches, batch)
	for _, row := range batch.Rows {
		if row.Deleted {
			delete(r.state, row.Key)
		} else {
			r.state[row.Key] = string(row.Value)
		}
	}
}

func (r *eraReader) values() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.state)
}

// returns returns the number of batches that are marked as the first after a return.
func (r *eraReader) returns() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, batch := range r.batches {
		if batch.Returned {
			n++
		}
	}
	return n
}
