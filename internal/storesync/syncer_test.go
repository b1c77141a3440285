package storesync

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/discovery"
)

// withHarness runs a test in virtual time with a fleet that has finished its startup.
func withHarness(t *testing.T, domains, each int, test func(h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		defer h.close()
		h.startFleet(2*time.Second, domains, each)
		time.Sleep(12 * time.Second)
		test(h)
	})
}

// Guards against calls to the store by each instance of a large fleet, and against stale
// rows because only few instances read the store.
func TestOneInstanceOfEachDomainReads(t *testing.T) {
	withHarness(t, 3, 20, func(h *harness) {
		for domain, readers := range h.readers() {
			h.g.Expect(readers).To(HaveLen(1), "%s: %v", domain, readers)
			h.g.Expect(h.processes[readers[0]].Weight).To(Equal(0.8))
		}
		h.store.takeCounts()
		h.checkFreshness(20 * time.Second)
		calls, _ := h.store.takeCounts()
		h.t.Logf("calls in 20 s: %v", calls)
		// A reader makes a call each 0.84 s for the list and for the configuration, one more
		// for each change of the configuration (one a second), one each 2.45 s for crashes and
		// one each 5 s for instances.
		h.g.Expect(sum(calls)).To(BeNumerically("<=", 3*(24+24+20+9+5)))
	})
}

// Guards against more calls to the store than necessary when all instances start at once.
func TestStartOfAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		defer h.close()
		h.startFleet(2*time.Second, 3, 30)
		time.Sleep(8 * time.Second)
		calls, _ := h.store.takeCounts()
		h.t.Logf("calls of %d instances in 8 s: %v", len(h.processes), calls)
		// Each instance makes calls for the configuration, list, instances and its own row, for
		// configuration and list once more while there are no links, and for crashes if it has no
		// link after 3 s. A reader makes in 8 s a call each 0.84 s for list and configuration, one
		// each 2.45 s for crashes and one each 5 s for instances.
		h.g.Expect(sum(calls)).To(BeNumerically("<=", len(h.processes)*7+3*(10+10+4+2)))
		h.checkFreshness(5 * time.Second)

		for _, id := range h.ids {
			h.startInstance(h.processes[id].Member, 0)
		}
		time.Sleep(2 * time.Second)
		calls, _ = h.store.takeCounts()
		h.t.Logf("calls at their restart and in the 5 s before: %v", calls)
		h.checkFreshness(5 * time.Second)
	})
}

// Guards against links in a deployment whose failure domains are too small for them.
func TestSmallDomainsReadForThemselves(t *testing.T) {
	withHarness(t, 3, 3, func(h *harness) {
		for _, p := range h.processes {
			h.g.Expect(p.source()).To(Equal(dataSource{readStore: true}))
			h.g.Expect(p.syncer.transport).To(BeNil())
		}
		h.checkFreshness(10 * time.Second)
	})
}

