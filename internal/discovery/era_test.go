package discovery

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// takeEffect is the time within which a change must be seen.
	takeEffect = 2 * time.Second
	// maxReturnCalls is more than the calls of one topic that a return of the store causes.
	maxReturnCalls = 3
)

// Guards against reads that are repeated without end after a return of the store, because each
// response is older than the rows by its version, and against changes that are skipped since
// the versions of the earlier era have been given out again.
func TestReaderFollowsReturnOfStore(t *testing.T) {
	for name, written := range map[string]int{"before the versions": 0, "at the same version": 2, "past the versions": 5} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				eras := NewEraTracker()
				store := newReturningStore(eras)
				store.write("a", "1")
				store.write("b", "1")
				copied := store.copy()
				r := startReader(t, store, eras, NewBackoff(func(bool) {}), PollSchedule{Wait: time.Second})
				time.Sleep(3 * time.Second)
				store.write("a", "2")
				store.write("c", "1")
				time.Sleep(time.Second)
				g.Expect(r.values()).To(Equal(store.liveValues()))
				store.set(func(s *returningStore) { s.down = true })
				time.Sleep(2 * time.Second)

				store.takeCounts()
				store.returnFrom(copied)
				for i := range written {
					store.write("d", string(rune('1'+i)))
				}
				time.Sleep(takeEffect)
				g.Expect(r.values()).To(Equal(store.liveValues()))
				reads, changes := store.takeCounts()
				g.Expect(reads).To(BeNumerically("<=", 1))
				g.Expect(reads + changes).To(BeNumerically("<=", maxReturnCalls+2))
				g.Expect(r.returns()).To(Equal(1))
				store.write("a", "4")
				time.Sleep(takeEffect)
				g.Expect(r.values()).To(Equal(store.liveValues()))
				g.Expect(r.returns()).To(Equal(1))
			})
		})
	}
}

// Guards against a read of all rows of a later era that a peer delivers, against a missing one when no peer
// does, and against a wait that counts as a failure of the store.
func TestRowsOfLaterEraAreReadUnlessAPeerDelivers(t *testing.T) {
	for name, c := range map[string]struct{ refused, delivers bool }{
		"call refused, peer delivers": {true, true}, "call refused, no peer": {true, false},
		"era shown before, peer delivers": {false, true}, "era shown before, no peer": {false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				eras, backoff := NewEraTracker(), NewBackoff(func(bool) {})
				store := newReturningStore(eras)
				copied := store.copy()
				store.write("a", "1")
				waits := 0
				r := startReader(t, store, eras, backoff, PollSchedule{Pause: time.Second}, func(config *ReaderConfig) {
					log := config.ChangeLog
					config.AwaitPeers = func(ctx context.Context) bool {
						waits++
						g.Expect(!c.refused || !backoff.Failing()).To(BeTrue(), "the store has responded")
						sleep(ctx, 300*time.Millisecond)
						if c.delivers {
							log.ApplyFrom(Update{Batch: Batch{Era: 2, Version: 0}, Full: true, AsOf: config.Clock()}, Position{}, Position{LogID: "peer", Sequence: 1})
						}
						return c.delivers
					}
				})
				time.Sleep(1500 * time.Millisecond)
				g.Expect(r.values()).To(HaveLen(1))
				store.set(func(s *returningStore) { s.down = true })
				time.Sleep(time.Second)
				store.returnFrom(copied)
				if !c.refused {
					eras.Observe(2)
				}
				store.takeCounts()
				time.Sleep(takeEffect)
				g.Expect(r.values()).To(BeEmpty())
				g.Expect(waits).To(Equal(1))
				reads, _ := store.takeCounts()
				if c.delivers {
					g.Expect(reads).To(BeZero())
				} else {
					g.Expect(reads).To(Equal(1))
				}
				g.Expect(backoff.Failing()).To(BeFalse())
				g.Expect(r.returns()).To(Equal(1))
			})
		})
	}
}

