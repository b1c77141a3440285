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
	// claimTries bounds how often an uncertain insert is read back and repeated.
	claimTries = 5
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
	breaker   breaker
	settler   *settler
	storeWait time.Duration
	log       logrus.FieldLogger
}

func newRecorder(table platform.TableService, storeWait time.Duration, log logrus.FieldLogger) *recorder {
	r := &recorder{table: table, batch: newBatcher(table, storeWait), storeWait: storeWait, log: log}
	r.settler = newSettler(r.settle, log)
	return r
}

// claim is the result of the attempt to create a record, or to take a released
// one over.
type claim struct {
	owned      bool // the record exists under our own writer token
	revision   int64
	existing   *Record // a record of another submission, if not owned
	retryAfter time.Duration
}

// claim writes record under its own writer token if there is none, or if the
// existing one is released. If neither owned nor existing is set, the store is
// down: the submission must not send, and a record that may still appear is
// released in the background.
func (r *recorder) claim(caller context.Context, key string, record Record) claim {
	if retryAfter, ok := r.breaker.allow(time.Now()); !ok {
		return claim{retryAfter: retryAfter}
	}
	ctx, cancel := context.WithTimeout(caller, r.storeWait)
	defer cancel()
	c, settlement := r.tryClaim(ctx, key, record)
	down := !c.owned && c.existing == nil
	if !down || caller.Err() == nil {
		// A claim that ended with its caller's deadline says nothing about the store.
		r.breaker.report(!down, time.Now())
	}
	if down {
		c.retryAfter = breakerPause
	}
	if settlement != nil {
		r.settler.add(*settlement)
	}
	return c
}

// tryClaim also returns the settlement of a write that may take effect later.
func (r *recorder) tryClaim(ctx context.Context, key string, record Record) (claim, *settlement) {
	expected := int64(0)   // revision on which the write is conditional
	mayHaveEffect := false // a write conditional on expected may still take effect
	leave := func() *settlement {
		if !mayHaveEffect {
			return nil
		}
		released, err := record.Release(record.Writer)
		contract.Invariant(err == nil, "own record cannot be released", "error", err)
		return &settlement{key: key, target: released, expected: expected}
	}
	for range claimTries {
		result, err := r.batch.commit(ctx, conditionalWrite(key, expected, record))
		switch {
		case err == nil && result.Applied:
			return claim{owned: true, revision: result.Revision}, nil
		case err == nil:
		case errors.Is(err, platform.ErrUncertain):
			mayHaveEffect = true
		default:
			return claim{}, leave()
		}
		row, err := r.table.Read(ctx, key)
		if errors.Is(err, platform.ErrNotFound) {
			row = platform.Row{Key: key}
		} else if err != nil {
			return claim{}, leave()
		}
		if row.Revision != expected {
			// The row has moved on: a write conditional on the old revision
			// can no longer take effect.
			mayHaveEffect = false
			expected = row.Revision
		}
		if row.Revision == 0 {
			continue
		}
		found, err := decodeRecord(row.Value)
		if err != nil {
			r.log.WithError(err).WithField("record", key).Error("dispatch record is not readable")
			return claim{existing: &Record{State: Unknown, Fingerprint: record.Fingerprint}}, leave()
		}
		if found.Writer == record.Writer {
			contract.Invariant(found.State == Dispatched, "own record in a state that was not written", "state", found.State)
			return claim{owned: true, revision: row.Revision}, nil
		}
		if found.State != Released || found.Fingerprint != record.Fingerprint {
			return claim{existing: &found}, leave()
		}
		next, err := found.TakeOver(record.Writer, record.CreatedAt)
		contract.Invariant(err == nil, "released record cannot be taken over", "error", err)
		record = next
	}
	return claim{}, leave()
}

func conditionalWrite(key string, revision int64, record Record) platform.Transaction {
	return platform.Transaction{
		Conditions: []platform.Condition{{Key: key, Revision: revision}},
		Writes:     []platform.Write{{Key: key, Value: record.encode()}},
	}
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
