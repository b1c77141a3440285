package storesync

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/discovery"
)

// Guards against an instance that uses its part of a request rate before the others count
// it, and against one that has none after a restart although the others still count it.
func TestFleetSettles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		settleTime := func(time.Time) time.Duration { return 15 * time.Second }
		log := logrus.New()
		log.SetOutput(io.Discard)
		self := Member{ID: "i-1", Address: "10.0.0.1:1", Domain: "a", Weight: 1}
		other := Member{ID: "i-2", Address: "10.0.0.2:1", Domain: "b", Weight: 1}
		row := func(m Member) discovery.Row {
			key, value, err := m.row(time.Now())
			g.Expect(err).NotTo(HaveOccurred())
			return discovery.Row{Key: key, Value: value}
		}

		m := NewMembers(self, log)
		g.Expect(m.Fleet(settleTime).SettledAt).To(BeZero(), "the list has not been read")
		m.Apply(discovery.Batch{Rows: []discovery.Row{row(other)}}, 0)
		g.Expect(m.Fleet(settleTime).SettledAt).To(BeZero(), "not registered")
		time.Sleep(time.Second)
		m.markListed(0)
		registeredAt := time.Now()
		time.Sleep(time.Second)
		m.Apply(discovery.Batch{Rows: []discovery.Row{row(self)}}, 0)
		fleet := m.Fleet(settleTime)
		g.Expect(fleet.SettledAt).To(BeTemporally("==", registeredAt.Add(15*time.Second)))
		g.Expect(fleet.Self).To(Equal("i-1"))
		g.Expect(fleet.Instances).To(HaveLen(2))

		m.Apply(discovery.Batch{Rows: []discovery.Row{{Key: memberPrefix + "i-1", Deleted: true}}}, 0)
		g.Expect(m.Fleet(settleTime).SettledAt).To(BeZero(), "its row was removed")

		restarted := NewMembers(self, log)
		restarted.Apply(discovery.Batch{Rows: []discovery.Row{row(other), row(self)}}, 0)
		g.Expect(restarted.Fleet(settleTime).SettledAt).To(BeTemporally("==", time.Now()))
		time.Sleep(time.Second)
		g.Expect(restarted.Fleet(settleTime).SettledAt).To(BeTemporally("<", time.Now()))
	})
}
