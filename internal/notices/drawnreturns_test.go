package notices

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/poison"
	"foxtailhub.example/foxtailhub/internal/pool"
)

const (
	// drawnReadTime is the time in which a notice is written, which may be refused once, and
	// reaches all instances, and drawnRewriteTime that in which they have written lost ones again.
	drawnReadTime    = 5 * time.Second
	drawnRewriteTime = 8 * time.Second
	drawnSteps       = 120
)

// drawnReturns is a drawn history of a store that comes back from copies of itself.
type drawnReturns struct {
	g     Gomega
	rng   *rand.Rand
	store *copiedNotices
	fleet []*noticesInstance

	startedAt  []time.Time
	copies     []map[string][]byte
	returnedAt time.Time
	backAt     time.Time // end of the last outage
	stated     float64   // rate that the upstream states; 0: none yet
	statedAt   time.Time
	convicted  bool
}

func (d *drawnReturns) instance() *noticesInstance { return d.fleet[d.rng.IntN(len(d.fleet))] }

// step performs a drawn event.
func (d *drawnReturns) step(n int) {
	now := time.Now()
	switch d.rng.IntN(10) {
	case 0, 1:
		d.stated = []float64{1, 2, 4, 8}[d.rng.IntN(4)]
		d.statedAt = now
	case 2:
		d.store.restore(d.copies[max(0, len(d.copies)-1-d.rng.IntN(15))])
		d.returnedAt = time.Now()
	case 3:
		d.store.setDown(true)
		time.Sleep(time.Duration(d.rng.Float64() * float64(3*time.Second)))
		if d.rng.IntN(2) == 0 {
			d.store.restore(d.copies[max(0, len(d.copies)-1-d.rng.IntN(15))])
			d.returnedAt = time.Now()
		}
		d.store.setDown(false)
		d.backAt = time.Now()
	case 4:
		i := d.rng.IntN(len(d.fleet))
		d.fleet[i].stop()
		d.fleet[i] = d.store.startNotices(fmt.Sprint("instance-", i), ratedUpstream)
		d.startedAt[i] = now
	case 5:
		d.instance().sees(n, poisonPrompt(n), soundPrompt(n))
	case 6:
		d.instance().succeeds(soundPrompt(n))
	case 7:
		d.instance().crashes.ShareCrash(poison.RequestCrash{Content: poison.Content(fmt.Sprint("content-", n)), Process: "u"})
	default:
		d.instance().refuses(poisonPrompt(n))
	}
}

// check checks what all instances know that have been running for a while.
func (d *drawnReturns) check() {
	now := time.Now()
	if d.stated > 0 {
		d.fleet[0].respond(stated(d.stated)) // the others learn of the rate from notices
	}
	settled := now.Sub(d.statedAt) > drawnReadTime && now.Sub(d.backAt) > drawnReadTime && !d.store.isDown()
	anyConvicted, anyChecked := false, false
	for n, i := range d.fleet {
		if now.Sub(d.startedAt[n]) < drawnReadTime || d.startedAt[n].Sub(d.returnedAt) < drawnRewriteTime && d.startedAt[n].After(d.returnedAt) {
			continue
		}
		if settled && d.stated > 0 && d.startedAt[n].Before(d.statedAt) {
			d.g.Expect(i.statedRate()).To(And(BeNumerically(">", 0), BeNumerically("<=", d.stated)), "instance %d, %s after a return", n, now.Sub(d.returnedAt))
		}
		anyChecked = true
		anyConvicted = anyConvicted || i.refuses(poisonPrompt(99))
	}
	d.convicted = d.convicted || anyConvicted
	if d.convicted && anyChecked {
		d.g.Expect(anyConvicted).To(BeTrue(), "%s after a return", now.Sub(d.returnedAt))
	}
}

// Guards against request rates that end or rise, verdicts that end, and rows that stay for good, after
// returns of the store, outages and restarts in any order.
func TestNoticesOutlastDrawnReturns(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := newCopiedNotices(t)
				size := []int{2, 6, 30}[seed%3]
				d := &drawnReturns{g: g, rng: rand.New(rand.NewPCG(seed, 1)), store: store, fleet: store.startNoticesFleet(size, ratedUpstream), startedAt: make([]time.Time, size)}
				d.fleet[0].succeeds(soundPrompt(1))
				for n := range drawnSteps {
					d.copies = append(d.copies, store.copyRows())
					d.step(n)
					everyTenth(time.Duration(d.rng.Float64()*float64(2*time.Second)), func(time.Duration) { d.check() })
				}
				time.Sleep(drawnRewriteTime)
				for range 2 {
					for _, i := range d.fleet {
						i.respond(stated(100))
						i.refuses(poisonPrompt(99))
					}
					time.Sleep(drawnRewriteTime)
				}
				d.fleet = append(d.fleet, store.startAndRead(ratedUpstream))
				for _, i := range d.fleet {
					g.Expect(i.statedRate()).To(Equal(100.0))
					g.Expect(i.refuses(poisonPrompt(99))).To(Equal(d.convicted))
				}
				for _, i := range d.fleet {
					i.respond(pool.RequestRate{})
				}
				time.Sleep(40 * time.Minute)
				g.Expect(store.count(partKeyPrefix)).To(BeZero())
				g.Expect(store.count(rateKeyPrefix)).To(BeZero())
			})
		})
	}
}
