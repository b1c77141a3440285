package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Limits of the queue of pending record updates. If an update is dropped, its
// record stays in state Dispatched and its key gets the outcome unknown, which is
// safe but less precise. The byte limit bounds the memory used during a long
// outage of the table service; beyond it only the status of a response is kept.
const (
	reconcileMaxRecords  = 8192
	reconcileMaxBytes    = 16 << 20
	reconcileParallelism = batchMaxTransactions
	reconcileTimeout     = 5 * time.Second
	reconcileBackoffMin  = 100 * time.Millisecond
	reconcileBackoffMax  = 5 * time.Second
)

// pendingUpdate is the outstanding write of a record's target state. expected is
// the revision on which the next write is conditional.
type pendingUpdate struct {
	key      string
	target   Record
	expected int64
}

// reconciler writes record updates in the background until they take effect:
// outcomes, and releases that could not be written while the caller waited.
type reconciler struct {
	reconcile func(context.Context, *pendingUpdate) bool
	log       logrus.FieldLogger
	wake      chan struct{}
	// recovered is signalled when the table service has recovered. Queued updates
	// are then written immediately, because callers retry with the same keys.
	recovered <-chan struct{}

	mu      sync.Mutex // guards the fields below; never held during I/O
	queue   []pendingUpdate
	pending int // updates that are queued or being written
	bytes   int // size of the bodies of pending updates
	dropped int64
}

func newReconciler(reconcile func(context.Context, *pendingUpdate) bool, recovered <-chan struct{}, log logrus.FieldLogger) *reconciler {
	return &reconciler{reconcile: reconcile, log: log, wake: make(chan struct{}, 1), recovered: recovered}
}

func (r *reconciler) add(item pendingUpdate) {
	if r.enqueue(item) {
		select {
		case r.wake <- struct{}{}:
		default:
		}
		return
	}
	r.log.WithField("record", item.key).Warn("queue of dispatch record updates is full; record stays dispatched")
}

func (r *reconciler) enqueue(item pendingUpdate) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending >= reconcileMaxRecords {
		r.dropped++
		return false
	}
	if r.bytes+len(item.target.Body) > reconcileMaxBytes {
		item.target = item.target.withoutBody()
	}
	r.bytes += len(item.target.Body)
	r.pending++
	r.queue = append(r.queue, item)
	return true
}

func (r *reconciler) dequeue() []pendingUpdate {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(reconcileParallelism, len(r.queue))
	batch := append([]pendingUpdate{}, r.queue[:n]...)
	r.queue = append([]pendingUpdate{}, r.queue[n:]...)
	return batch
}

func (r *reconciler) finish(item pendingUpdate, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !done {
		r.queue = append(r.queue, item)
		return
	}
	r.pending--
	r.bytes -= len(item.target.Body)
}

func (r *reconciler) remaining() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pending
}

// reconcileBatch tries one batch of updates and returns how many were tried and
// how many are done.
func (r *reconciler) reconcileBatch(ctx context.Context) (tried, done int) {
	batch := r.dequeue()
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	results := make([]bool, len(batch))
	var group sync.WaitGroup
	for i := range batch {
		group.Go(func() { results[i] = r.reconcile(ctx, &batch[i]) })
	}
	group.Wait()
	for i, ok := range results {
		r.finish(batch[i], ok)
		if ok {
			done++
		}
	}
	return len(batch), done
}

// run writes pending updates until ctx ends.
func (r *reconciler) run(ctx context.Context) {
	backoff := reconcileBackoffMin
	for ctx.Err() == nil {
		tried, done := r.reconcileBatch(ctx)
		if tried == 0 {
			select {
			case <-r.wake:
			case <-ctx.Done():
			}
			continue
		}
		if done == tried {
			backoff = reconcileBackoffMin
			continue
		}
		recovered := r.waitForRetry(ctx, backoff/2+rand.N(backoff))
		switch {
		case recovered:
			backoff = reconcileBackoffMin
		case done == 0:
			backoff = min(2*backoff, reconcileBackoffMax)
		}
	}
}

// waitForRetry waits for d, but returns early when the table service has
// recovered or ctx ends.
func (r *reconciler) waitForRetry(ctx context.Context, d time.Duration) (recovered bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return false
	case <-r.recovered:
		return true
	case <-ctx.Done():
		return false
	}
}

// flush writes all pending updates, or returns an error when ctx ends.
func (r *reconciler) flush(ctx context.Context) error {
	for r.remaining() > 0 {
		tried, done := r.reconcileBatch(ctx)
		if tried > 0 && done == tried {
			continue
		}
		if !sleep(ctx, reconcileBackoffMin) {
			return errors.Newf("%d dispatch record updates were not written", r.remaining())
		}
	}
	return nil
}
