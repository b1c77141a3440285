package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/platform"
)

// Limits of one batch. The table service counts a commit request as one write,
// regardless of the number of transactions in it. The delay is short compared
// with a write. Without the byte limit a request could carry 64 response bodies
// of maximum size.
const (
	batchDelay           = 5 * time.Millisecond
	batchMaxTransactions = 64
	batchMaxBytes        = 1 << 20
)

// batcher combines independent transactions into one commit request.
type batcher struct {
	table   platform.TableService
	timeout time.Duration // of one commit request

	mu      sync.Mutex // guards the fields below and the queued field of each item; never held during I/O
	pending []*batchItem
	bytes   int
	timer   *time.Timer
}

type batchItem struct {
	transaction platform.Transaction
	queued      bool // not yet part of a commit request
	done        chan struct{}
	result      platform.CommitResult
	err         error
}

func newBatcher(table platform.TableService, timeout time.Duration) *batcher {
	return &batcher{table: table, timeout: timeout}
}

// commit applies one transaction. ErrUnavailable means that the transaction has
// not taken effect and never will; ErrUncertain means that it may have taken
// effect or may still do so.
func (b *batcher) commit(ctx context.Context, tx platform.Transaction) (platform.CommitResult, error) {
	if ctx.Err() != nil {
		return platform.CommitResult{}, errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
	}
	item := &batchItem{transaction: tx, queued: true, done: make(chan struct{})}
	b.add(item)
	select {
	case <-item.done:
		return item.result, item.err
	case <-ctx.Done():
	}
	if b.withdraw(item) {
		return platform.CommitResult{}, errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
	}
	select {
	case <-item.done:
		return item.result, item.err
	default:
		return platform.CommitResult{}, errors.Wrap(platform.ErrUncertain, ctx.Err().Error())
	}
}

func (b *batcher) add(item *batchItem) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(b.pending, item)
	b.bytes += item.size()
	if len(b.pending) >= batchMaxTransactions || b.bytes >= batchMaxBytes {
		b.flushLocked()
		return
	}
	if b.timer == nil {
		b.timer = time.AfterFunc(batchDelay, b.flush)
	}
}

// withdraw removes an item from the queue. It returns false if the item is
// already part of a commit request.
func (b *batcher) withdraw(item *batchItem) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !item.queued {
		return false
	}
	for i, other := range b.pending {
		if other == item {
			b.pending = append(b.pending[:i], b.pending[i+1:]...)
			break
		}
	}
	b.bytes -= item.size()
	return true
}

func (b *batcher) flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flushLocked()
}

func (b *batcher) flushLocked() {
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	batch := b.pending
	b.pending = nil
	b.bytes = 0
	if len(batch) == 0 {
		return
	}
	for _, item := range batch {
		item.queued = false
	}
	go b.send(batch)
}

func (b *batcher) send(batch []*batchItem) {
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	defer cancel()
	transactions := make([]platform.Transaction, len(batch))
	for i, item := range batch {
		transactions[i] = item.transaction
	}
	results, err := b.table.Commit(ctx, transactions)
	if err == nil && len(results) != len(batch) {
		err = errors.Wrapf(platform.ErrUncertain, "%d results for %d transactions", len(results), len(batch))
	}
	if err != nil && !errors.Is(err, platform.ErrUnavailable) {
		// After any other error the request may have reached the table service.
		err = errors.Wrap(platform.ErrUncertain, err.Error())
	}
	for i, item := range batch {
		if err == nil {
			item.result = results[i]
		}
		item.err = err
		close(item.done)
	}
}

func (i *batchItem) size() int {
	n := 0
	for _, w := range i.transaction.Writes {
		n += len(w.Value)
	}
	return n
}
