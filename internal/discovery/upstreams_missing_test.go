package discovery

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/pool"
)

// Guards against live upstreams that are removed because the store was away again before they could
// write their entries: callers then have no upstream at all.
func TestMissingUpstreamsAreKeptWhileStoreIsAwayAgain(t *testing.T) {
	for _, begin := range []struct {
		name  string
		apply func(l *UpstreamList)
		grace time.Duration
	}{
		{"after a return", func(l *UpstreamList) { l.Apply(returned(deletedRow("a", 1), deletedRow("b", 1)), time.Second) }, returnGrace},
		{"after an outage", func(l *UpstreamList) {
			l.Apply(Batch{Rows: []Row{deletedRow("a", 1), deletedRow("b", 1)}}, 10*time.Second)
		}, lapseGrace},
	} {
		for _, away := range []time.Duration{begin.grace + 100*time.Millisecond, 10 * time.Second} {
			t.Run(fmt.Sprintf("%s, away for %v", begin.name, away), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					p := pool.New()
					l := NewUpstreamList(p, processDecoder{}, discardLogger())
					l.Apply(Batch{Rows: []Row{row("a", "ready 1 x", 1), row("b", "ready 1 y", 2)}}, 0)
					begin.apply(l)
					l.StoreStateChanged(true)
					time.Sleep(away)
					synctest.Wait()
					g.Expect(usable(p)).To(Equal("a b"), "no response of the store")
					l.Apply(Batch{Era: 2}, away)
					l.StoreStateChanged(false)
					g.Expect(usable(p)).To(Equal("a b"), "first response")
					time.Sleep(lapseGrace - lastReadMargin)
					l.Apply(Batch{Era: 2, Rows: []Row{row("a", "ready 1 x", 2)}}, lapseGrace-lastReadMargin)
					time.Sleep(lastReadMargin)
					synctest.Wait()
					g.Expect(usable(p)).To(Equal("a"))
				})
			})
		}
	}
}

// Guards against upstreams that stay although they do not come back, at an instance that gets its
// updates late and irregularly.
func TestMissingUpstreamsAreRemovedByLateUpdatesToo(t *testing.T) {
	for _, interval := range []time.Duration{700 * time.Millisecond, 1900 * time.Millisecond, 2400 * time.Millisecond} {
		for _, age := range []time.Duration{0, 600 * time.Millisecond} {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				p := pool.New()
				l := NewUpstreamList(p, processDecoder{}, discardLogger())
				l.Apply(Batch{Rows: []Row{row("a", "ready 1 x", 1), row("b", "ready 1 y", 2)}}, 0)
				l.Apply(returned(deletedRow("b", 1)), time.Second)
				began := time.Now()
				for usable(p) != "a" {
					time.Sleep(interval)
					l.Apply(Batch{Era: 2, Age: age}, interval)
					synctest.Wait()
					g.Expect(time.Since(began)).To(BeNumerically("<", returnGrace+lapseGrace+age+2*interval), "updates every %v", interval)
				}
			})
		}
	}
}

// Guards against upstreams that stay for good at a follower whose last call to the store failed: it
// makes no further one while its peer has new rows.
func TestMissingUpstreamsAreRemovedAtFollowerThatMakesNoCall(t *testing.T) {
	for _, age := range []time.Duration{0, 600 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			p := pool.New()
			l := NewUpstreamList(p, processDecoder{}, discardLogger())
			l.Apply(Batch{Rows: []Row{row("a", "ready 1 x", 1), row("b", "ready 1 y", 2)}}, 0)
			l.Apply(returned(deletedRow("b", 1)), time.Second)
			l.StoreStateChanged(true)
			began := time.Now()
			for range 2 {
				time.Sleep(time.Second)
				l.Apply(Batch{Era: 2, Age: time.Since(began) + time.Second}, 0)
				g.Expect(usable(p)).To(Equal("a b"), "the peer has not read the store either")
			}
			back := time.Now()
			for usable(p) != "a" {
				time.Sleep(500 * time.Millisecond)
				l.Apply(Batch{Era: 2, Age: age}, 500*time.Millisecond)
				synctest.Wait()
				g.Expect(time.Since(back)).To(BeNumerically("<", lapseGrace+age+time.Second))
			}
			g.Expect(time.Since(back)).To(BeNumerically(">=", lapseGrace))
		})
	}
}

