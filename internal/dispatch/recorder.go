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
	// releaseWait is how long an answer is held back for the release of its
	// record. A caller that comes back soon finds the record released.
	releaseWait = 500 * time.Millisecond
	// pollInterval is the mean time between two reads of another's record.
	pollInterval = 100 * time.Millisecond
)

// recorder keeps the dispatch records of this instance in the table service.
type recorder struct {
	table     platform.TableService
	batch     *batcher
	breaker   *breaker
	settler   *settler
	storeWait time.Duration
	log       logrus.FieldLogger
}

func newRecorder(table platform.TableService, storeWait time.Duration, log logrus.FieldLogger) *recorder {
	r := &recorder{table: table, batch: newBatcher(table, storeWait), breaker: newBreaker(), storeWait: storeWait, log: log}
	r.settler = newSettler(r.settle, r.breaker.recovered, log)
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
func (r *recorder) lookup(ctx context.Context, key string) (Record, bool) {
	ctx, cancel := context.WithTimeout(ctx, r.storeWait)
	defer cancel()
	row, err := r.table.Read(ctx, key)
	if err != nil {
		return Record{}, false
	}
	record, err := decodeRecord(row.Value)
	return record, err == nil
}

// await reads another's dispatched record until it has changed or ctx ends. It
// returns the last state read.
func (r *recorder) await(ctx context.Context, key string, last Record) Record {
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
func (r *recorder) release(deadline time.Time, key string, revision int64, record Record) {
	released, err := record.Release(record.Writer)
	contract.Invariant(err == nil, "own record cannot be released", "error", err)
	s := settlement{key: key, target: released, expected: revision}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	ctx, cancel = context.WithTimeout(ctx, releaseWait)
	defer cancel()
	if done := r.settle(ctx, &s); !done {
		r.settler.add(s)
	}
}

// finish records the outcome of an own record in the background.
func (r *recorder) finish(key string, revision int64, record Record) {
	r.settler.add(settlement{key: key, target: record, expected: revision})
}

// settle tries to bring a record to its target state. It reports whether
// nothing is left to do. Each of its writes is conditional, so that repeating
// it is harmless, and a success leaves no older write that can take effect.
func (r *recorder) settle(ctx context.Context, s *settlement) bool {
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
