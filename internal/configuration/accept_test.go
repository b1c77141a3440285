package configuration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/naive"
)

// settleTime is longer than a poll and a heartbeat.
const settleTime = 3 * time.Second

// newNaivePair returns two naive nodes that poll until the test ends.
func newNaivePair(t *testing.T, table *fakeTable) []node {
	var pair []node
	for range 2 {
		n := naiveNode{&naive.PatchAcceptor{Table: &tableClient{TableService: table}, Holder: &naive.ConfigurationHolder{}}}
		go n.pollUntil(t.Context())
		pair = append(pair, n)
	}
	return pair
}

// submitConcurrently submits one patch per operator against the same base. It
// returns how many were accepted and how many of these are missing at some node.
func submitConcurrently(nodes []node, rng *rand.Rand) (accepted, lost int) {
	var wg sync.WaitGroup
	results := make([]configuration.Result, len(nodes))
	for i, n := range nodes {
		delay := time.Duration(rng.IntN(3)) * time.Millisecond
		wg.Go(func() {
			time.Sleep(delay) // virtual time
			results[i] = n.Submit(context.Background(), workspacePatch(fmt.Sprintf("patch-%d", i), 0, fmt.Sprintf("w%d", i)))
		})
	}
	wg.Wait()
	time.Sleep(settleTime)
	newest := &configuration.Snapshot{}
	for _, n := range nodes {
		if n.Current().Version >= newest.Version {
			newest = n.Current()
		}
	}
	for i, r := range results {
		if r.Status != configuration.StatusAccepted {
			continue
		}
		accepted++
		for _, n := range nodes {
			if _, ok := n.Current().Document.Workspaces[workspaceID(i)]; !ok {
				lost++
				break
			}
		}
	}
	return accepted, lost
}

// Guards against lost updates: two operators submit patches against version 0,
// both patches are reported as accepted, and one overwrites the other.
func TestRacingOperators(t *testing.T) {
	for _, seed := range seeds(t, 5) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(t, 3)
			time.Sleep(settleTime)
			accepted, lost := submitConcurrently([]node{c.nodes[0], c.nodes[1], c.nodes[2]}, rand.New(rand.NewPCG(seed, 0)))
			g.Expect(accepted).To(Equal(1))
			g.Expect(lost).To(BeZero())
		})
		synctest.Test(t, func(t *testing.T) {
			accepted, lost := submitConcurrently(newNaivePair(t, newFakeTable()), rand.New(rand.NewPCG(seed, 0)))
			NewWithT(t).Expect(accepted).To(Equal(2))
			NewWithT(t).Expect(lost).To(BeNumerically(">", 0), "naive must lose a patch")
		})
	}
}

// Guards against a patch that takes effect twice, or is reported as failed,
// after the store's response to the commit was lost.
func TestLostCommitResponse(t *testing.T) {
	for name, fault := range map[string]func(*fakeTable){
		"applied":    func(f *fakeTable) { f.loseResponses = 1 },
		"dropped":    func(f *fakeTable) { f.dropCommits = 1 },
		"sent twice": func(f *fakeTable) { f.duplicateNext = true },
		"delayed":    func(f *fakeTable) { f.delayNext = time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c := newCluster(t, 3)
				time.Sleep(settleTime)
				c.table.set(fault)
				r := c.nodes[0].Submit(t.Context(), workspacePatch("p", 0, "w"))
				g.Expect(r.Status).To(Equal(configuration.StatusAccepted))
				g.Expect(r.Version).To(Equal(configuration.Version(1)))
				time.Sleep(settleTime)
				g.Expect(c.nodes[2].Current().Version).To(Equal(configuration.Version(1)))
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		n := newNaivePair(t, table)[0]
		table.loseResponses = 1
		r := n.Submit(t.Context(), workspacePatch("p", 0, "w"))
		g := NewWithT(t)
		g.Expect(r.Status).To(Equal(configuration.StatusUnavailable), "naive must deny a patch that took effect")
		g.Expect(n.Submit(t.Context(), workspacePatch("p", 0, "w")).Version).To(Equal(configuration.Version(2)),
			"naive must apply the patch twice")
	})
}

