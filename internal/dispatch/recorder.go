package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/platform"
)

const (
	// releaseTimeout is how long an answer is held back for the release of its
	// record. A caller that comes back soon finds the record released.
	releaseTimeout = 500 * time.Millisecond
	// pollInterval is the mean time between two reads of another's record.
	pollInterval = 100 * time.Millisecond
)

// recordStore keeps the dispatch records of this instance in the table service.
type recordStore struct {
	table        platform.TableService
	batch        *batcher
	breaker      *breaker
	reconciler   *reconciler
	storeTimeout time.Duration
	log          logrus.FieldLogger
}

func newRecordStore(table platform.TableService, storeTimeout time.Duration, log logrus.FieldLogger) *recordStore {
	r := &recordStore{table: table, batch: newBatcher(table, storeTimeout), breaker: newBreaker(), storeTimeout: storeTimeout, log: log}
	r.reconciler = newReconciler(r.reconcile, r.breaker.recovered, log)
	return r
}

func conditionalWrite(key string, revision int64, record Record) platform.Transaction {
	return platform.Transaction{
		Conditions: []platform.Condition{{Key: key, Revision: revision}},
		Writes:     []platform.Write{{Key: key, Value: record.encode()}},
	}
}

// lookup reads a record. It reports false if there is none or the store does not
// answer in time.
func (r *recordStore) lookup(ctx context.Context, key string) (Record, bool) {
	ctx, cancel := context.WithTimeout(ctx, r.storeTimeout)
	defer cancel()
	row, err := r.table.Read(ctx, key)
	if err != nil {
		return Record{}, false
	}
	record, err := decodeRecord(row.Value)
	return record, err == nil
}

// awaitChange reads another's dispatched record until it has changed or ctx ends. It
// returns the last state read.
func (r *recordStore) awaitChange(ctx context.Context, key string, last Record) Record {
	for last.State == Dispatched {
		pause := pollInterval/2 + rand.N(pollInterval)
		if !sleep(ctx, pause) {
			return last
		}
		row, err := r.table.Read(ctx, key)
		if err != nil {
			continue
		}
		if found, err := decodeRecord(row.Value); err == nil {
			last = found
		}
	}
	return last
}

// release releases an own record that was not sent: before the deadline within
// a short time, else in the background. The submission must never send on it
// afterwards.
func (r *recordStore) release(deadline time.Time, key string, revision int64, record Record) {
	released, err := record.Release(record.Writer)
	contract.Invariant(err == nil, "own record cannot be released", "error", err)
	s := pendingUpdate{key: key, target: released, expected: revision}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	ctx, cancel = context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if done := r.reconcile(ctx, &s); !done {
		r.reconciler.add(s)
	}
}

// recordOutcome records the outcome of an own record in the background.
func (r *recordStore) recordOutcome(key string, revision int64, record Record) {
	r.reconciler.add(pendingUpdate{key: key, target: record, expected: revision})
}

// reconcile tries to bring a record to its target state. It reports whether
// nothing is left to do. Each of its writes is conditional, so that repeating
// it is harmless, and a success leaves no older write that can take effect.
func (r *recordStore) reconcile(ctx context.Context, s *pendingUpdate) bool {
	result, err := r.batch.commit(ctx, conditionalWrite(s.key, s.expected, s.target))
	if err != nil {
		return false
	}
	if result.Applied {
		return true
	}
	row, err := r.table.Read(ctx, s.key)
	if errors.Is(err, platform.ErrNotFound) {
		// An own record that is gone was deleted after its retention time.
		done := s.expected != 0
		s.expected = 0
		return done
	}
	if err != nil {
		return false
	}
	found, err := decodeRecord(row.Value)
	if err != nil || found.Writer != s.target.Writer {
		return true
	}
	if found.State != Dispatched {
		return true // an earlier write took effect although its answer was lost
	}
	s.expected = row.Revision
	return false
}

// sleep returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
