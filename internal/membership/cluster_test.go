package membership

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link/linktest"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/timeline"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", strconv.FormatUint(seed(), 10)); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("FOXTAILHUB_SEED"), 10, 64); err == nil {
		return n
	}
	return 1
}

// memoryList is an instance list in memory.
type memoryList struct {
	mu      sync.Mutex // guards the fields below
	entries map[string]platform.ListEntry
	crashed map[string]bool // instances that no longer write
	down    bool
}

func newMemoryList() *memoryList {
	return &memoryList{entries: map[string]platform.ListEntry{}, crashed: map[string]bool{}}
}

func (l *memoryList) List(context.Context) (platform.List, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list platform.List
	for _, e := range l.entries {
		list.Instances = append(list.Instances, e)
	}
	if l.down {
		return platform.List{}, platform.ErrUnavailable
	}
	return list, nil
}

func (l *memoryList) Register(_ context.Context, e platform.ListEntry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || l.crashed[e.ID] {
		return platform.ErrUnavailable
	}
	l.entries[e.ID] = e
	return nil
}

func (l *memoryList) Deregister(_ context.Context, id string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.crashed[id] {
		delete(l.entries, id)
	}
	return nil
}

func (l *memoryList) crash(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashed[id] = true
}

// expire removes an entry, as the platform does for a crashed instance.
func (l *memoryList) expire(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.entries, id)
}

func (l *memoryList) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// node is one instance of a cluster.
type node struct {
	*Membership
	id   contract.InstanceID
	stop context.CancelFunc
	done chan struct{}
}

// cluster is a deployment with an in-memory network and instance list.
type cluster struct {
	network *linktest.Network
	list    *memoryList
	nodes   []*node
	config  func(*Config)
}

// withCluster runs a test with n instances, two milliseconds apart, in virtual
// time.
func withCluster(t *testing.T, n int, configure func(*Config), test func(g *WithT, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{network: linktest.NewNetwork(seed()), list: newMemoryList(), config: configure}
		c.network.SetDelay(func(_, _ contract.InstanceID) time.Duration { return 2 * time.Millisecond })
		for i := range n {
			self := memberNumber(i)
			c.list.entries[string(self.ID)] = platform.ListEntry{
				ID: string(self.ID), Address: self.Address, FailureDomain: string(self.Domain), Region: self.Region, State: platform.StateLive,
			}
		}
		for i := range n {
			c.start(t, i)
		}
		defer c.stopAll()
		test(NewWithT(t), c)
	})
}

func (c *cluster) stopAll() {
	for _, n := range c.nodes {
		c.network.Resume(n.id)
		n.stop()
	}
	for _, n := range c.nodes {
		<-n.done
	}
}

func memberNumber(i int) Member {
	return Member{
		ID: contract.InstanceID(fmt.Sprintf("instance-%03d", i)), Address: fmt.Sprintf("127.0.0.1:%d", 10000+i),
		Domain: contract.FailureDomainID(fmt.Sprintf("domain-%02d", i%12)), Region: "pohjola",
	}
}

func (c *cluster) start(t *testing.T, i int) {
	n := c.create(t, i)
	n.SetConfigurationStatus(ConfigurationStatus{Current: true})
	c.run(n)
}

func (c *cluster) create(t *testing.T, i int) *node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := memberNumber(i)
	config := Config{
		Self: self, List: c.list, Transport: c.network.Transport(self.ID),
		Clock: timeline.NewClock(), Recorder: timeline.Discard{}, Log: log, JitterSeed: seed(),
	}
	if c.config != nil {
		c.config(&config)
	}
	m, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	m.SetState(Ready)
	return &node{Membership: m, id: self.ID, done: make(chan struct{})}
}

func (c *cluster) run(n *node) {
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	c.nodes = append(c.nodes, n)
	go func() {
		defer close(n.done)
		_ = n.Run(ctx)
	}()
}

func (c *cluster) ids(from, to int) []contract.InstanceID {
	var ids []contract.InstanceID
	for _, n := range c.nodes[from:to] {
		ids = append(ids, n.id)
	}
	return ids
}

// crash stops an instance without any announcement.
func (c *cluster) crash(n *node) {
	c.network.Remove(n.id)
	c.list.crash(string(n.id))
	n.stop()
	<-n.done
	for i, other := range c.nodes {
		if other == n {
			c.nodes = append(c.nodes[:i:i], c.nodes[i+1:]...)
			return
		}
	}
}

func (n *node) contactedCount() int { return n.View().ContactedCount(time.Now()) }
func (n *node) knownCount() int     { return n.View().KnownCount(time.Now()) }

// majority reports whether the node is in contact with more than half of a
// deployment.
func (n *node) majority(instances int) bool { return 2*n.contactedCount() > instances }

// minContacted returns the smallest number of instances with which a node is in
// contact.
func minContacted(nodes []*node) int {
	least := nodes[0].contactedCount()
	for _, n := range nodes {
		least = min(least, n.contactedCount())
	}
	return least
}

func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// adopt puts a version in force and pushes it. It reports whether the version
// was new.
func (n *node) adopt(version int64) bool {
	n.mu.Lock()
	newer := version > n.status.HeldVersion
	n.mu.Unlock()
	if newer {
		n.SetConfigurationStatus(ConfigurationStatus{Current: true, HeadVersion: version, HeldVersion: version})
		n.PushStatus()
	}
	return newer
}

// minHolders returns the smallest number of instances that a node has recorded
// as holders of a version, itself included.
func minHolders(nodes []*node, version int64) int {
	least := len(nodes)
	for _, n := range nodes {
		holding := 1
		for _, m := range n.View().Members() {
			if m.HeldVersion >= version {
				holding++
			}
		}
		least = min(least, holding)
	}
	return least
}