// Guards against a held call across the return of the store, which sees no change until its
// wait is over, while another topic has shown the later era.
func TestReturnOfStoreInterruptsHeldCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		eras := NewEraTracker()
		store := newReturningStore(eras)
		store.write("a", "1")
		copied := store.copy()
		store.write("a", "2")
		held := startReader(t, store, eras, NewBackoff(func(bool) {}), PollSchedule{Wait: 15 * time.Second})
		paused := startReader(t, store, eras, NewBackoff(func(bool) {}), PollSchedule{Pause: 10 * time.Second})
		time.Sleep(time.Second)
		store.takeCounts()
		store.returnFrom(copied)
		store.write("a", "3")
		eras.Observe(2) // the response to a write
		time.Sleep(takeEffect)
		g.Expect(held.values()).To(HaveKeyWithValue("a", "3"))
		g.Expect(paused.values()).To(HaveKeyWithValue("a", "3"))
		reads, changes := store.takeCounts()
		g.Expect(reads).To(Equal(2))
		g.Expect(changes).To(BeNumerically("<=", 2))
	})
}

// Guards against the use of rows of an earlier era after those of a later one.
func TestLateResponsesOfEarlierErasAreDropped(t *testing.T) {
	g := NewWithT(t)
	var now time.Duration
	c := newConsumer()
	l := newTestLog(c, &now)
	at := func(era Era, update Update) Update {
		update.Era = era
		return update
	}
	g.Expect(l.Apply(at(1, fullUpdate(35, 0, row("a", "1", 35))))).To(Equal(NotDropped))
	g.Expect(l.Apply(at(2, fullUpdate(34, 0, row("a", "2", 34))))).To(Equal(NotDropped))
	g.Expect(l.Apply(at(1, fullUpdate(36, 0, row("a", "3", 36))))).To(Equal(DroppedEarlierEra))
	g.Expect(l.Apply(at(0, fullUpdate(36, 0, row("a", "3", 36))))).To(Equal(DroppedEarlierEra), "no era stated")
	g.Expect(l.Apply(at(2, incrementalUpdate(33, 0, row("a", "3", 33))))).To(Equal(DroppedOlderVersion))
	g.Expect(c.state).To(Equal(map[string]string{"a": "2"}))
	g.Expect(l.Apply(at(4, fullUpdate(30, 0)))).To(Equal(NotDropped), "two returns")
	g.Expect(c.state).To(BeEmpty())
	held, _ := l.Revision()
	g.Expect(held).To(Equal(Revision{Era: 4, Version: 30}))
}

// Guards against calls that are repeated without a pause while the store, or a device before it,
// responds with an earlier era or an older version.
func TestDroppedResponsesAreNotRepeatedAtOnce(t *testing.T) {
	for name, fall := range map[string]func(s *returningStore){
		"no era":        func(s *returningStore) { s.era, s.version = 0, 7 },
		"older version": func(s *returningStore) { s.version = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				eras := NewEraTracker()
				store := newReturningStore(eras)
				store.write("a", "1")
				store.write("b", "1")
				r := startReader(t, store, eras, NewBackoff(func(bool) {}), PollSchedule{Wait: time.Second})
				time.Sleep(3 * time.Second)
				store.set(fall)
				store.takeCounts()
				time.Sleep(10 * time.Second)
				reads, changes := store.takeCounts()
				// One turn per 0.45 s on average, after the first few; each has two calls if the
				// store does not have the version.
				g.Expect(reads + changes).To(BeNumerically("<=", 2*(10*1000/300+6)))
				store.set(func(s *returningStore) { s.era = 3 })
				store.write("a", "2")
				time.Sleep(takeEffect)
				g.Expect(r.values()).To(HaveKeyWithValue("a", "2"))
			})
		})
	}
}

