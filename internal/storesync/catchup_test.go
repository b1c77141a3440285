package storesync

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/link"
)

// Guards against an instance that reads all rows of a later era although a peer is about to deliver them,
// that waits for a peer that does not, or that waits without one.
func TestRowsOfALaterEraAreAwaitedForABoundedTime(t *testing.T) {
	const rank = time.Duration(catchUpRankShare * float64(maxRowAge))
	for name, c := range map[string]struct {
		source      dataSource
		staleBefore int
		noTransport bool
		deliverAt   time.Duration // zero: never
		min, max    time.Duration
	}{
		"follower, rows delivered":             {source: dataSource{peer: "a"}, deliverAt: 100 * time.Millisecond, min: 100 * time.Millisecond, max: 100 * time.Millisecond},
		"follower of a silent peer":            {source: dataSource{peer: "a"}, min: 360 * time.Millisecond, max: 720 * time.Millisecond},
		"no source":                            {min: 360 * time.Millisecond, max: 720 * time.Millisecond},
		"reader":                               {source: dataSource{readStore: true}},
		"reader in the place of a stale peer":  {source: dataSource{readStore: true}, staleBefore: 1, min: rank / 2, max: rank},
		"reader in the place of four":          {source: dataSource{readStore: true}, staleBefore: 4, min: 360 * time.Millisecond, max: 720 * time.Millisecond},
		"instance without links to its domain": {noTransport: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				p := newPeers(t, map[contract.InstanceID]link.Handler{}, "self")["self"]
				p.readStore(1, 35, "x")
				p.source, p.staleBefore = c.source, c.staleBefore
				if c.noTransport {
					p.transport = nil
				}
				p.Eras.Observe(2)
				if c.deliverAt > 0 {
					time.AfterFunc(c.deliverAt, func() { p.readStore(2, 34, "y") })
				}
				began := time.Now()
				g.Expect(p.AwaitPeers(t.Context(), discovery.Configuration)).To(Equal(c.deliverAt > 0))
				g.Expect(time.Since(began)).To(And(BeNumerically(">=", c.min), BeNumerically("<=", c.max)))
			})
		})
	}
}

// Guards against an instance that never reads the store because it returns again and again.
func TestFrequentReturnsDoNotProlongTheWaitForPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPeers(t, map[contract.InstanceID]link.Handler{}, "self")["self"]
		p.readStore(1, 35, "x")
		p.source = dataSource{peer: "a"}
		go func() {
			for era := discovery.Era(2); era < 20; era++ {
				p.Eras.Observe(era)
				time.Sleep(200 * time.Millisecond)
			}
		}()
		synctest.Wait()
		began := time.Now()
		g.Expect(p.AwaitPeers(t.Context(), discovery.Configuration)).To(BeFalse())
		g.Expect(time.Since(began)).To(And(BeNumerically(">=", 360*time.Millisecond), BeNumerically("<=", 720*time.Millisecond)))
		time.Sleep(10 * time.Second)
	})
}

// Guards against a reader that, once it reaches the store again, turns its followers away shortly before it
// has the rows of the later era.
func TestRequestIsHeldUntilTheRowsOfALaterEraAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPeers(t, map[contract.InstanceID]link.Handler{}, "a", "b")
		p["a"].readStore(1, 35, "x")
		g.Expect(p["b"].poll("a")).To(Succeed())
		time.Sleep(maxRowAge)
		p["a"].Eras.Observe(2)
		g.Expect(p["b"].poll("a")).To(MatchError(ContainSubstring("stale")), "without a hold time")
		time.AfterFunc(100*time.Millisecond, func() { p["a"].readStore(2, 34, "y") })
		began := time.Now()
		g.Expect(p["b"].pollPeer(t.Context(), "a", time.Second)).To(Succeed())
		g.Expect(time.Since(began)).To(Equal(100 * time.Millisecond))
		for _, topic := range urgentTopics {
			g.Expect(p["b"].held(topic)).To(Equal("2/34=y"), "%s", topic)
		}
		synctest.Wait()
		g.Expect(p["b"].poll("a")).To(Succeed()) // topics that were read after the response
		p["b"].expectHeld("2/34=y")
	})
}

// Guards against followers that wait for a source that is dead, frozen or cut off when the store returns
// from a copy, and against an instance that starts then and waits for rows.
func TestFollowersOfALostSourceReadALaterEraInTime(t *testing.T) {
	for name, lose := range map[string]func(h *harness, id contract.InstanceID){
		"dead":   (*harness).stop,
		"frozen": func(h *harness, id contract.InstanceID) { h.network.Pause(id) },
		"cut off from the store": func(h *harness, id contract.InstanceID) {
			h.store.refuseCall = func(instance contract.InstanceID) error {
				if instance == id {
					return errRefused
				}
				return nil
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 1)
				defer h.close()
				h.startFleet(2*time.Second, 1, 8)
				time.Sleep(12 * time.Second)
				lost := h.readers()["d0"][0]
				started := Member{ID: "d0-new", Address: "127.0.0.1:1", Domain: "d0", Weight: 0.1}
				h.ids = append(h.ids, started.ID)
				h.store.update(func(s *store) { s.away++ })
				lose(h, lost)
				h.store.comeBack(time.Now().Add(-time.Second), true, true)
				h.startInstance(started, 0)
				time.Sleep(changeBound)
				for id, process := range h.processes {
					for _, topic := range urgentTopics {
						revision, loaded := process.changeLogs[topic].Revision()
						if id != lost {
							h.g.Expect(loaded && revision.Era == 2).To(BeTrue(), "%s of %s, source %s", topic, id, process.source())
						}
					}
				}
			})
		})
	}
}
