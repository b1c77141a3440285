package storesync

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/discovery"
)

const (
	maxLost = 9 * time.Second // of the writes of the store, in one return
	maxAway = 1500 * time.Millisecond
	// registrationBound is the time after the last return in which all instances are registered
	// again: the longest age of the list, and the pauses before a write.
	registrationBound = 45 * time.Second
)

// fleetSize is the size of the fleet of a test.
type fleetSize struct {
	domains, each int
	duration      time.Duration // of the play
	seeds         int           // that CI runs
}

var fleetSizes = []fleetSize{{1, 1, 40 * time.Second, 8}, {2, 3, 40 * time.Second, 8}, {3, 20, 40 * time.Second, 1}, {6, 50, 8 * time.Second, 1}}

// forEachFleet runs a test for each size and seed. FOXTAILHUB_SEED replaces the seeds.
func forEachFleet(t *testing.T, test func(t *testing.T, seed uint64, size fleetSize)) {
	for _, size := range fleetSizes {
		seeds := strings.Split(os.Getenv("FOXTAILHUB_SEED"), ",")
		if seeds[0] == "" {
			seeds = nil
			for seed := range size.seeds {
				seeds = append(seeds, strconv.Itoa(seed+1))
			}
		}
		for _, text := range seeds {
			t.Run(fmt.Sprintf("instances=%d/seed=%s", size.domains*size.each, text), func(t *testing.T) {
				seed, err := strconv.ParseUint(text, 10, 64)
				NewWithT(t).Expect(err).NotTo(HaveOccurred())
				synctest.Test(t, func(t *testing.T) { test(t, seed, size) })
			})
		}
	}
}

// play is a series of returns of the store and of other faults beside changes.
type play struct {
	*harness
	restores  bool // the store comes back from copies, otherwise as it went away
	beside    bool // other faults happen too
	unchecked bool // only calls are counted
	rng       *rand.Rand
	exempt    map[contract.InstanceID]time.Time // instances that have a fault, until when
	unsettled time.Time                         // until when rows may be older than the bound
	returns   int
	lostRows  atomic.Int64 // of instances, over all returns
	// awaited are the changes that all instances must have changeBound after awaitedSince.
	awaited      map[discovery.Topic]string
	awaitedSince map[discovery.Topic]time.Time
}

func newPlay(h *harness, seed uint64, restores, beside bool) *play {
	return &play{
		harness: h, restores: restores, beside: beside, rng: rand.New(rand.NewPCG(seed, 3)), exempt: map[contract.InstanceID]time.Time{},
		awaited: map[discovery.Topic]string{}, awaitedSince: map[discovery.Topic]time.Time{},
	}
}

func (p *play) within(d time.Duration) time.Duration { return time.Duration(p.rng.Int64N(int64(d))) }

// run changes the configuration and the list, injects faults, and checks all instances.
func (p *play) run(duration time.Duration) {
	nextChange, nextReturn, nextFault := time.Now(), time.Now().Add(p.within(3*time.Second)), time.Now()
	for n, began := 0, time.Now(); time.Since(began) < duration; time.Sleep(20 * time.Millisecond) {
		now := time.Now()
		if !now.Before(nextChange) {
			n++
			p.change(n)
			nextChange = now.Add(100*time.Millisecond + p.within(1200*time.Millisecond))
		}
		if !now.Before(nextReturn) {
			p.returnStore()
			nextReturn = now.Add(4*time.Second + p.within(8*time.Second))
			if p.rng.IntN(3) == 0 {
				nextReturn = now.Add(p.within(3 * time.Second))
			}
		}
		if p.beside && !now.Before(nextFault) {
			p.injectFault()
			nextFault = now.Add(1500*time.Millisecond + p.within(2*time.Second))
		}
		if !p.unchecked {
			p.check()
		}
	}
}

// changedKeys are the rows that are changed.
var changedKeys = map[discovery.Topic]string{discovery.Configuration: "config", discovery.Upstreams: "upstream-0"}

func (p *play) change(n int) {
	topic := discovery.Configuration
	if n%2 == 0 {
		topic = discovery.Upstreams
	}
	p.platform.write(topic, changedKeys[topic], strconv.FormatInt(time.Now().UnixNano(), 10), false)
}

