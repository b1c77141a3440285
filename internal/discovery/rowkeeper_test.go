package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against rows that count as deleted because a copy of the store lacks them, and against rows
// that nobody writes again and that are kept for good.
func TestRowsThatACopyLacksAreKeptForTheSettleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		held, stored := map[string]bool{}, map[string]bool{}
		k := NewRowKeeper(10*time.Second, func(changes Batch, _ time.Duration, isStored func(string) bool) {
			for _, row := range changes.Rows {
				held[row.Key] = !row.Deleted
			}
			for key := range held {
				stored[key] = isStored(key)
			}
		})
		apply := func(returned bool, rows ...Row) { k.Apply(Batch{Rows: rows, Returned: returned}, 0) }
		apply(false, Row{Key: "kept"}, Row{Key: "written"}, Row{Key: "gone"}, Row{Key: "removed"})
		apply(true, Row{Key: "written", Deleted: true}, Row{Key: "gone", Deleted: true})
		g.Expect(stored).To(Equal(map[string]bool{"kept": true, "written": false, "gone": false, "removed": true}))
		time.Sleep(9 * time.Second)
		apply(false, Row{Key: "written"}, Row{Key: "removed", Deleted: true})
		g.Expect(held).To(Equal(map[string]bool{"kept": true, "written": true, "gone": true, "removed": false}))
		apply(true, Row{Key: "kept", Deleted: true}) // a second return
		time.Sleep(9 * time.Second)
		apply(false)
		g.Expect(held).To(HaveKeyWithValue("gone", true))
		time.Sleep(time.Minute) // no update
		g.Expect(held).To(HaveKeyWithValue("gone", true))
		apply(false, Row{Key: "kept"})
		for range 3 {
			g.Expect(held).To(HaveKeyWithValue("gone", true))
			time.Sleep(time.Second)
			apply(false)
		}
		g.Expect(held).To(HaveKeyWithValue("gone", true))
		time.Sleep(time.Second)
		apply(false)
		g.Expect(held).To(Equal(map[string]bool{"kept": true, "written": true, "gone": false, "removed": false}))
	})
}

// Guards against rows that count as deleted at the first update after a second outage, in which their
// owners could not write them again either, and against rows that are kept for good by an instance
// that gets its updates late and rarely.
func TestTimeWithoutReadsOfTheStoreSettlesNoRow(t *testing.T) {
	for _, interval := range []time.Duration{500 * time.Millisecond, 5 * time.Second, 15 * time.Second} {
		for _, away := range []time.Duration{0, 9 * time.Second, time.Hour} {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				gone := false
				k := NewRowKeeper(15*time.Second, func(changes Batch, _ time.Duration, _ func(string) bool) {
					for _, row := range changes.Rows {
						gone = gone || row.Deleted
					}
				})
				k.Apply(Batch{Rows: []Row{{Key: "a"}}}, 0)
				k.Apply(Batch{Rows: []Row{{Key: "a", Deleted: true}}, Returned: true}, 0)
				for began := time.Now(); time.Since(began) < away; {
					time.Sleep(time.Second)
					k.Apply(Batch{Age: time.Since(began)}, time.Second) // a peer repeats what it has
				}
				g.Expect(gone).To(BeFalse(), "during the outage")
				for back := time.Now(); !gone; time.Sleep(interval) {
					k.Apply(Batch{Age: 300 * time.Millisecond}, interval)
					if since := time.Since(back); since < 10*time.Second {
						g.Expect(gone).To(BeFalse(), "read every %v, away for %v: %v after it", interval, away, since)
					} else {
						g.Expect(since).To(BeNumerically("<=", 15*time.Second+3*interval))
					}
				}
			})
		}
	}
}
