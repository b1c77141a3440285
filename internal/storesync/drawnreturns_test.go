package storesync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/fleetrate"
)

const (
	drawnFleetSteps = 80
	// drawnOutage is the longest outage. All instances read the rows within copiedSettleTime also
	// if one falls into it.
	drawnOutage = 3 * time.Second
	// drawnRate is a request rate, in requests a second, which the instances divide.
	drawnRate = 200
)

// drawnFleet is a fleet with a drawn history of its store.
type drawnFleet struct {
	g          Gomega
	rng        *rand.Rand
	store      *copiedStore
	fleet      []*copiedInstance
	startedAt  []time.Time
	copies     []map[string][]byte
	returnedAt time.Time
	settled    map[*copiedInstance]bool
}

func (d *drawnFleet) restore() {
	d.store.restore(d.copies[max(0, len(d.copies)-1-d.rng.IntN(12))])
	d.returnedAt = time.Now()
}

// step performs a drawn event.
func (d *drawnFleet) step() {
	i := d.rng.IntN(len(d.fleet))
	switch d.rng.IntN(8) {
	case 0, 1:
		d.restore()
	case 2, 3:
		trouble := []*bool{&d.store.down, &d.store.readOnly, &d.store.mute}[d.rng.IntN(3)]
		d.store.update(func() { *trouble = true })
		d.pass(fractionOf(d.rng.Float64(), drawnOutage))
		if d.rng.IntN(2) == 0 {
			d.restore()
		}
		d.store.update(func() { *trouble = false })
	case 4:
		d.fleet[i].stop()
		d.pass(fractionOf(d.rng.Float64(), 5*time.Second))
		d.fleet[i] = d.store.start(copiedMember(i))
		d.startedAt[i] = time.Now()
	case 5:
		d.fleet = append(d.fleet, d.store.start(copiedMember(len(d.fleet))))
		d.startedAt = append(d.startedAt, time.Now())
	}
}

// pass lets time pass and checks all instances meanwhile.
func (d *drawnFleet) pass(duration time.Duration) {
	for began := time.Now(); time.Since(began) < duration; time.Sleep(100 * time.Millisecond) {
		d.check()
	}
}

// check checks that the parts of all instances are within the limit, and that none loses its part.
func (d *drawnFleet) check() {
	now := time.Now()
	var allowance, used float64
	for n, i := range d.fleet {
		// An instance that starts beside a return may read the rows before the others have
		// written theirs again.
		if started := now.Sub(d.startedAt[n]); started < copiedSettleTime || d.startedAt[n].After(d.returnedAt.Add(-copiedSettleTime)) && started < 4*copiedSettleTime {
			continue
		}
		fleet := i.members.Fleet(func(time.Time) time.Duration { return copiedSettleTime })
		settled := !fleet.SettledAt.IsZero() && !fleet.SettledAt.After(now)
		if settled {
			allowance += 1 / float64(len(fleet.Instances))
			if a := fleetrate.Divide(drawnRate, fleet.Rank("upstream"), fleet.SettledAt); a.Holder {
				used += 1 / a.Interval.Seconds()
			}
		}
		d.g.Expect(settled || !d.settled[i]).To(BeTrue(), "%s, %s after a return", i.ID, now.Sub(d.returnedAt))
		d.settled[i] = settled
	}
	d.g.Expect(allowance).To(BeNumerically("<=", 1+1e-9), "%s after a return", now.Sub(d.returnedAt))
	d.g.Expect(used).To(BeNumerically("<=", drawnRate), "%s after a return", now.Sub(d.returnedAt))
}

// Guards against parts of request rates and of the retry budget that add up to more than the limit, and
// against instances that lose theirs, after returns of the store, outages and restarts in any order.
func TestPartsStayWithinTheLimitThroughDrawnReturns(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newCopiedStore(t)
				size := []int{2, 6, 24}[seed%3]
				d := &drawnFleet{g: NewWithT(t), rng: rand.New(rand.NewPCG(seed, 1)), store: store, fleet: store.startFleet(size), startedAt: make([]time.Time, size), settled: map[*copiedInstance]bool{}}
				for range drawnFleetSteps {
					rows, _, _, _ := store.snapshot()
					d.copies = append(d.copies, rows)
					d.step()
					d.pass(fractionOf(d.rng.Float64(), 3*time.Second))
				}
				time.Sleep(2 * memberSettleTime)
				store.expectOneFleet(d.fleet)
			})
		})
	}
}