// Guards against a configuration that goes back to that of the copy, in the rows that other
// instances get from this one.
func TestConfigurationOfCopyReplacesNoNewerOne(t *testing.T) {
	g := NewWithT(t)
	var now time.Duration
	c := newConsumer()
	l := NewChangeLog(Configuration, func() time.Duration { return now }, SameValue, discardLogger(), c.apply, KeepNewer(OutdatedConfiguration(textDecoder{})))
	apply := func(era Era, version int64, full bool, rows ...Row) {
		g.Expect(l.Apply(Update{Batch: Batch{Rows: rows, Version: version, Era: era}, Full: full, SinceEra: era})).To(Equal(NotDropped))
	}
	held := func() map[string]string {
		update, _, _ := l.Since(Position{}, Revision{})
		values := map[string]string{}
		for _, r := range update.Rows {
			values[r.Key] = string(r.Value)
		}
		return values
	}
	apply(1, 35, true, row("config", "13", 35), row("other", "1", 20))
	apply(2, 34, true, row("config", "12", 30))
	g.Expect(held()).To(Equal(map[string]string{"config": "13"}))
	apply(3, 10, true)
	g.Expect(held()).To(Equal(map[string]string{"config": "13"}), "a copy without a configuration")
	apply(3, 11, false, row("config", "12", 11))
	g.Expect(held()).To(Equal(map[string]string{"config": "13"}), "an older version is written again first")
	apply(3, 12, false, row("config", "16", 12))
	g.Expect(held()).To(Equal(map[string]string{"config": "16"}))
	apply(3, 13, false, row("config", "broken", 13))
	apply(4, 10, true, row("config", "17", 10))
	g.Expect(held()).To(Equal(map[string]string{"config": "17"}))
	g.Expect(c.state).To(Equal(held()))
}

// Guards against rows of a peer that replace newer ones, or such that have no order.
func TestOnlyNewerConfigurationOfPeerIsTaken(t *testing.T) {
	g := NewWithT(t)
	var now time.Duration
	c := newConsumer()
	l := NewChangeLog(Configuration, func() time.Duration { return now }, SameValue, discardLogger(), c.apply, KeepNewer(OutdatedConfiguration(textDecoder{})))
	l.Apply(Update{Batch: Batch{Era: 2, Version: 34, Rows: []Row{row("config", "12", 30), row("other", "1", 20)}}, Full: true, SinceEra: 2})
	changed := l.Changed()
	g.Expect(l.TakeNewer([]Row{row("config", "11", 36), row("other", "2", 36), row("config", "broken", 37), deletedRow("config", 38)})).To(BeZero())
	g.Expect(changed).NotTo(BeClosed())
	g.Expect(l.TakeNewer([]Row{row("config", "13", 29)})).To(Equal(1))
	g.Expect(changed).To(BeClosed())
	g.Expect(c.state).To(Equal(map[string]string{"config": "13", "other": "1"}))
	held, _ := l.Revision()
	g.Expect(held).To(Equal(Revision{Era: 2, Version: 34}))
}

// Guards against changes that are skipped because the response to a call from before a return
// arrives after another instance's rows of the later era.
func TestChangesSinceVersionOfEarlierEraAreDropped(t *testing.T) {
	g := NewWithT(t)
	var now time.Duration
	c := newConsumer()
	l := newTestLog(c, &now)
	l.Apply(Update{Batch: Batch{Era: 1, Version: 35}, Full: true})
	l.ApplyFrom(Update{Batch: Batch{Era: 2, Version: 34}, Full: true}, Position{}, Position{LogID: "peer"})
	// The row "b" has version 35 of era 2, which is not after version 35 of era 1.
	late := Update{Batch: Batch{Era: 2, Version: 36, Rows: []Row{row("a", "1", 36)}}, SinceEra: 1}
	g.Expect(l.Apply(late)).To(Equal(DroppedLaterEra))
	late.SinceEra = 2
	g.Expect(l.Apply(late)).To(Equal(NotDropped))
}