// returnStore makes the store come back, at once or some time later.
func (p *play) returnStore() {
	p.returns++
	copiedAt, resetHeld, away := time.Now().Add(-p.within(maxLost)), p.rng.IntN(2) == 0, time.Duration(0)
	if p.rng.IntN(2) == 0 {
		away = p.within(maxAway)
	}
	late := p.within(600 * time.Millisecond)
	p.unsettled = time.Now().Add(away + changeBound/2)
	p.store.update(func(s *store) { s.late = late })
	time.Sleep(10 * time.Millisecond) // calls that arrive in this time are answered after the return
	p.store.goAway()
	p.platform.storeGone()
	p.store.update(func(s *store) { s.late = 0 })
	time.AfterFunc(away, func() {
		before := p.store.instanceRows()
		p.store.comeBack(copiedAt, p.restores, resetHeld)
		p.lostRows.Add(int64(max(0, before-p.store.instanceRows())))
		p.platform.storeReturned()
	})
	synctest.Wait()
}

// instanceRows returns the number of rows of the topic Instances.
func (s *store) instanceRows() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range s.rows[discovery.Instances] {
		if !row.Deleted {
			n++
		}
	}
	return n
}

// injectFault injects a fault that ends by itself.
func (p *play) injectFault() {
	p.retain(time.Now())
	ids := p.ids
	if p.rng.IntN(2) == 0 {
		ids = nil
		for _, readers := range p.readers() {
			ids = append(ids, readers...)
		}
		slices.Sort(ids)
	}
	if len(ids) == 0 {
		return
	}
	id := ids[p.rng.IntN(len(ids))]
	if _, faulty := p.exempt[id]; faulty || p.processes[id] == nil {
		return
	}
	lasts := 300*time.Millisecond + p.within(3*time.Second)
	p.exempt[id] = time.Now().Add(lasts + changeBound)
	switch p.rng.IntN(4) {
	case 0: // restarted
		p.startInstance(p.processes[id].Member, 0)
	case 1: // frozen
		p.network.Pause(id)
		time.AfterFunc(lasts, func() { p.network.Resume(id) })
	case 2: // cut off one way
		for _, other := range p.ids {
			p.network.DropOneWay(id, other)
		}
		time.AfterFunc(lasts, p.network.Heal)
	case 3: // refused by the store
		p.store.update(func(s *store) {
			s.refuseCall = func(instance contract.InstanceID) error {
				if instance == id {
					return errRefused
				}
				return nil
			}
		})
		time.AfterFunc(lasts, func() { p.store.update(func(s *store) { s.refuseCall = nil }) })
	}
}

// retain ends the exemptions that are over.
func (p *play) retain(now time.Time) {
	for id, until := range p.exempt {
		if now.After(until) {
			delete(p.exempt, id)
		}
	}
}

// check checks that all instances have each change within the bound, that their rows are fresh
// and that they never go back.
func (p *play) check() {
	now := time.Now()
	p.retain(now)
	for topic, key := range changedKeys {
		value, since, known := p.platform.current(topic, key)
		due := !p.awaitedSince[topic].IsZero() && now.Sub(p.awaitedSince[topic]) >= changeBound
		switch {
		case !known: // the newest value is awaited from the time on at which it is written again
			p.awaitedSince[topic] = time.Time{}
			continue
		case due:
			p.checkReceived(topic, key)
		}
		if due || p.awaitedSince[topic].IsZero() {
			p.awaited[topic], p.awaitedSince[topic] = value, since
		}
	}
	for id, process := range p.processes {
		process.mu.Lock()
		decreased := process.versionDecreased
		process.mu.Unlock()
		p.g.Expect(decreased).To(BeFalse(), "%s went back to an older state of the store", id)
		if _, faulty := p.exempt[id]; faulty || now.Before(p.unsettled) {
			continue
		}
		for topic := range changedKeys {
			p.g.Expect(process.age(topic)).To(BeNumerically("<", changeBound), "%s of %s, source %s", topic, id, process.source())
		}
	}
}

// checkReceived checks that all instances have the awaited value of a row, or a later one.
func (p *play) checkReceived(topic discovery.Topic, key string) {
	for id, process := range p.processes {
		if _, faulty := p.exempt[id]; !faulty {
			received := process.held(topic, key) >= p.awaited[topic]
			p.g.Expect(received).To(BeTrue(), "%s (source %s) did not receive a change of the %s within %s", id, process.source(), topic, changeBound)
		}
	}
}

