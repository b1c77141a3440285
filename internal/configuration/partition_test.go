package configuration_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
)

// Guards against a version that reaches an instance later than the bound of P8,
// when all instances reach the store and when only one does.
func TestTakesEffectWithinBound(t *testing.T) {
	for _, cut := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(t, 9)
			time.Sleep(settleTime)
			for _, n := range c.nodes[1:] {
				n.tableClient.setUnreachable(cut)
			}
			time.Sleep(settleTime)
			g.Expect(c.nodes[0].Submit(t.Context(), workspacePatch("p", 0, "w")).Status).To(Equal(configuration.StatusAccepted))
			time.Sleep(effectiveBound)
			for _, n := range c.nodes {
				g.Expect(n.Current().Version).To(Equal(configuration.Version(1)))
				g.Expect(n.MayAdmit()).To(BeTrue())
			}
		})
	}
}

// crashAndUnlist stops nodes without a drain and removes them from the list.
func (c *cluster) crashAndUnlist(nodes ...*realNode) {
	for _, crashed := range nodes {
		crashed.cancel()
		c.links.setIncarnation(crashed.index, nil)
		for _, n := range c.nodes {
			n.incarnation.Load().unlist(crashed.index)
		}
	}
}

// Guards against a roster that shrinks after a majority of it crashed, however
// long ago, and one that does not shrink when instances drain.
func TestDepartedInstances(t *testing.T) {
	for _, drained := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(t, 5)
			if drained {
				for _, n := range c.nodes[2:] {
					n.incarnation.Load().setLeaving()
				}
				c.awaitRoster(2)
			}
			c.crashAndUnlist(c.nodes[2:]...)
			time.Sleep(2 * removalDelay)
			r := c.nodes[0].Submit(t.Context(), workspacePatch("p", 0, "w"))
			if !drained {
				g.Expect(r.Status).To(Equal(configuration.StatusUnavailable))
				g.Expect(c.table.commits).To(BeZero())
				return
			}
			g.Expect(r.Status).To(Equal(configuration.StatusAccepted), r.Message)
			g.Expect(c.table.commits).To(Equal(1))
		})
	}
}

// Guards against an invalid, incomplete or older version fetched from a peer.
func TestFetchValidatesResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newFakeTable()
		client := &tableClient{TableService: table}
		client.setUnreachable(true)
		holder := configuration.NewHolder()
		responses := []string{"{", `{"version":1,"document":{}}`, `{"version":2,"document":{"rules":{"r":{}}}}`,
			`{"version":2,"document":{"extra":{}}}`, `{"version":2,"patch_id":"p","document":{}}`}
		follower := configuration.NewFollower(configuration.FollowerConfig{
			Store: configuration.NewStore(client), Holder: holder, Seed: 1, Log: quietLog(),
			Fetch: func(context.Context, contract.InstanceID, configuration.Version) ([]byte, error) {
				response := responses[0]
				responses = responses[1:]
				return []byte(response), nil
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = follower.Run(ctx) }()
		for range 4 {
			follower.ObservePeerVersion(2, "peer")
			time.Sleep(time.Second)
			g.Expect(holder.Current().Version).To(BeZero())
		}
		follower.ObservePeerVersion(2, "peer")
		time.Sleep(time.Second)
		g.Expect(holder.Current().Version).To(Equal(configuration.Version(2)))
		g.Expect(responses).To(BeEmpty(), "one fetch per announcement")
	})
}