// Guards against a peer that states an era the store never had, so that each response of the store
// is dropped for good.
func TestEraThatStoreContradictsIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		eras := NewEraTracker()
		store := newReturningStore(eras)
		store.write("a", "1")
		r := startReader(t, store, eras, NewBackoff(func(bool) {}), PollSchedule{Wait: time.Second})
		time.Sleep(3 * time.Second)
		faulty := Update{Batch: Batch{Era: 1 << 60, Version: 1 << 60, Rows: []Row{row("a", "x", 1)}}, Full: true}
		g.Expect(r.changeLog.ApplyFrom(faulty, Position{}, Position{LogID: "peer", Sequence: 1})).To(Equal(NotDropped))
		store.takeCounts()
		store.write("a", "2")
		time.Sleep(3 * time.Second)
		g.Expect(r.values()).To(HaveKeyWithValue("a", "2"))
		g.Expect(r.changeLog.Position()).To(Equal(Position{}))
		reads, changes := store.takeCounts()
		g.Expect(reads + changes).To(BeNumerically("<=", 2*contradictionLimit+4))

		store.returnFrom(store.copy())
		store.write("a", "3")
		time.Sleep(takeEffect)
		g.Expect(r.values()).To(HaveKeyWithValue("a", "3"))
	})
}

// Guards against an instance that drops all responses of the store for good after one with a
// damaged era.
func TestEraOfOneDamagedResponseIsGivenUp(t *testing.T) {
	for name, damage := range map[string]func(r *eraReader){
		"in a refusal": func(*eraReader) {},
		"with rows": func(r *eraReader) {
			r.changeLog.Apply(Update{Batch: Batch{Era: 7, Version: 99, Rows: []Row{row("a", "x", 99)}}, Full: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				eras := NewEraTracker()
				store := newReturningStore(eras)
				store.write("a", "1")
				r := startReader(t, store, eras, NewBackoff(func(bool) {}), PollSchedule{Wait: time.Second})
				time.Sleep(3 * time.Second)
				eras.Observe(7)
				damage(r)
				store.write("a", "2")
				time.Sleep(3 * time.Second)
				g.Expect(r.values()).To(HaveKeyWithValue("a", "2"))
				newest, _ := eras.Newest()
				g.Expect(newest).To(Equal(Era(1)))
				store.returnFrom(store.copy())
				store.write("a", "3")
				time.Sleep(takeEffect)
				g.Expect(r.values()).To(HaveKeyWithValue("a", "3"))
			})
		})
	}
}

// interleavedStore runs a function before each response to a call for changes arrives.
type interleavedStore struct {
	Store
	during func()
}

func (s interleavedStore) Changes(ctx context.Context, topic Topic, after int64, wait time.Duration) (Batch, error) {
	batch, err := s.Store.Changes(ctx, topic, after, wait)
	s.during()
	return batch, err
}

// Guards against a store that counts as failing because another instance's update arrives during
// a call, or another topic shows a return.
func TestResponseOvertakenByUpdateIsNoFailure(t *testing.T) {
	for name, overtake := range map[string]func(r *eraReader){
		"update of a peer": func(r *eraReader) {
			held, _ := r.changeLog.Revision()
			r.changeLog.ApplyFrom(Update{Batch: Batch{Era: held.Era, Version: held.Version + 9}, Full: true}, Position{}, Position{LogID: "peer"})
		},
		"return": func(r *eraReader) { r.eras.Observe(2) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				eras := NewEraTracker()
				store := newReturningStore(eras)
				store.write("a", "1")
				var running atomic.Pointer[eraReader]
				var calls atomic.Int32
				var failed atomic.Bool
				backoff := NewBackoff(func(bool) { failed.Store(true) })
				r := startReader(t, interleavedStore{store, func() {
					if calls.Add(1) == 1 {
						overtake(running.Load())
						store.set(func(s *returningStore) { s.era, _ = eras.Newest(); s.version += 10 })
					}
				}}, eras, backoff, PollSchedule{Pause: time.Second})
				running.Store(r)
				time.Sleep(5 * time.Second)
				g.Expect(calls.Load()).To(BeNumerically(">", 1))
				g.Expect(failed.Load()).To(BeFalse())
				store.write("a", "2")
				time.Sleep(takeEffect)
				g.Expect(r.values()).To(HaveKeyWithValue("a", "2"))
			})
		})
	}
}
