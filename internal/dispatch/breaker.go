package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/platform"
)

// breakerProbeInterval is the mean interval between probes of a failing table
// service and the retry-after time of refused calls. It bounds how long calls
// are refused after the service has recovered.
const breakerProbeInterval = 500 * time.Millisecond

// breaker is a circuit breaker for the table service: it refuses calls while the
// service fails. Background probes detect the recovery, because a call used as
// a probe would have to wait for its timeout before it is refused.
type breaker struct {
	tripped   chan struct{} // signalled when the service begins to fail
	recovered chan struct{} // signalled when the service has recovered

	mu      sync.Mutex // guards failing
	failing bool
}

func newBreaker() *breaker {
	return &breaker{tripped: make(chan struct{}, 1), recovered: make(chan struct{}, 1)}
}

// allow reports whether a call may use the table service. If not, it returns
// the time after which the caller may retry.
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

// report records whether a request to the table service succeeded.
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

// run probes the table service while it fails, until ctx ends. A probe may take
// up to timeout. Probes overlap, because one may hang on its connection after
// the service has recovered.
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

// probe sends a commit without effect, because a table service that serves reads
// may still fail writes. The condition never holds: no row has this key.
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
