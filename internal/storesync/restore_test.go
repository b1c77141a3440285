package storesync

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/pool"
	"foxtailhub.example/foxtailhub/internal/route"
)

const (
	// rewriteTime is the time after a return of the store within which upstreams and the operator
	// have written their rows again.
	rewriteTime = 2 * time.Second
	// configurationRewriteMin is how long the operator waits at least.
	configurationRewriteMin = 500 * time.Millisecond
)

var errAway = errors.New("connection reset")

// rowID identifies a row of the store.
type rowID struct {
	topic discovery.Topic
	key   string
}

// restorer is what a store has for returns from a copy. Its fields are guarded by the mutex of
// the store.
type restorer struct {
	era       discovery.Era
	undo      []undoEntry
	away      int           // number of returns that have begun and not ended
	resetHeld bool          // the last return reset the held calls
	late      time.Duration // delay of each response to a read after it was computed
}

// undoEntry holds what a change of the store replaced.
type undoEntry struct {
	at      time.Time
	version int64 // before the change
	rows    map[rowID]discovery.Row
}

// apply replaces rows, of which those without a version are absent, and sets the version. The
// caller holds mu.
func (s *store) apply(changes map[rowID]discovery.Row, version int64) {
	entry := undoEntry{time.Now(), s.version, map[rowID]discovery.Row{}}
	for id, row := range changes {
		entry.rows[id] = s.rows[id.topic][id.key]
		s.rows[id.topic][id.key] = row
		if row.Version == 0 {
			delete(s.rows[id.topic], id.key)
		}
	}
	s.undo = append(s.undo, entry)
	s.version = version
	close(s.changed)
	s.changed = make(chan struct{})
}

// goAway makes the store lose all calls until a return.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away++
}

// comeBack ends goAway. If the store comes back from a copy, it is as of copiedAt, and
// its era is one higher.
func (s *store) comeBack(copiedAt time.Time, restored, resetHeld bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away--
	changes, version := map[rowID]discovery.Row{}, s.version
	if restored {
		s.era++
		s.resetHeld = resetHeld
		for i := len(s.undo) - 1; i >= 0 && s.undo[i].at.After(copiedAt); i-- {
			version = s.undo[i].version
			for id, before := range s.undo[i].rows {
				changes[id] = before
			}
		}
		s.oldest = min(s.oldest, version)
	}
	s.apply(changes, version)
}

// checkPresent returns an error if the store is away.
func (c client) checkPresent() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.away > 0 {
		return errAway
	}
	return nil
}

// deliver returns a response to a read, later than it was computed if the store is late.
func (c client) deliver(ctx context.Context, batch discovery.Batch, err error) (discovery.Batch, error) {
	c.mu.Lock()
	late := c.late
	c.mu.Unlock()
	if late > 0 {
		sleep(ctx, late)
	}
	if ctx.Err() != nil {
		return discovery.Batch{}, ctx.Err()
	}
	c.eras.Observe(batch.Era)
	return batch, err
}

// observe notes the era of a response to a write.
func (c client) observe() error {
	c.mu.Lock()
	era := c.era
	c.mu.Unlock()
	c.eras.Observe(era)
	return nil
}

// versionDecoder decodes a configuration that consists of its version.
type versionDecoder struct{}

func (versionDecoder) Configuration(row discovery.Row) (route.Document, bool, error) {
	version, err := strconv.ParseInt(string(row.Value), 10, 64)
	return route.Document{Version: version}, true, err
}

func (versionDecoder) Upstream(discovery.Row) (pool.Upstream, error) {
	return pool.Upstream{}, errors.New("not decoded")
}

// platformRows are the rows that the operator and the upstreams write, and write again after
// a return of the store.
type platformRows struct {
	store *store

	mu          sync.Mutex // guards the fields below
	rng         *rand.Rand
	values      map[rowID]string
	rewrittenAt map[rowID]time.Time // when the row was last written, or known to be in the store after a return
	missing     map[rowID]bool      // not yet written again since the store last went away
}

func newPlatformRows(s *store, seed uint64) *platformRows {
	return &platformRows{
		store: s, rng: rand.New(rand.NewPCG(seed, 2)), values: map[rowID]string{}, rewrittenAt: map[rowID]time.Time{}, missing: map[rowID]bool{},
	}
}

// write writes a row, now or after the next return if the store is away.
func (p *platformRows) write(topic discovery.Topic, key, value string, deleted bool) {
	if deleted {
		value = ""
	}
	p.mu.Lock()
	p.values[rowID{topic, key}] = value
	p.mu.Unlock()
	p.writeAgain(rowID{topic, key})
}

// writeAgain writes a row if the store has another value.
func (p *platformRows) writeAgain(id rowID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.mu.Lock()
	row, away := p.store.rows[id.topic][id.key], p.store.away > 0
	p.store.mu.Unlock()
	if away {
		p.missing[id] = true
		return
	}
	if value := p.values[id]; string(row.Value) != value || row.Deleted {
		p.store.write(id.topic, id.key, value, value == "")
	}
	delete(p.missing, id)
	p.rewrittenAt[id] = time.Now()
}

// storeGone marks all rows as not known to be in the store.
func (p *platformRows) storeGone() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.values {
		p.missing[id] = true
	}
}

// storeReturned writes the rows again, each after a time of its own.
func (p *platformRows) storeReturned() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.values {
		delay := time.Duration(p.rng.Int64N(int64(rewriteTime)))
		if id.topic == discovery.Configuration {
			delay = max(delay, configurationRewriteMin)
		}
		time.AfterFunc(delay, func() { p.writeAgain(id) })
	}
}

// current returns the value of a row and since when the store has it; known is false while it
// has not been written again after a return.
func (p *platformRows) current(topic discovery.Topic, key string) (value string, since time.Time, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := rowID{topic, key}
	return p.values[id], p.rewrittenAt[id], !p.missing[id]
}