// held returns the value of a row that an instance uses.
func (p *process) held(topic discovery.Topic, key string) string {
	if topic != discovery.Configuration {
		return p.value(topic, key)
	}
	if table := p.active.Current(); table != nil {
		return strconv.FormatInt(table.Version, 10)
	}
	return ""
}

// awaitRegistered waits until all instances count as registered, but no longer than registrationBound.
func (p *play) awaitRegistered() {
	for began := time.Now(); time.Since(began) < registrationBound; time.Sleep(500 * time.Millisecond) {
		registered := p.store.instanceRows() == len(p.processes)+1 // and the secret
		for _, process := range p.processes {
			registered = registered && process.members.Registered() && process.members.Count() == len(p.processes)
		}
		if registered {
			return
		}
	}
}

// checkRegistered checks that all instances are registered, with one secret.
func (p *play) checkRegistered() {
	row := p.store.row(discovery.Instances, secretKey)
	p.g.Expect(row.Value).To(HaveLen(secretBytes), "the store has no secret")
	p.g.Expect(row.Deleted).To(BeFalse())
	for id, process := range p.processes {
		own := p.store.row(discovery.Instances, memberPrefix+string(id))
		p.g.Expect(own.Version != 0 && !own.Deleted).To(BeTrue(), "%s has no row in the store", id)
		p.g.Expect(process.members.Registered()).To(BeTrue(), "%s does not count as registered", id)
		p.g.Expect(process.members.Count()).To(Equal(len(p.processes)), "instances known to %s", id)
		p.g.Expect(bytes.Equal(process.members.AuthoritySecret(), row.Value)).To(BeTrue(), "%s has another secret", id)
	}
}

func (s *store) row(topic discovery.Topic, key string) discovery.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[topic][key]
}

// Guards against changes that do not reach an instance in time after the store came back from
// a copy, and against instances that go back to an older state.
func TestChangesArriveAfterReturnsOfTheStore(t *testing.T) {
	forEachFleet(t, func(t *testing.T, seed uint64, size fleetSize) {
		h := newHarness(t, seed)
		defer h.close()
		h.startFleet(2*time.Second, size.domains, size.each)
		time.Sleep(12 * time.Second)
		p := newPlay(h, seed, true, false)
		p.run(size.duration)
		t.Logf("%d returns, %d rows of instances lost", p.returns, p.lostRows.Load())
	})
}

// Like TestChangesArriveAfterReturnsOfTheStore, beside restarts, freezes and cuts.
func TestChangesArriveAfterReturnsBesideFaults(t *testing.T) {
	forEachFleet(t, func(t *testing.T, seed uint64, size fleetSize) {
		h := newHarness(t, seed)
		defer h.close()
		h.startFleet(2*time.Second, size.domains, size.each)
		time.Sleep(12 * time.Second)
		p := newPlay(h, seed, true, true)
		p.run(size.duration)
		t.Logf("%d returns, %d rows of instances lost", p.returns, p.lostRows.Load())
	})
}

// Guards against instances that stay unregistered, and against two secrets in one fleet, after
// a return that lost the rows of instances.
func TestInstancesRegisterAgainAfterReturns(t *testing.T) {
	forEachFleet(t, func(t *testing.T, seed uint64, size fleetSize) {
		h := newHarness(t, seed)
		defer h.close()
		h.startFleet(2*time.Second, size.domains, size.each)
		p := newPlay(h, seed, true, false)
		time.Sleep(time.Second + p.within(8*time.Second))
		p.returnStore()
		if seed%2 == 0 {
			time.Sleep(p.within(4 * time.Second))
			p.returnStore()
		}
		p.awaitRegistered()
		p.checkRegistered()
		t.Logf("%d returns, %d rows of instances lost", p.returns, p.lostRows.Load())
		time.Sleep(10 * time.Second)
		p.checkRegistered()
	})
}

