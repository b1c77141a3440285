package configuration_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/configuration"
)

// Guards against two majorities: instances that join on the side of a partition
// with the store must not outvote the members that continue without the store.
func TestJoiningInstancesDoNotOutvoteTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newGrowingCluster(t, 3, 6)
		for _, n := range c.nodes[1:3] {
			n.tableClient.setUnreachable(true)
		}
		c.links.split(0, 1, 1, 0, 0, 0)
		for _, n := range c.nodes[3:] {
			n.start()
		}
		time.Sleep(2 * removalDelay)
		r := c.nodes[0].Submit(t.Context(), workspacePatch("p", 0, "w"))
		g.Expect(r.Status).To(Equal(configuration.StatusUnavailable), "the other two members admit work under version 0")
		g.Expect(c.table.commits).To(BeZero())
		for _, n := range c.nodes {
			g.Expect(n.MayAdmit()).To(BeTrue())
		}
		c.links.split(0, 0, 0, 0, 0, 0)
		c.awaitRoster(6)
		g.Expect(c.nodes[0].Submit(t.Context(), workspacePatch("p", 0, "w")).Status).To(Equal(configuration.StatusAccepted))
	})
}

// Guards against a second change before a majority holds the first: the old
// members, without the store and the new roster, would be a second majority.
func TestMajorityHoldsEachChangeBeforeTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newGrowingCluster(t, 3, 6)
		for _, n := range c.nodes[1:3] {
			n.tableClient.setUnreachable(true)
		}
		first := c.nodes[0].incarnation.Load().manager.State().Roster.Sequence
		// Node 0 reaches the old members until its first change is in the store.
		c.table.set(func(f *fakeTable) { f.onCommit = func() { c.links.split(0, 1, 1, 0, 0, 0) } })
		for _, n := range c.nodes[3:] {
			n.start()
		}
		time.Sleep(2 * removalDelay)
		g.Expect(c.nodes[0].incarnation.Load().manager.State().Roster.Sequence).To(Equal(first + 1))
		g.Expect(c.nodes[0].Submit(t.Context(), workspacePatch("p", 0, "w")).Status).NotTo(Equal(configuration.StatusAccepted))
		for _, n := range c.nodes[1:3] {
			g.Expect(n.MayAdmit()).To(BeTrue())
		}
		g.Expect(c.table.commits).To(BeZero())
	})
}

// Guards against a version accepted under a roster that changed meanwhile.
func TestAcceptanceIsConditionalOnTheRoster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 3)
		time.Sleep(settleTime)
		c.table.set(func(f *fakeTable) { f.onCommit = func() { f.bumpRevision("membership/roster") } })
		r := c.nodes[0].Submit(t.Context(), workspacePatch("p", 0, "w"))
		g.Expect(r.Status).To(Equal(configuration.StatusAccepted))
		g.Expect(c.table.commits).To(Equal(2), "the first commit found a changed roster")
	})
}

// Guards against a roster change that is applied twice, or never, when the store's
// response is lost or two instances write at once.
func TestRosterWritesUnderStoreFaults(t *testing.T) {
	for name, fault := range map[string]func(*fakeTable){
		"applied":    func(f *fakeTable) { f.loseResponses = 20 },
		"dropped":    func(f *fakeTable) { f.dropCommits = 3 },
		"sent twice": func(f *fakeTable) { f.duplicateNext = true },
		"delayed":    func(f *fakeTable) { f.delayNext = 700 * time.Millisecond },
		"overtaken":  func(f *fakeTable) { f.onCommit = func() { f.bumpRevision("membership/roster") } },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c := newGrowingCluster(t, 3, 6)
				c.table.set(fault)
				for _, n := range c.nodes[3:] {
					n.start()
				}
				c.awaitRoster(6)
				time.Sleep(settleTime)
				for i, r := range c.table.rosters[1:] {
					g.Expect(r.Sequence).To(Equal(c.table.rosters[i].Sequence + 1))
					ended := len(c.table.rosters[i].Previous) > 0
					g.Expect(slices.Equal(r.Instances, c.table.rosters[i].Instances)).To(Equal(ended))
				}
			})
		})
	}
}

// Guards against entries in the unauthenticated list that block patches: an
// instance that is listed at every node but never in contact joins the roster.
func TestListedInstancesWithoutContactDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newGrowingCluster(t, 3, 9)
		time.Sleep(2 * removalDelay)
		g.Expect(c.nodes[0].incarnation.Load().manager.State().Roster.Instances).To(HaveLen(3))
		g.Expect(c.nodes[0].Submit(t.Context(), workspacePatch("p", 0, "w")).Status).To(Equal(configuration.StatusAccepted))
	})
}

// Guards against crashed nodes that stay in the roster forever, and against the
// removal of a silent node that is still listed.
func TestSilentNodesLeaveTheRoster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 5)
		listed := c.nodes[3]
		listed.cancel()
		c.links.setIncarnation(listed.index, nil)
		c.crashAndUnlist(c.nodes[4])
		size := func() int { return len(c.nodes[0].incarnation.Load().manager.State().Roster.Instances) }
		time.Sleep(removalDelay - time.Second)
		g.Expect(size()).To(Equal(5))
		time.Sleep(5 * time.Second)
		g.Expect(size()).To(Equal(4))
		time.Sleep(2 * removalDelay)
		g.Expect(size()).To(Equal(4))
	})
}
