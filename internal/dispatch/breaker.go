package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/platform"
)

// breakerProbeInterval is the mean time between two probes of a failing table service
// and the time after which refused callers may come back. It bounds how long
// calls are refused after the service has recovered.
const breakerProbeInterval = 500 * time.Millisecond

// breaker refuses calls while the table service fails. The service is tried by
// probes in the background: a call that tried it would be refused only after a
// timeout.
type breaker struct {
	tripped   chan struct{} // receives when the service begins to fail
	recovered chan struct{} // receives when it has recovered

	mu      sync.Mutex // guards the field below
	failing bool
}

func newBreaker() *breaker {
	return &breaker{tripped: make(chan struct{}, 1), recovered: make(chan struct{}, 1)}
}

// allow reports whether a call may use the table service, else when to retry.
func (b *breaker) allow() (retryAfter time.Duration, ok bool) {
	if b.isFailing() {
		return breakerProbeInterval, false
	}
	return 0, true
}

func (b *breaker) isFailing() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failing
}

// report tells how a use of the table service ended.
func (b *breaker) report(ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := b.recovered
	if !ok {
		changed = b.tripped
	}
	if b.failing == ok {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
	b.failing = !ok
}

// run probes the table service while it fails, until ctx ends. Each probe may
// take up to timeout; the next one does not wait for it, since its connection
// may hang although the service has recovered.
func (b *breaker) run(ctx context.Context, table platform.TableService, timeout time.Duration) {
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		select {
		case <-b.tripped:
		case <-ctx.Done():
			return
		}
		for b.isFailing() && sleep(ctx, breakerProbeInterval/2+rand.N(breakerProbeInterval)) {
			probes.Go(func() { b.probe(ctx, table, timeout) })
		}
	}
}

// probe makes a commit without effect: a table service that answers reads may
// still fail writes. Its condition never holds, because no row has this key.
func (b *breaker) probe(ctx context.Context, table platform.TableService, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	transaction := platform.Transaction{
		Conditions: []platform.Condition{{Key: probeKey, Revision: 1}},
		Writes:     []platform.Write{},
	}
	if _, err := table.Commit(ctx, []platform.Transaction{transaction}); err == nil {
		b.report(true)
	}
}
