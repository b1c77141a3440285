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
	// are then tried immediately, because callers retry their keys.
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

func (s *reconciler) add(item pendingUpdate) {
	if s.enqueue(item) {
		select {
		case s.wake <- struct{}{}:
		default:
		}
		return
	}
	s.log.WithField("record", item.key).Warn("queue of dispatch record updates is full; record stays dispatched")
}

func (s *reconciler) enqueue(item pendingUpdate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending >= reconcileMaxRecords {
		s.dropped++
		return false
	}
	if s.bytes+len(item.target.Body) > reconcileMaxBytes {
		item.target = item.target.withoutBody()
	}
	s.bytes += len(item.target.Body)
	s.pending++
	s.queue = append(s.queue, item)
	return true
}

func (s *reconciler) dequeue() []pendingUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(reconcileParallelism, len(s.queue))
	batch := append([]pendingUpdate{}, s.queue[:n]...)
	s.queue = append([]pendingUpdate{}, s.queue[n:]...)
	return batch
}

func (s *reconciler) finish(item pendingUpdate, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !done {
		s.queue = append(s.queue, item)
		return
	}
	s.pending--
	s.bytes -= len(item.target.Body)
}

func (s *reconciler) remaining() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending
}

// reconcileBatch tries one batch of updates and returns how many were tried and
// how many are done.
func (s *reconciler) reconcileBatch(ctx context.Context) (tried, done int) {
	batch := s.dequeue()
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	results := make([]bool, len(batch))
	var group sync.WaitGroup
	for i := range batch {
		group.Go(func() { results[i] = s.reconcile(ctx, &batch[i]) })
	}
	group.Wait()
	for i, ok := range results {
		s.finish(batch[i], ok)
		if ok {
			done++
		}
	}
	return len(batch), done
}

// run writes pending updates until ctx ends.
func (s *reconciler) run(ctx context.Context) {
	backoff := reconcileBackoffMin
	for ctx.Err() == nil {
		tried, done := s.reconcileBatch(ctx)
		if tried == 0 {
			select {
			case <-s.wake:
			case <-ctx.Done():
			}
			continue
		}
		if done == tried {
			backoff = reconcileBackoffMin
			continue
		}
		recovered := s.waitForRetry(ctx, backoff/2+rand.N(backoff))
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
func (s *reconciler) waitForRetry(ctx context.Context, d time.Duration) (recovered bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return false
	case <-s.recovered:
		return true
	case <-ctx.Done():
		return false
	}
}

// flush writes all pending updates, or returns an error when ctx ends.
func (s *reconciler) flush(ctx context.Context) error {
	for s.remaining() > 0 {
		tried, done := s.reconcileBatch(ctx)
		if tried > 0 && done == tried {
			continue
		}
		if !sleep(ctx, reconcileBackoffMin) {
			return errors.Newf("%d dispatch record updates were not written", s.remaining())
		}
	}
	return nil
}
