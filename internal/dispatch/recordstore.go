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
	// releaseTimeout is how long the result of a call is delayed for the release
	// of its record, so that a caller who retries soon finds it released.
	releaseTimeout = 500 * time.Millisecond
	// pollInterval is the mean interval between reads of the record of another
	// submission.
	pollInterval = 100 * time.Millisecond
)

// recordStore reads and writes dispatch records in the table service.
type recordStore struct {
	table        platform.TableService
	batch        *batcher
	breaker      *breaker
	reconciler   *reconciler
	storeTimeout time.Duration
	retention    time.Duration
	recent       *recentRecords
	guard        restoreGuard
	onWentBack   func(evidence string) // may be nil
	log          logrus.FieldLogger
}

func newRecordStore(config Config) *recordStore {
	r := &recordStore{
		table: config.Table, batch: newBatcher(config.Table, config.StoreTimeout), breaker: newBreaker(), storeTimeout: config.StoreTimeout,
		retention: config.Retention, recent: newRecentRecords(), onWentBack: config.OnTableWentBack, log: config.Log,
	}
	r.reconciler = newReconciler(r.reconcile, r.breaker.recovered, config.Log)
	return r
}

func conditionalWrite(key string, revision int64, record Record) platform.Transaction {
	return platform.Transaction{
		Conditions: []platform.Condition{{Key: key, Revision: revision}},
		Writes:     []platform.Write{{Key: key, Value: record.encode()}},
	}
}

// lookup reads a record. It returns false if the record does not exist or cannot
// be decoded, or if the store does not respond in time.
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

// awaitChange polls the record of another submission until it is no longer in
// state Dispatched or ctx ends. It returns the record as last read.
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

// release releases an owned record whose call did not run. It waits up to
// releaseTimeout or until the deadline; after that the release continues in the
// background. The submission must not send the call afterwards.
func (r *recordStore) release(deadline time.Time, key string, revision int64, record Record) {
	released, err := record.Release(record.Writer)
	contract.Invariant(err == nil, "own record cannot be released", "error", err)
	r.recent.put(key, released, time.Now())
	update := pendingUpdate{key: key, target: released, expected: revision}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	ctx, cancel = context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if done := r.reconcile(ctx, &update); !done {
		r.reconciler.add(update)
	}
}

// recordOutcome writes the outcome of an owned record in the background.
func (r *recordStore) recordOutcome(key string, revision int64, record Record) {
	r.recent.put(key, record, time.Now())
	r.reconciler.add(pendingUpdate{key: key, target: record, expected: revision})
}

// reconcile tries to bring a record to its target state. It returns true when
// the update needs no further attempt. The write is conditional: repeating it is
// harmless, and once it is applied no older write can take effect.
func (r *recordStore) reconcile(ctx context.Context, update *pendingUpdate) bool {
	result, err := r.batch.commit(ctx, conditionalWrite(update.key, update.expected, update.target))
	if err != nil {
		return false
	}
	if result.Applied {
		return true
	}
	row, err := r.table.Read(ctx, update.key)
	if errors.Is(err, platform.ErrNotFound) {
		if update.expected != 0 {
			if time.Since(update.target.CreatedAt) > r.retention {
				return true // deleted after its retention time
			}
			r.tableWentBack("dispatch_record")
		}
		update.expected = 0
		return false
	}
	if err != nil {
		return false
	}
	found, err := decodeRecord(row.Value)
	if err != nil || found.Writer != update.target.Writer {
		return true
	}
	if found.State != Dispatched || update.target.State == Dispatched {
		return true // an earlier write took effect although its response was lost
	}
	update.expected = row.Revision
	return false
}

// sleep waits for d. It returns false if ctx ends first.
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