// Guards against "unavailable" for a patch whose commit response was lost and
// whose outcome cannot be read because the store is down.
func TestLostCommitResponseAndStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 3)
		time.Sleep(settleTime)
		c.table.set(func(f *fakeTable) { f.loseResponses, f.downAfterCommit = 1, true })
		p := workspacePatch("p", 0, "w")
		g.Expect(c.nodes[0].Submit(t.Context(), p).Status).To(Equal(configuration.StatusUnknown))
		c.table.set(func(f *fakeTable) { f.down, f.downAfterCommit = false, false })
		time.Sleep(settleTime)
		r := c.nodes[1].Submit(t.Context(), p)
		g.Expect(r.Status).To(Equal(configuration.StatusAccepted))
		g.Expect(r.Version).To(Equal(configuration.Version(1)))
	})
}

// Guards against a resubmitted patch that is accepted twice, also after other
// versions, and against a patch ID that is reused for other content.
func TestResend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 3)
		time.Sleep(settleTime)
		first := workspacePatch("p", 0, "w")
		g.Expect(c.nodes[0].Submit(t.Context(), first).Version).To(Equal(configuration.Version(1)))
		g.Expect(c.nodes[1].Submit(t.Context(), workspacePatch("q", 1, "x")).Version).To(Equal(configuration.Version(2)))
		resent := first
		resent.Body = []byte(` {"workspaces" : {"w": {"weight":2}}}`)
		r := c.nodes[2].Submit(t.Context(), resent)
		g.Expect(r.Status).To(Equal(configuration.StatusAccepted))
		g.Expect(r.Version).To(Equal(configuration.Version(1)))
		g.Expect(c.nodes[2].Submit(t.Context(), workspacePatch("p", 0, "other")).Status).To(Equal(configuration.StatusInvalid))
		g.Expect(c.nodes[2].Submit(t.Context(), workspacePatch("p", 2, "w")).Status).To(Equal(configuration.StatusInvalid))
		g.Expect(c.nodes[2].Submit(t.Context(), workspacePatch("r", 1, "y"))).To(HaveField("Version", configuration.Version(2)))
		history, err := configuration.NewStore(c.table).History(t.Context(), 5)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(history).To(HaveLen(2))
		g.Expect(history[0].PatchID).To(Equal("q"))
	})
}

// Guards against a dry run that writes to the store, and against one that accepts
// a patch that Submit rejects.
func TestDryRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 3)
		time.Sleep(settleTime)
		p := workspacePatch("p", 0, "w")
		p.DryRun = true
		g.Expect(c.nodes[0].Submit(t.Context(), p).Status).To(Equal(configuration.StatusValid))
		p.Body = []byte(`{"rules":{"r":{"workspace":"none","service":"none"}}}`)
		r := c.nodes[0].Submit(t.Context(), p)
		g.Expect(r.Status).To(Equal(configuration.StatusInvalid))
		g.Expect(r.Message).To(Equal("rules.r.workspace: workspace none does not exist"))
		g.Expect(c.table.commits).To(BeZero())
	})
}

// Guards against "accepted" for a version that no majority holds: a majority that
// cannot reach the store could continue under the old version indefinitely.
func TestAcceptedOnlyWhenAMajorityHoldsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 3)
		time.Sleep(settleTime)
		for _, n := range c.nodes[1:] {
			n.tableClient.setUnreachable(true)
		}
		c.table.set(func(f *fakeTable) { f.onCommit = func() { c.links.split(0, 1, 1) } })
		p := workspacePatch("p", 0, "w")
		g.Expect(c.nodes[0].Submit(t.Context(), p).Status).To(Equal(configuration.StatusUnknown))
		g.Expect(c.nodes[1].MayAdmit()).To(BeTrue())
		g.Expect(c.nodes[1].Current().Version).To(BeZero())
		c.links.split(0, 0, 0)
		time.Sleep(settleTime)
		r := c.nodes[0].Submit(t.Context(), p)
		g.Expect(r.Status).To(Equal(configuration.StatusAccepted))
		g.Expect(r.Version).To(Equal(configuration.Version(1)))
		g.Expect(c.nodes[1].Current().Version).To(Equal(configuration.Version(1)))
	})
}