// Guards against a return of the store after which instances repeat calls, or all read or
// write at once.
func TestReturnsOfTheStoreCostFewCalls(t *testing.T) {
	forEachFleet(t, func(t *testing.T, seed uint64, size fleetSize) {
		count := func(restores bool) (calls int, p *play) {
			h := newHarness(t, seed)
			defer h.close()
			h.startFleet(2*time.Second, size.domains, size.each)
			time.Sleep(12 * time.Second)
			h.store.takeCounts()
			p = newPlay(h, seed, restores, false)
			p.unchecked = true
			p.run(size.duration)
			byTopic, _ := h.store.takeCounts()
			t.Logf("restored=%t: %d returns, %d rows of instances lost, calls %v", restores, p.returns, p.lostRows.Load(), byTopic)
			return sum(byTopic), p
		}
		without, _ := count(false)
		with, p := count(true)
		readers := size.domains
		if size.each < minDomainSize {
			readers *= size.each
		}
		// For each return: a refused and a full read of each topic and one for a rewritten row,
		// by each reader; for each lost row of an instance, a write and its repetition.
		allowed := p.returns*readers*3*len(topics) + 2*int(p.lostRows.Load())
		p.g.Expect(with).To(BeNumerically("<=", without*11/10+allowed))
	})
}

// Guards against an instance that reads the store for its failure domain and stays with the configuration
// of a copy, because it has started since the return, although its peers have a newer one.
func TestStartedInstanceGetsConfigurationOfItsPeersAfterAReturn(t *testing.T) {
	for _, each := range []int{minDomainSize, 8} {
		for name, starting := range map[string][]Member{
			"follower":             {{ID: "started", Weight: 0.1}},
			"reader":               {{ID: "started", Weight: 5}},
			"three readers":        {{ID: "started", Weight: 5}, {ID: "started-2", Weight: 5}, {ID: "started-3", Weight: 5}},
			"reader that restarts": {{ID: "", Weight: 0.8}},
		} {
			t.Run(fmt.Sprintf("%s beside %d", name, each), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newHarness(t, 1)
					defer h.close()
					h.startFleet(0, 1, each)
					time.Sleep(30 * time.Second)
					copied := time.Now()
					time.Sleep(100 * time.Millisecond)
					h.store.write(discovery.Configuration, "config", "5", false)
					time.Sleep(5 * time.Second)
					h.store.goAway()
					time.Sleep(time.Second)
					h.store.comeBack(copied, true, true)
					time.Sleep(3 * time.Second)
					for _, m := range starting {
						if m.ID == "" {
							m.ID = h.readers()["d0"][0]
						}
						m.Address, m.Domain = "127.0.0.1:1", "d0"
						h.startInstance(m, 0)
					}
					time.Sleep(3 * time.Second)
					for id, p := range h.processes {
						h.g.Expect(p.active.Current().Version).To(Equal(int64(5)), "%s, source %s", id, p.source())
						h.g.Expect(p.value(discovery.Configuration, "config")).To(Equal("5"), "%s, source %s", id, p.source())
					}
					h.store.write(discovery.Configuration, "config", "6", false)
					time.Sleep(changeBound)
					for id, p := range h.processes {
						h.g.Expect(p.active.Current().Version).To(Equal(int64(6)), "%s, source %s", id, p.source())
					}
				})
			})
		}
	}
}

// Guards against an instance that reads the store for its failure domain and stays with the configuration
// of a copy, because it was cut off when a newer one was written, although its peers have it.
func TestReaderThatWasCutOffGetsConfigurationOfItsPeersAfterAReturn(t *testing.T) {
	for _, each := range []int{minDomainSize, 8} {
		t.Run(fmt.Sprintf("%d instances", each), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 1)
				defer h.close()
				h.startFleet(0, 1, each)
				time.Sleep(30 * time.Second)
				reader := h.readers()["d0"][0]
				h.network.Partition([]contract.InstanceID{reader})
				h.store.update(func(s *store) {
					s.refuseCall = func(instance contract.InstanceID) error {
						if instance == reader {
							return errRefused
						}
						return nil
					}
				})
				time.Sleep(time.Second)
				copied := time.Now()
				time.Sleep(100 * time.Millisecond)
				h.store.write(discovery.Configuration, "config", "5", false)
				time.Sleep(changeBound)
				h.store.goAway()
				time.Sleep(time.Second)
				h.store.comeBack(copied, true, true)
				h.network.Heal()
				h.store.update(func(s *store) { s.refuseCall = nil })
				time.Sleep(changeBound)
				for id, p := range h.processes {
					h.g.Expect(p.active.Current().Version).To(Equal(int64(5)), "%s, source %s", id, p.source())
				}
			})
		})
	}
}
