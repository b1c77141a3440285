package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Limits of the list of records to settle. A record that is dropped stays
// dispatched, so that its key gets the outcome unknown: safe, but the caller
// learns less. The byte limit holds the memory of an instance during a long
// outage of the table service; beyond it answers are recorded by status only.
const (
	settleMax        = 8192
	settleMaxBytes   = 16 << 20
	settleParallel   = batchSize
	settleTimeout    = 5 * time.Second
	settleBackoffMin = 100 * time.Millisecond
	settleBackoffMax = 5 * time.Second
)

// settlement is a record that has to reach its target state. expected is the
// revision on which the next write is conditional.
type settlement struct {
	key      string
	target   Record
	expected int64
}

// settler brings records to their final state in the background: releases and
// outcomes that could not be written while the caller waited.
type settler struct {
	try  func(context.Context, *settlement) bool
	log  logrus.FieldLogger
	wake chan struct{}
	// recovered receives when the table service works again: what waits is then
	// tried at once, because callers come back for the keys.
	recovered <-chan struct{}

	mu      sync.Mutex // guards the fields below; never held during I/O
	waiting []settlement
	open    int // waiting or being tried
	bytes   int // bodies of open settlements
	dropped int64
}

func newSettler(try func(context.Context, *settlement) bool, recovered <-chan struct{}, log logrus.FieldLogger) *settler {
	return &settler{try: try, log: log, wake: make(chan struct{}, 1), recovered: recovered}
}

func (s *settler) add(item settlement) {
	if s.store(item) {
		select {
		case s.wake <- struct{}{}:
		default:
		}
		return
	}
	s.log.WithField("record", item.key).Warn("too many dispatch records to settle; record stays dispatched")
}

func (s *settler) store(item settlement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= settleMax {
		s.dropped++
		return false
	}
	if s.bytes+len(item.target.Body) > settleMaxBytes {
		item.target = item.target.withoutBody()
	}
	s.bytes += len(item.target.Body)
	s.open++
	s.waiting = append(s.waiting, item)
	return true
}

func (s *settler) take() []settlement {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(settleParallel, len(s.waiting))
	batch := append([]settlement{}, s.waiting[:n]...)
	s.waiting = append([]settlement{}, s.waiting[n:]...)
	return batch
}

func (s *settler) finished(item settlement, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !done {
		s.waiting = append(s.waiting, item)
		return
	}
	s.open--
	s.bytes -= len(item.target.Body)
}

func (s *settler) remaining() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// round tries one batch and reports how many were tried and how many are done.
func (s *settler) round(ctx context.Context) (tried, done int) {
	batch := s.take()
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	results := make([]bool, len(batch))
	var group sync.WaitGroup
	for i := range batch {
		group.Go(func() { results[i] = s.try(ctx, &batch[i]) })
	}
	group.Wait()
	for i, ok := range results {
		s.finished(batch[i], ok)
		if ok {
			done++
		}
	}
	return len(batch), done
}

// run settles records until ctx ends.
func (s *settler) run(ctx context.Context) {
	backoff := settleBackoffMin
	for ctx.Err() == nil {
		tried, done := s.round(ctx)
		if tried == 0 {
			select {
			case <-s.wake:
			case <-ctx.Done():
			}
			continue
		}
		if done == tried {
			backoff = settleBackoffMin
			continue
		}
		recovered := s.pause(ctx, backoff/2+rand.N(backoff))
		switch {
		case recovered:
			backoff = settleBackoffMin
		case done == 0:
			backoff = min(2*backoff, settleBackoffMax)
		}
	}
}

// pause waits for d or until the table service has recovered.
func (s *settler) pause(ctx context.Context, d time.Duration) (recovered bool) {
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

// flush settles all records or returns an error when ctx ends.
func (s *settler) flush(ctx context.Context) error {
	for s.remaining() > 0 {
		tried, done := s.round(ctx)
		if tried > 0 && done == tried {
			continue
		}
		if !sleep(ctx, settleBackoffMin) {
			return errors.Newf("%d dispatch records are not settled", s.remaining())
		}
	}
	return nil
}
