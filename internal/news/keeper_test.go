package news

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/discovery"
)

// inWorld runs a test in virtual time with a fleet that has settled.
func inWorld(t *testing.T, domains, each int, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		defer w.close()
		w.start(2*time.Second, domains, each)
		time.Sleep(12 * time.Second)
		test(w)
	})
}

// Guards against calls to the store by each instance of a large fleet, and against
// news that is old because few read it.
func TestOneInstanceOfEachDomainReads(t *testing.T) {
	inWorld(t, 3, 20, func(w *world) {
		for domain, readers := range w.readers() {
			w.g.Expect(readers).To(HaveLen(1), "%s: %v", domain, readers)
			w.g.Expect(w.processes[readers[0]].Weight).To(Equal(0.8))
		}
		w.store.taken()
		w.watch(20 * time.Second)
		calls, _ := w.store.taken()
		w.t.Logf("calls in 20 s: %v", calls)
		// A reader makes a call each 0.84 s for the list and for the configuration, one more
		// for each of its changes, of which there is one a second, one each 2.45 s for crashes
		// and one each 5 s for instances.
		w.g.Expect(total(calls)).To(BeNumerically("<=", 3*(24+24+20+9+5)))
	})
}

// Guards against a start of all instances that asks the store for more than each of
// them needs to know.
func TestStartOfAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		defer w.close()
		w.start(2*time.Second, 3, 30)
		time.Sleep(8 * time.Second)
		calls, _ := w.store.taken()
		w.t.Logf("calls of %d instances in 8 s: %v", len(w.processes), calls)
		// Of each instance: configuration, list, instances and the own row, configuration and list
		// once more while there are no links, and crashes if it has no link after 3 s. Of a reader
		// in 8 s: a call each 0.84 s for list and for configuration, one each 2.45 s for crashes
		// and one each 5 s for instances.
		w.g.Expect(total(calls)).To(BeNumerically("<=", len(w.processes)*7+3*(10+10+4+2)))
		w.watch(5 * time.Second)

		for _, id := range w.order {
			w.run(w.processes[id].Member, 0)
		}
		time.Sleep(2 * time.Second)
		calls, _ = w.store.taken()
		w.t.Logf("calls at their restart and in the 5 s before: %v", calls)
		w.watch(5 * time.Second)
	})
}

// Guards against links and other effort in a small deployment.
func TestSmallDomainsReadForThemselves(t *testing.T) {
	inWorld(t, 3, 3, func(w *world) {
		for _, p := range w.processes {
			w.g.Expect(p.source()).To(Equal(dataSource{readStore: true}))
			w.g.Expect(p.keeper.transport).To(BeNil())
		}
		w.watch(10 * time.Second)
	})
}

// Guards against followers that stay behind when their reader fails, in any way, or
// that all ask the store at once.
func TestReaderFails(t *testing.T) {
	for name, fail := range map[string]func(w *world, readers []contract.InstanceID) (excused []contract.InstanceID){
		"killed": func(w *world, readers []contract.InstanceID) []contract.InstanceID {
			for _, id := range readers {
				w.stop(id)
			}
			return nil
		},
		"frozen": func(w *world, readers []contract.InstanceID) []contract.InstanceID {
			for _, id := range readers {
				w.network.Pause(id)
			}
			return readers
		},
		"cut from the store": func(w *world, readers []contract.InstanceID) []contract.InstanceID {
			w.store.set(func(s *store) {
				s.refuse = func(instance contract.InstanceID) error {
					for _, id := range readers {
						if id == instance {
							return errRefused
						}
					}
					return nil
				}
			})
			return nil
		},
		"answers are lost": func(w *world, readers []contract.InstanceID) []contract.InstanceID {
			for _, from := range readers {
				for _, to := range w.order {
					w.network.Cut(from, to)
				}
			}
			return nil
		},
		"questions are lost": func(w *world, readers []contract.InstanceID) []contract.InstanceID {
			for _, to := range readers {
				for _, from := range w.order {
					w.network.Cut(from, to)
				}
			}
			return nil
		},
		"leaves": func(w *world, readers []contract.InstanceID) []contract.InstanceID {
			for _, id := range readers {
				w.processes[id].keeper.Leave()
			}
			return nil
		},
		"the first three of each domain are killed": func(w *world, _ []contract.InstanceID) []contract.InstanceID {
			for d := range 3 {
				for _, m := range w.domain(d)[:3] {
					w.stop(m.ID)
				}
			}
			return nil
		},
		"half of the machines are killed": func(w *world, _ []contract.InstanceID) []contract.InstanceID {
			for i, id := range w.order {
				if i%2 == 0 {
					w.stop(id)
				}
			}
			return nil
		},
		"a third of the machines is turned away": func(w *world, _ []contract.InstanceID) []contract.InstanceID {
			turned := map[contract.InstanceID]bool{}
			for _, id := range w.order {
				turned[id] = w.random.IntN(3) == 0
			}
			for d := range 3 {
				turned[w.domain(d)[0].ID] = true
			}
			w.store.set(func(s *store) {
				s.refuse = func(instance contract.InstanceID) error {
					if turned[instance] {
						return errRefused
					}
					return nil
				}
			})
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 3, 10, func(w *world) {
				var readers []contract.InstanceID
				for _, ids := range w.readers() {
					readers = append(readers, ids...)
				}
				w.store.taken()
				excused := fail(w, readers)
				w.watch(9*time.Second, excused...)
				calls, refused := w.store.taken()
				w.t.Logf("calls in 9 s: %v, refused %d", calls, refused)
				// Less than half of what instances that read alone would make: 9 s / 2.4 s for each of
				// configuration and list, one for each of nine changes of the configuration, 9 s / 2.45 s
				// for crashes and 9 s / 5 s for instances.
				urgent := calls[discovery.Configuration] + calls[discovery.Upstreams]
				w.g.Expect(urgent).To(BeNumerically("<", len(w.processes)*(4+4+9)/2))
				w.g.Expect(total(calls)).To(BeNumerically("<", len(w.processes)*(4+4+9+4+2)/2))
			})
		})
	}
}

