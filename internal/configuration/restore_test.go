package configuration_test

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/roster"
)

// tableCopy is the state of a fakeTable at one moment.
type tableCopy struct {
	rows     map[string]platform.Row
	revision int64
}

func (f *fakeTable) copy() tableCopy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return tableCopy{maps.Clone(f.rows), f.revision}
}

// restore loses what was written since the copy; its revisions are given out again.
func (f *fakeTable) restore(c tableCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rows, f.revision = maps.Clone(c.rows), c.revision
}

// newRestoredCluster returns a cluster that holds version 3, and a copy of its table with version 1.
func newRestoredCluster(t *testing.T, g Gomega) (*cluster, tableCopy) {
	c := newCluster(t, 3)
	var earlier tableCopy
	for i, id := range []string{"p-0", "p-1", "p-2"} {
		result := c.nodes[i].Submit(context.Background(), workspacePatch(id, configuration.Version(i), id))
		g.Expect(result.Status).To(Equal(configuration.StatusAccepted), result.Message)
		time.Sleep(settleTime)
		if i == 0 {
			earlier = c.table.copy()
		}
	}
	return c, earlier
}

func (c *cluster) expectVersion(g Gomega, version configuration.Version) {
	for _, n := range c.nodes {
		g.ExpectWithOffset(1, n.Current().Version).To(Equal(version))
	}
}

// Guards against an operator who is told that a patch is accepted that no instance puts in force, because the table
// service has lost the versions that the instances hold.
func TestPatchOfLostBaseIsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c, earlier := newRestoredCluster(t, g)
		c.table.restore(earlier)
		result := c.nodes[0].Submit(context.Background(), workspacePatch("late", 1, "w-late"))
		g.Expect(result.Status).NotTo(Equal(configuration.StatusAccepted))
		time.Sleep(settleTime)
		c.expectVersion(g, 3)
		for _, n := range c.nodes {
			g.Expect(n.Current().Document.Workspaces).NotTo(HaveKey(BeEquivalentTo("w-late")))
		}
	})
}

// Guards against a configuration that goes back, or can't be changed any more, after the table service has lost its newest
// versions: the instances write the version in force again.
func TestVersionInForceIsWrittenAgainAfterLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c, earlier := newRestoredCluster(t, g)
		for round := range 2 { // twice in a row
			c.table.restore(earlier)
			for range 30 {
				time.Sleep(100 * time.Millisecond)
				c.expectVersion(g, configuration.Version(3+round))
			}
			g.Expect(c.nodes[1].MayAdmit()).To(BeTrue())
			id := []string{"p-3", "p-4"}[round]
			result := c.nodes[round].Submit(context.Background(), workspacePatch(id, configuration.Version(3+round), id))
			g.Expect(result.Status).To(Equal(configuration.StatusAccepted), result.Message)
			time.Sleep(settleTime)
			c.expectVersion(g, configuration.Version(4+round))
		}
		c.nodes[2].restart()
		time.Sleep(settleTime)
		c.expectVersion(g, 5)
		for _, id := range []string{"p-0", "p-1", "p-2", "p-3", "p-4"} {
			g.Expect(c.nodes[2].Current().Document.Workspaces).To(HaveKey(BeEquivalentTo(id)))
		}
	})
}

// Guards against a roster that stays older in the table service than at the instances, so that no patch is accepted any more, and
// against one that is created anew with fewer instances than its majority needs.
func TestRosterIsWrittenAgainAfterLoss(t *testing.T) {
	for name, lose := range map[string]func(rows map[string]platform.Row, earlier platform.Row){
		"went back": func(rows map[string]platform.Row, earlier platform.Row) { rows[roster.Key] = earlier },
		"is gone":   func(rows map[string]platform.Row, _ platform.Row) { delete(rows, roster.Key) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c := newGrowingCluster(t, 3, 5)
				earlier := c.table.copy().rows[roster.Key]
				c.nodes[3].start()
				c.nodes[4].start()
				c.awaitRoster(5)
				time.Sleep(settleTime)
				held := c.nodes[0].incarnation.Load().manager.State().Roster
				lost := c.table.copy()
				lose(lost.rows, earlier)
				c.table.restore(lost)
				for range 200 {
					time.Sleep(100 * time.Millisecond)
					for _, n := range c.nodes {
						now := n.incarnation.Load().manager.State().Roster
						g.Expect(now.Instances).To(Equal(held.Instances))
						g.Expect(n.MayAdmit()).To(BeTrue())
					}
				}
				result := c.nodes[1].Submit(context.Background(), workspacePatch("p", 0, "w"))
				g.Expect(result.Status).To(Equal(configuration.StatusAccepted), result.Message)
			})
		})
	}
}