// failSingleCalls applies updates for a while, between which single calls to the store fail.
func failSingleCalls(l *UpstreamList, interval, d time.Duration, while func() bool) {
	for began := time.Now(); time.Since(began) < d && while(); {
		time.Sleep(interval - 50*time.Millisecond)
		l.StoreStateChanged(true)
		time.Sleep(50 * time.Millisecond)
		l.Apply(Batch{Era: 2}, interval)
		l.StoreStateChanged(false)
		synctest.Wait()
	}
}

// Guards against upstreams that have left and stay listed for as long as the calls of another topic fail.
func TestMissingUpstreamsAreRemovedWhileSingleCallsFail(t *testing.T) {
	for _, interval := range []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			p := pool.New()
			l := NewUpstreamList(p, processDecoder{}, discardLogger())
			l.Apply(Batch{Rows: []Row{row("a", "ready 1 x", 1), row("b", "ready 1 y", 2)}}, 0)
			l.Apply(returned(deletedRow("b", 1)), time.Second)
			failSingleCalls(l, interval, maxLapseTime+lapseGrace+2*interval, func() bool { return usable(p) != "a" })
			g.Expect(usable(p)).To(Equal("a"), "a call fails every %v", interval)
		})
	}
}

// Guards against live upstreams that are removed after an outage because single calls had failed before it.
func TestOutageAfterSingleFailedCallsGivesMissingUpstreamsTimeAgain(t *testing.T) {
	const interval = 300 * time.Millisecond
	for name, store := range map[string]Batch{"outage": {Era: 2}, "second return": {Era: 3, Returned: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				p := pool.New()
				l := NewUpstreamList(p, processDecoder{}, discardLogger())
				l.Apply(Batch{Rows: []Row{row("a", "ready 1 x", 1), row("b", "ready 1 y", 2)}}, 0)
				l.Apply(returned(deletedRow("b", 1)), time.Second)
				failSingleCalls(l, interval, maxLapseTime-interval, func() bool { return true })
				g.Expect(usable(p)).To(Equal("a b"))
				l.StoreStateChanged(true)
				time.Sleep(10 * time.Second)
				l.Apply(store, 10*time.Second)
				l.StoreStateChanged(false)
				failSingleCalls(l, interval, lapseGrace+2*interval, func() bool { return true })
				g.Expect(usable(p)).To(Equal("a b"))
			})
		})
	}
}

// Guards against live upstreams that are removed when the store is away again right after it has
// come back from a copy.
func TestOutageAfterReturnRemovesNoUpstream(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 2400 * time.Millisecond} {
		for _, away := range []time.Duration{1500 * time.Millisecond, 2400 * time.Millisecond, 6 * time.Second} {
			if away < pause {
				continue // no call fails
			}
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				eras := NewEraTracker()
				store := newReturningStore(eras)
				older := store.copy()
				store.write("a", "ready 1 x")
				store.write("b", "ready 1 y")
				p := pool.New()
				l := NewUpstreamList(p, processDecoder{}, discardLogger())
				began := time.Now()
				clock := func() time.Duration { return time.Since(began) }
				reader := NewReader(ReaderConfig{
					Store: store, Topic: Upstreams, Schedule: func() PollSchedule { return l.Schedule(PollSchedule{Pause: pause}) },
					ChangeLog: NewChangeLog(Upstreams, clock, l.SameEntry, discardLogger(), l.Apply),
					Backoff:   NewBackoff(l.StoreStateChanged), Clock: clock, Logger: discardLogger(), Eras: eras,
				})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go reader.Run(ctx)
				time.Sleep(time.Second)
				store.returnFrom(older)
				eras.Observe(2)
				time.Sleep(100 * time.Millisecond)
				store.set(func(s *returningStore) { s.down = true })
				time.AfterFunc(away, func() { store.set(func(s *returningStore) { s.down = false }) })
				time.AfterFunc(away+1500*time.Millisecond, func() {
					store.write("a", "ready 1 x")
					store.write("b", "ready 1 y")
				})
				for passed := time.Duration(0); passed < away+6*time.Second; passed += 10 * time.Millisecond {
					time.Sleep(10 * time.Millisecond)
					g.Expect(usable(p)).To(Equal("a b"), "pause %v, away for %v: %v after the outage began", pause, away, passed)
				}
			})
		}
	}
}
