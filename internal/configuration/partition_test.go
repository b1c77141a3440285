package configuration_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/configuration"
)

// Guards against an instance cut off from the store and from its peers that
// goes on with a superseded version.
func TestPartitionFromStoreAndPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 5)
		time.Sleep(settle)
		c.nodes[4].way.setCut(true)
		c.links.split(0, 0, 0, 0, 1)
		time.Sleep(settle)
		g.Expect(c.nodes[4].MayAdmit()).To(BeFalse())
		r := c.nodes[0].Submit(t.Context(), workspacePatch("p", 0, "w"))
		g.Expect(r.Status).To(Equal(configuration.StatusAccepted))
		g.Expect(c.nodes[4].Submit(t.Context(), workspacePatch("q", 0, "x")).Status).To(Equal(configuration.StatusUnavailable))
		c.links.split(0, 0, 0, 0, 0) // peers come back, the store does not
		time.Sleep(settle)
		g.Expect(c.nodes[4].MayAdmit()).To(BeTrue())
		g.Expect(c.nodes[4].Current().Version).To(Equal(configuration.Version(1)))
	})
	synctest.Test(t, func(t *testing.T) {
		pair := newNaivePair(t, newFakeTable())
		pair[1].(naiveNode).Table.(*cutTable).setCut(true)
		g := NewWithT(t)
		g.Expect(pair[0].Submit(t.Context(), workspacePatch("p", 0, "w")).Status).To(Equal(configuration.StatusAccepted))
		time.Sleep(settle)
		g.Expect(pair[1].MayAdmit() && pair[1].Current().Version == 0).To(BeTrue(), "naive must serve the old version")
	})
}

// Guards against a patch accepted by a minority that reaches the store while a
// majority without the store goes on admitting work under the old version.
func TestMinorityWithStoreAcceptsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 5)
		time.Sleep(settle)
		c.links.split(0, 0, 1, 1, 1)
		for _, n := range c.nodes[2:] {
			n.way.setCut(true)
		}
		time.Sleep(settle)
		r := c.nodes[0].Submit(t.Context(), workspacePatch("p", 0, "w"))
		g.Expect(r.Status).To(Equal(configuration.StatusUnavailable))
		g.Expect(r.Message).To(ContainSubstring("heard from 2 of 5 known instances"))
		g.Expect(c.table.commits).To(BeZero())
		for _, n := range c.nodes {
			g.Expect(n.MayAdmit()).To(BeTrue())
		}
	})
}

// Guards against an instance that starts without the store, counts itself to a
// majority and admits work under a version that it forgot in the restart.
func TestRestartWithStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 3)
		time.Sleep(settle)
		c.links.split(0, 0, 1)
		c.nodes[2].way.setCut(true)
		time.Sleep(settle)
		g.Expect(c.nodes[0].Submit(t.Context(), workspacePatch("p", 0, "w")).Status).To(Equal(configuration.StatusAccepted))
		c.table.set(func(f *fakeTable) { f.down = true })
		c.links.split(0, 1, 1) // 1 holds version 1, 2 does not
		c.nodes[1].restart()
		time.Sleep(settle)
		g.Expect(c.nodes[1].MayAdmit()).To(BeFalse(), "one other of three is no majority after a restart")
		g.Expect(c.nodes[2].MayAdmit()).To(BeFalse(), "a restarted instance must not count as heard")
		c.links.split(0, 0, 0)
		time.Sleep(settle)
		for _, n := range c.nodes {
			g.Expect(n.MayAdmit()).To(BeTrue())
			g.Expect(n.Current().Version).To(Equal(configuration.Version(1)))
		}
	})
}

// Guards against a head that went back in the store, and a peer that announces
// a version that nobody accepted.
func TestLowerHeadAndFalseAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 3)
		time.Sleep(settle)
		g.Expect(c.nodes[0].Submit(t.Context(), workspacePatch("p", 0, "w")).Status).To(Equal(configuration.StatusAccepted))
		c.nodes[0].life.Load().follower.Announce(99, "node-1")
		time.Sleep(settle)
		g.Expect(c.nodes[0].life.Load().follower.Standing().Newest).To(Equal(configuration.Version(1)))
		g.Expect(c.nodes[0].MayAdmit()).To(BeTrue())
		c.table.set(func(f *fakeTable) { clear(f.rows) })
		time.Sleep(settle)
		g.Expect(c.nodes[0].Current().Version).To(Equal(configuration.Version(1)))
		g.Expect(c.nodes[0].Submit(t.Context(), workspacePatch("q", 0, "x")).Status).NotTo(Equal(configuration.StatusAccepted))
	})
}