// domain returns the members of a failure domain, the first reader first.
func (w *world) domain(d int) []Member {
	var members []Member
	for _, p := range w.processes {
		if p.Domain == contract.FailureDomainID("d"+string(rune('0'+d))) {
			members = append(members, p.Member)
		}
	}
	sortByReadPriority(members)
	return members
}

// Guards against an instance that knows that the store is back and does not ask it for
// what it needs.
func TestOldNewsIsReadWhenTheStoreIsBack(t *testing.T) {
	inWorld(t, 1, 8, func(w *world) {
		w.store.set(func(s *store) { s.refuse = func(contract.InstanceID) error { return errRefused } })
		time.Sleep(4500 * time.Millisecond)
		w.store.set(func(s *store) { s.refuse = nil })
		back := time.Now()
		knows, fresh := map[contract.InstanceID]time.Duration{}, map[contract.InstanceID]time.Duration{}
		for len(fresh) < len(w.processes) && time.Since(back) < bound {
			time.Sleep(5 * time.Millisecond)
			since := time.Since(back)
			for id, p := range w.processes {
				if _, known := knows[id]; !known && !p.pacer.Failing() {
					knows[id] = since
				}
				if _, known := fresh[id]; !known && p.age(discovery.Configuration) < since && p.age(discovery.Upstreams) < since {
					fresh[id] = since
				}
			}
		}
		for _, id := range w.order {
			w.g.Expect(fresh).To(HaveKey(id))
			if _, known := knows[id]; !known {
				continue // a peer told it
			}
			w.g.Expect(fresh[id]-knows[id]).To(BeNumerically("<=", 100*time.Millisecond), "%s knows that the store is back after %s", id, knows[id])
		}
	})
}

// Guards against instances that stay behind after an outage of the store, flood it
// meanwhile or at its return, or lose rows while it has forgotten its history.
func TestStoreFails(t *testing.T) {
	for name, c := range map[string]struct{ begin, end func(s *store) }{
		"down":    {func(s *store) { s.refuse = func(contract.InstanceID) error { return errRefused } }, func(s *store) { s.refuse = nil }},
		"silent":  {func(s *store) { s.silent = true }, func(s *store) { s.silent = false }},
		"slow":    {func(s *store) { s.delay = 240 * time.Millisecond }, func(s *store) { s.delay = storeDelay }},
		"forgets": {func(s *store) { s.oldest = s.version }, func(s *store) { s.oldest = 0 }},
		"silent, then it has forgotten": {func(s *store) { s.silent = true }, func(s *store) {
			s.silent = false
			s.oldest = s.version
		}},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 3, 10, func(w *world) {
				w.store.taken()
				w.store.set(c.begin)
				for i := range 9 {
					time.Sleep(500 * time.Millisecond)
					w.store.write(discovery.Upstreams, "upstream-1", string(rune('a'+i)), false)
				}
				calls, refused := w.store.taken()
				w.t.Logf("calls in 4.5 s: %v, refused %d", calls, refused)
				// Three of each instance, and ten of each of five that may read in a failure domain.
				w.g.Expect(total(calls)).To(BeNumerically("<=", 3*len(w.processes)+3*maxStaleSources*10))
				w.store.set(c.end)
				back := time.Now()
				time.Sleep(bound / 2)
				for id, p := range w.processes {
					w.g.Expect(p.value(discovery.Upstreams, "upstream-1")).To(Equal("i"), "%s after %s", id, time.Since(back))
				}
				w.watch(6 * time.Second)
			})
		})
	}
}
