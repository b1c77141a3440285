package upstream

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/platform"
)

// leavingBound is the time within which a leaving upstream must get no new work
// (P6).
const leavingBound = 3 * time.Second

// naivePlace is the simplest rule: any upstream listed as live.
func naivePlace(h *harness, random *rand.Rand) contract.UpstreamID {
	list, _ := h.List(context.Background())
	live := slices.DeleteFunc(list.Upstreams, func(e platform.ListEntry) bool { return e.State != platform.StateLive })
	return contract.UpstreamID(live[random.IntN(len(live))].ID)
}

// Guards against new work on an upstream that is leaving while the platform's
// list lags (P6), whichever source reports it first.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	rows := map[string]func(*harness, *cluster, contract.UpstreamID){
		"load report of a watcher, then digests": func(h *harness, _ *cluster, id contract.UpstreamID) {
			h.set(id, func(p *upstreamProcess) { p.leaving = true })
		},
		"response of the upstream to one instance, then digests": func(h *harness, c *cluster, id contract.UpstreamID) {
			h.set(id, func(p *upstreamProcess) { p.leaving, p.reportsLag = true, true })
			used := c.instances[0].beginRequest(c.instances[0].snapshot.Load().entries[id], content("x"))
			used.Done(h.runRequest(id, time.Second, false))
		},
		"list alone": func(h *harness, _ *cluster, id contract.UpstreamID) {
			h.mu.Lock()
			defer h.mu.Unlock()
			for i := range h.list.Upstreams {
				if h.list.Upstreams[i].ID == string(id) {
					h.list.Upstreams[i].State, h.list.Upstreams[i].UpdatedAt = platform.StateLeaving, time.Now()
				}
			}
		},
	}
	for name, startLeaving := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h := newHarness(2, "oulu-a", "kemi-c")
				c := newCluster(h, 1, 5)
				defer c.stop()
				time.Sleep(2 * time.Second)
				leaving := contract.UpstreamID("oulu-a-1")
				startLeaving(h, c, leaving)
				time.Sleep(leavingBound)
				random := rand.New(rand.NewPCG(1, 1))
				naive := 0
				for range 100 {
					for _, u := range c.instances {
						placement, _, ok := u.Place(Requirements{Service: "notes", Pin: testPin})
						g.Expect(ok).To(BeTrue())
						g.Expect(placement.Target.ID).NotTo(Equal(leaving))
						placement.Done(Observation{Kind: ObservedCancelled})
					}
					if naivePlace(h, random) == leaving {
						naive++
					}
					time.Sleep(100 * time.Millisecond)
				}
				if name != "list alone" {
					g.Expect(naive).To(BeNumerically(">", 0), "the naive rule uses it as long as the list lags")
				}
			})
		})
	}
}

// Guards against a leaving mark that outlives the process: after a restart each
// instance must place work on the upstream again.
func TestRestartedUpstreamGetsNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(1, "oulu-a")
		c := newCluster(h, 1, 4)
		defer c.stop()
		time.Sleep(2 * time.Second)
		h.set("oulu-a-0", func(p *upstreamProcess) { p.leaving = true })
		time.Sleep(leavingBound)
		for _, u := range c.instances {
			_, wait, ok := u.Place(Requirements{Service: "notes", Pin: testPin})
			g.Expect(ok).To(BeFalse())
			g.Expect(wait).To(BeNumerically(">", 0))
			g.Expect(u.Serves("notes", testPin)).To(BeTrue())
			g.Expect(u.Capacity("notes")).To(BeZero())
		}
		h.kill("oulu-a-0")
		time.Sleep(5 * time.Second)
		h.start("oulu-a-0")
		time.Sleep(leavingBound)
		for _, u := range c.instances {
			placement, _, ok := u.Place(Requirements{Service: "notes", Pin: testPin})
			g.Expect(ok).To(BeTrue())
			placement.Done(Observation{Kind: ObservedCancelled})
			g.Expect(u.Capacity("notes")).To(Equal(2))
			g.Expect(u.Stats().Crashes.Load()).To(BeZero(), "the end of a leaving upstream is not a crash")
		}
	})
}

// Guards against a paused or crashed upstream that still gets work, and against
// one that gets none after its recovery.
func TestUnresponsiveUpstreamIsDown(t *testing.T) {
	faults := map[string]func(*upstreamProcess, bool){
		"paused":  func(p *upstreamProcess, on bool) { p.paused = on },
		"crashed": func(p *upstreamProcess, on bool) { p.alive = !on },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h := newHarness(1, "oulu-a", "kemi-c")
				c := newCluster(h, 1, 6)
				defer c.stop()
				states := func() (all []State) {
					for _, u := range c.instances {
						all = append(all, u.Status()[1].State)
					}
					return all
				}
				time.Sleep(2 * time.Second)
				h.set("oulu-a-0", func(p *upstreamProcess) { fault(p, true) })
				time.Sleep(6 * time.Second)
				g.Expect(states()).To(HaveEach(StateDown))
				h.set("oulu-a-0", func(p *upstreamProcess) { fault(p, false) })
				time.Sleep(4 * time.Second)
				g.Expect(states()).To(HaveEach(StateLive))
			})
		})
	}
}

// Guards against one watcher that is cut off from an upstream and marks it down
// at all instances: the other watchers send contacts rarely, so their last one
// may be old when the first failure arrives.
func TestCutOffWatcherDoesNotMarkUpstreamDown(t *testing.T) {
	for watcher := range watchersPerUpstream {
		t.Run(fmt.Sprint("rank=", watcher), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h := newHarness(1, "oulu-a", "kemi-c")
				c := newCluster(h, 1, 6)
				defer c.stop()
				time.Sleep(8 * time.Second)
				watchers := Watchers("oulu-a-0", c.members)
				cut := slices.IndexFunc(c.members, func(m Member) bool { return m.ID == watchers[watcher] })
				h.set("oulu-a-0", func(p *upstreamProcess) { p.unreachableFrom = cut + 1 })
				for range 600 {
					time.Sleep(50 * time.Millisecond)
					for i, u := range c.instances {
						if i != cut {
							g.Expect(u.Status()[1].State).To(Equal(StateLive), "instance %d", i)
						}
					}
				}
				g.Expect(c.instances[cut].Status()[1].State).To(Equal(StateDown))
			})
		})
	}
}