// Guards against followers that miss changes when their reader fails in any way, or that
// all read the store at once.
func TestReaderFails(t *testing.T) {
	for name, fail := range map[string]func(h *harness, readers []contract.InstanceID) (excused []contract.InstanceID){
		"killed": func(h *harness, readers []contract.InstanceID) []contract.InstanceID {
			for _, id := range readers {
				h.stop(id)
			}
			return nil
		},
		"frozen": func(h *harness, readers []contract.InstanceID) []contract.InstanceID {
			for _, id := range readers {
				h.network.Pause(id)
			}
			return readers
		},
		"refused by the store": func(h *harness, readers []contract.InstanceID) []contract.InstanceID {
			h.store.update(func(s *store) {
				s.refuseCall = func(instance contract.InstanceID) error {
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
		"responses are lost": func(h *harness, readers []contract.InstanceID) []contract.InstanceID {
			for _, from := range readers {
				for _, to := range h.ids {
					h.network.DropOneWay(from, to)
				}
			}
			return nil
		},
		"requests are lost": func(h *harness, readers []contract.InstanceID) []contract.InstanceID {
			for _, to := range readers {
				for _, from := range h.ids {
					h.network.DropOneWay(from, to)
				}
			}
			return nil
		},
		"leaving": func(h *harness, readers []contract.InstanceID) []contract.InstanceID {
			for _, id := range readers {
				h.processes[id].syncer.SetLeaving()
			}
			return nil
		},
		"the first three of each domain are killed": func(h *harness, _ []contract.InstanceID) []contract.InstanceID {
			for d := range 3 {
				for _, m := range h.domain(d)[:3] {
					h.stop(m.ID)
				}
			}
			return nil
		},
		"half of the machines are killed": func(h *harness, _ []contract.InstanceID) []contract.InstanceID {
			for i, id := range h.ids {
				if i%2 == 0 {
					h.stop(id)
				}
			}
			return nil
		},
		"the store refuses a third of the machines": func(h *harness, _ []contract.InstanceID) []contract.InstanceID {
			isRefused := map[contract.InstanceID]bool{}
			for _, id := range h.ids {
				isRefused[id] = h.rng.IntN(3) == 0
			}
			for d := range 3 {
				isRefused[h.domain(d)[0].ID] = true
			}
			h.store.update(func(s *store) {
				s.refuseCall = func(instance contract.InstanceID) error {
					if isRefused[instance] {
						return errRefused
					}
					return nil
				}
			})
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, 3, 10, func(h *harness) {
				var readers []contract.InstanceID
				for _, ids := range h.readers() {
					readers = append(readers, ids...)
				}
				h.store.takeCounts()
				exempt := fail(h, readers)
				h.checkFreshness(9*time.Second, exempt...)
				calls, refused := h.store.takeCounts()
				h.t.Logf("calls in 9 s: %v, refused %d", calls, refused)
				// Less than half of the calls of instances without a reader: 9 s / 2.4 s for each of
				// configuration and list, one for each of nine changes of the configuration, 9 s / 2.45 s
				// for crashes and 9 s / 5 s for instances.
				urgent := calls[discovery.Configuration] + calls[discovery.Upstreams]
				h.g.Expect(urgent).To(BeNumerically("<", len(h.processes)*(4+4+9)/2))
				h.g.Expect(sum(calls)).To(BeNumerically("<", len(h.processes)*(4+4+9+4+2)/2))
			})
		})
	}
}

// domain returns the members of a failure domain by descending read priority.
func (h *harness) domain(d int) []Member {
	var members []Member
	for _, p := range h.processes {
		if p.Domain == contract.FailureDomainID("d"+string(rune('0'+d))) {
			members = append(members, p.Member)
		}
	}
	sortByReadPriority(members)
	return members
}

// Guards against an instance that has detected the recovery of the store and does not read
// its stale topics at once, because the backoff of failed reads still applies.
func TestStaleTopicsAreReadWhenStoreRecovers(t *testing.T) {
	withHarness(t, 1, 8, func(h *harness) {
		h.store.update(func(s *store) { s.refuseCall = func(contract.InstanceID) error { return errRefused } })
		time.Sleep(4500 * time.Millisecond)
		h.store.update(func(s *store) { s.refuseCall = nil })
		recovered := time.Now()
		detected, refreshed := map[contract.InstanceID]time.Duration{}, map[contract.InstanceID]time.Duration{}
		for len(refreshed) < len(h.processes) && time.Since(recovered) < changeBound {
			time.Sleep(5 * time.Millisecond)
			since := time.Since(recovered)
			for id, p := range h.processes {
				if _, found := detected[id]; !found && !p.backoff.Failing() {
					detected[id] = since
				}
				if _, found := refreshed[id]; !found && p.age(discovery.Configuration) < since && p.age(discovery.Upstreams) < since {
					refreshed[id] = since
				}
			}
		}
		for _, id := range h.ids {
			h.g.Expect(refreshed).To(HaveKey(id))
			if _, found := detected[id]; !found {
				continue // updated by a peer
			}
			h.g.Expect(refreshed[id]-detected[id]).To(BeNumerically("<=", 100*time.Millisecond), "%s detected the recovery of the store after %s", id, detected[id])
		}
	})
}

// Guards against instances that miss changes after an outage of the store, flood it during
// the outage or at its recovery, or lose rows when it no longer has the history.
func TestStoreFails(t *testing.T) {
	for name, c := range map[string]struct{ begin, end func(s *store) }{
		"down":         {func(s *store) { s.refuseCall = func(contract.InstanceID) error { return errRefused } }, func(s *store) { s.refuseCall = nil }},
		"silent":       {func(s *store) { s.silent = true }, func(s *store) { s.silent = false }},
		"slow":         {func(s *store) { s.delay = 240 * time.Millisecond }, func(s *store) { s.delay = storeDelay }},
		"history gone": {func(s *store) { s.oldest = s.version }, func(s *store) { s.oldest = 0 }},
		"silent, then history gone": {func(s *store) { s.silent = true }, func(s *store) {
			s.silent = false
			s.oldest = s.version
		}},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, 3, 10, func(h *harness) {
				h.store.takeCounts()
				h.store.update(c.begin)
				for i := range 9 {
					time.Sleep(500 * time.Millisecond)
					h.store.write(discovery.Upstreams, "upstream-1", string(rune('a'+i)), false)
				}
				calls, refused := h.store.takeCounts()
				h.t.Logf("calls in 4.5 s: %v, refused %d", calls, refused)
				// Three calls of each instance, and ten of each of the five instances of a failure
				// domain that may read.
				h.g.Expect(sum(calls)).To(BeNumerically("<=", 3*len(h.processes)+3*maxStaleSources*10))
				h.store.update(c.end)
				recovered := time.Now()
				time.Sleep(changeBound / 2)
				for id, p := range h.processes {
					h.g.Expect(p.value(discovery.Upstreams, "upstream-1")).To(Equal("i"), "%s after %s", id, time.Since(recovered))
				}
				h.checkFreshness(6 * time.Second)
			})
		})
	}
}
