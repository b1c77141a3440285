package configuration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/naive"
)

// node is the interface of an instance that the tests use.
type node interface {
	Submit(ctx context.Context, patch configuration.Patch) configuration.Result
	Current() *configuration.Snapshot
	MayAdmit() bool
}

// cluster is a set of nodes that share a table service. It is used in a
// synctest bubble by one test goroutine and the nodes' goroutines.
type cluster struct {
	t     *testing.T
	table *fakeTable
	links *linkMatrix
	nodes []*realNode
}

func newCluster(t *testing.T, size int) *cluster {
	return newGrowingCluster(t, size, size)
}

// newGrowingCluster returns a cluster in which the given number of nodes are
// started and in the roster. The test starts the other nodes later.
func newGrowingCluster(t *testing.T, started, size int) *cluster {
	c := &cluster{t: t, table: newFakeTable(), links: newLinkMatrix(size)}
	for i := range size {
		c.nodes = append(c.nodes, &realNode{index: i, cluster: c, tableClient: &tableClient{TableService: c.table}})
	}
	for _, n := range c.nodes[:started] {
		n.start()
	}
	t.Cleanup(c.stop)
	c.awaitRoster(started)
	return c
}

// awaitRoster waits until all started nodes hold a roster of the given size and
// no change is in progress.
func (c *cluster) awaitRoster(size int) {
	started := time.Now()
	for !c.rosterIs(size) {
		if time.Since(started) > time.Minute {
			c.t.Fatalf("no roster of %d nodes after a minute", size)
		}
		time.Sleep(100 * time.Millisecond) // virtual time
	}
}

func (c *cluster) rosterIs(size int) bool {
	for _, n := range c.nodes {
		inc := n.incarnation.Load()
		if inc == nil {
			continue // was never started
		}
		if held := inc.manager.State().Roster; held.Size() != size || len(held.Previous) > 0 {
			return false
		}
	}
	return true
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.stop()
	}
}

// realNode wires the components as an instance does.
type realNode struct {
	index       int
	cluster     *cluster
	tableClient *tableClient
	incarnation atomic.Pointer[incarnation]
	cancel      context.CancelFunc
	done        chan struct{}
}

func nodeID(i int) contract.InstanceID { return contract.InstanceID(fmt.Sprintf("node-%d", i)) }

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func (n *realNode) start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel, n.done = cancel, make(chan struct{})
	inc := newIncarnation(n)
	n.cluster.links.setIncarnation(n.index, inc)
	n.incarnation.Store(inc)
	go func() {
		defer close(n.done)
		go inc.runHeartbeats(ctx)
		go inc.manager.Run(ctx)
		_ = inc.follower.Run(ctx)
	}()
}

func (n *realNode) stop() {
	if n.cancel == nil {
		return // was never started
	}
	n.cancel()
	<-n.done
	n.cluster.links.setIncarnation(n.index, nil)
}

// restart replaces the incarnation by a new one without state.
func (n *realNode) restart() {
	n.stop()
	n.start()
}

func (n *realNode) Submit(ctx context.Context, p configuration.Patch) configuration.Result {
	return n.incarnation.Load().acceptor.Submit(ctx, p)
}
func (n *realNode) Current() *configuration.Snapshot { return n.incarnation.Load().holder.Current() }
func (n *realNode) MayAdmit() bool                   { return n.incarnation.Load().confirm().Confirmed }

// naiveNode polls the row of the naive implementation and applies each version.
type naiveNode struct {
	*naive.PatchAcceptor
}

func (n naiveNode) Current() *configuration.Snapshot { return n.Holder.Current() }
func (n naiveNode) MayAdmit() bool                   { return n.Holder.MayAdmit() }

func (n naiveNode) pollUntil(ctx context.Context) {
	ticker := time.NewTicker(configuration.DefaultPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.Poll(ctx)
		}
	}
}

func workspacePatch(id string, base configuration.Version, workspace string) configuration.Patch {
	body, _ := json.Marshal(map[string]any{"workspaces": map[string]any{workspace: map[string]any{"weight": 2}}})
	return configuration.Patch{ID: id, Base: base, Body: body}
}

var errPartitioned = errors.New("link is cut")

// seeds returns the seeds of a random test: the seed in FOXTAILHUB_SEED, or the
// given number of fixed seeds.
func seeds(t *testing.T, count uint64) []uint64 {
	if text := os.Getenv("FOXTAILHUB_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatalf("FOXTAILHUB_SEED: %v", err)
		}
		return []uint64{seed}
	}
	list := make([]uint64, count)
	for i := range list {
		list[i] = uint64(i) + 1
	}
	return list
}

const heartbeatInterval = 500 * time.Millisecond

func workspaceID(i int) contract.WorkspaceID { return contract.WorkspaceID(fmt.Sprintf("w%d", i)) }
