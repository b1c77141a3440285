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
		g.Expect(held).To(Equal(map[string]bool{"kept": true, "written": true, "gone": false, "removed": false}))
	})
}