// Guards against an instance that is partitioned from the store and its peers and
// continues to admit work under a superseded version.
func TestPartitionFromStoreAndPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 5)
		time.Sleep(settleTime)
		c.nodes[4].tableClient.setUnreachable(true)
		c.links.split(0, 0, 0, 0, 1)
		time.Sleep(settleTime)
		g.Expect(c.nodes[4].MayAdmit()).To(BeFalse())
		r := c.nodes[0].Submit(t.Context(), workspacePatch("p", 0, "w"))
		g.Expect(r.Status).To(Equal(configuration.StatusAccepted))
		g.Expect(c.nodes[4].Submit(t.Context(), workspacePatch("q", 0, "x")).Status).To(Equal(configuration.StatusUnavailable))
		c.links.split(0, 0, 0, 0, 0) // the peers are reachable again, the store is not
		time.Sleep(settleTime)
		g.Expect(c.nodes[4].MayAdmit()).To(BeTrue())
		g.Expect(c.nodes[4].Current().Version).To(Equal(configuration.Version(1)))
	})
	synctest.Test(t, func(t *testing.T) {
		pair := newNaivePair(t, newFakeTable())
		pair[1].(naiveNode).Table.(*tableClient).setUnreachable(true)
		g := NewWithT(t)
		g.Expect(pair[0].Submit(t.Context(), workspacePatch("p", 0, "w")).Status).To(Equal(configuration.StatusAccepted))
		time.Sleep(settleTime)
		g.Expect(pair[1].MayAdmit() && pair[1].Current().Version == 0).To(BeTrue(), "naive must serve the old version")
	})
}

// Guards against a patch accepted by a minority that reaches the store while a
// majority without the store continues to admit work under the old version.
func TestMinorityWithStoreAcceptsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 5)
		time.Sleep(settleTime)
		c.links.split(0, 0, 1, 1, 1)
		for _, n := range c.nodes[2:] {
			n.tableClient.setUnreachable(true)
		}
		time.Sleep(settleTime)
		r := c.nodes[0].Submit(t.Context(), workspacePatch("p", 0, "w"))
		g.Expect(r.Status).To(Equal(configuration.StatusUnavailable))
		g.Expect(r.Message).To(ContainSubstring("heard from 2 of 5 instances of the roster"))
		g.Expect(c.table.commits).To(BeZero())
		for _, n := range c.nodes {
			g.Expect(n.MayAdmit()).To(BeTrue())
		}
	})
}

// Guards against an instance that restarts without the store, counts itself
// towards a majority and admits work although it lost the accepted version.
func TestRestartWithStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 3)
		time.Sleep(settleTime)
		c.links.split(0, 0, 1)
		c.nodes[2].tableClient.setUnreachable(true)
		time.Sleep(settleTime)
		g.Expect(c.nodes[0].Submit(t.Context(), workspacePatch("p", 0, "w")).Status).To(Equal(configuration.StatusAccepted))
		c.table.set(func(f *fakeTable) { f.down = true })
		c.links.split(0, 1, 1) // 1 holds version 1, 2 does not
		c.nodes[1].restart()
		time.Sleep(settleTime)
		g.Expect(c.nodes[1].MayAdmit()).To(BeFalse(), "one other of three is no majority after a restart")
		g.Expect(c.nodes[2].MayAdmit()).To(BeFalse(), "a restarted instance must not count as contacted")
		c.links.split(0, 0, 0)
		time.Sleep(settleTime)
		for _, n := range c.nodes {
			g.Expect(n.MayAdmit()).To(BeTrue())
			g.Expect(n.Current().Version).To(Equal(configuration.Version(1)))
		}
	})
}

// Guards against a lower version in force after the store lost its head, and
// against a peer that announces a version that was not accepted.
func TestLowerHeadAndFalseAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 3)
		time.Sleep(settleTime)
		g.Expect(c.nodes[0].Submit(t.Context(), workspacePatch("p", 0, "w")).Status).To(Equal(configuration.StatusAccepted))
		c.nodes[0].incarnation.Load().follower.ObservePeerVersion(99, "node-1")
		time.Sleep(settleTime)
		g.Expect(c.nodes[0].incarnation.Load().follower.Status().NewestVersion).To(Equal(configuration.Version(1)))
		g.Expect(c.nodes[0].MayAdmit()).To(BeTrue())
		c.table.set(func(f *fakeTable) { clear(f.rows) })
		time.Sleep(settleTime)
		g.Expect(c.nodes[0].Current().Version).To(Equal(configuration.Version(1)))
		g.Expect(c.nodes[0].Submit(t.Context(), workspacePatch("q", 0, "x")).Status).NotTo(Equal(configuration.StatusAccepted))
	})
}
