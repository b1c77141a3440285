package membership

import (
	"encoding/binary"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/platform"
)

// Guards against a minority that continues to admit work, and a majority that
// stops, when a partition and an outage of the instance list coincide; and
// against two sides that do not find each other after the partition heals.
func TestPartitionLeavesMajorityToOneSide(t *testing.T) {
	withCluster(t, 9, nil, func(g *WithT, c *cluster) {
		advance(3 * time.Second)
		g.Expect(minContacted(c.nodes)).To(Equal(9))
		c.list.setDown(true)
		c.network.Partition(c.ids(0, 5), c.ids(5, 9))
		advance(3 * time.Second)
		for i, n := range c.nodes {
			g.Expect(n.majority(9)).To(Equal(i < 5), "instance %d contacted %d of %d", i, n.contactedCount(), n.knownCount())
			g.Expect(n.knownCount()).To(Equal(9))
		}
		advance(time.Minute)
		c.network.Heal()
		advance(8 * time.Second)
		g.Expect(minContacted(c.nodes)).To(Equal(9))
	})
}

// Guards against an instance that counts contacts from before a pause, or
// responses that arrive at its end, as recent.
func TestPausedInstanceCountsNoContacts(t *testing.T) {
	withCluster(t, 9, nil, func(g *WithT, c *cluster) {
		advance(3 * time.Second)
		// The delay keeps responses in flight at the start of the pause.
		c.network.SetDelay(func(_, _ contract.InstanceID) time.Duration { return 200 * time.Millisecond })
		advance(3 * time.Second)
		paused := c.nodes[0]
		c.network.Pause(paused.id)
		advance(30 * time.Second)
		g.Expect(paused.majority(9)).To(BeFalse())
		c.network.Partition(c.ids(0, 1), c.ids(1, 9))
		c.network.Resume(paused.id)     // only the delayed responses arrive
		advance(250 * time.Millisecond) // a view is rebuilt every 100 ms
		g.Expect(paused.contactedCount()).To(Equal(1))
		g.Expect(paused.majority(9)).To(BeFalse())
		c.network.Heal()
		advance(3 * time.Second)
		g.Expect(paused.contactedCount()).To(Equal(9))
	})
}

// Guards against an instance that counts received messages as contacts although
// its own messages are lost: other instances cannot reach it, so it could miss
// a version.
func TestOneWayLossIsNoContact(t *testing.T) {
	withCluster(t, 9, nil, func(g *WithT, c *cluster) {
		advance(3 * time.Second)
		isolated := c.nodes[0]
		for _, id := range c.ids(1, 9) {
			c.network.DropOneWay(isolated.id, id)
		}
		advance(3 * time.Second)
		g.Expect(isolated.contactedCount()).To(Equal(1))
		for _, n := range c.nodes[1:] {
			g.Expect(n.contactedCount()).To(Equal(8), "responses of the isolated instance are lost")
		}
	})
}

// Guards against silent instances that are forgotten, and no longer probed,
// during a long partition.
func TestSilentInstancesStayKnownDuringRetention(t *testing.T) {
	const hold = 30 * time.Minute
	withCluster(t, 5, func(c *Config) { c.MemberRetention = hold }, func(g *WithT, c *cluster) {
		advance(3 * time.Second)
		for range 3 {
			crashed := c.nodes[len(c.nodes)-1]
			c.crash(crashed)
			c.list.expire(string(crashed.id))
		}
		advance(hold - time.Minute)
		for _, n := range c.nodes {
			g.Expect(n.knownCount()).To(Equal(5))
			g.Expect(n.majority(5)).To(BeFalse())
		}
		advance(2 * time.Minute)
		for _, n := range c.nodes {
			g.Expect(n.knownCount()).To(Equal(2))
			g.Expect(n.majority(2)).To(BeTrue(), "contacted %d of %d, peers %d", n.contactedCount(), n.knownCount(), len(n.View().Peers()))
		}
	})
}

// Guards against instances that remain known after a planned restart and are
// probed for a day, also while the instance list is down.
func TestDrainedInstancesAreForgotten(t *testing.T) {
	withCluster(t, 9, nil, func(g *WithT, c *cluster) {
		advance(3 * time.Second)
		c.list.setDown(true)
		for range 5 {
			leaving := c.nodes[len(c.nodes)-1]
			leaving.SetState(Draining)
			advance(time.Second)
			m, _ := c.nodes[0].View().Member(leaving.id)
			g.Expect(m.State).To(Equal(Draining))
			c.crash(leaving)
		}
		advance(15 * time.Second)
		for _, n := range c.nodes {
			g.Expect(n.knownCount()).To(Equal(4))
			g.Expect(n.majority(4)).To(BeTrue(), "contacted %d of %d, peers %d", n.contactedCount(), n.knownCount(), len(n.View().Peers()))
		}
	})
}

// Guards against a number of peers that is too small for a majority to be
// contacted, or a version to arrive, within 3 s in the target deployment; and
// against heartbeats above the budget of 25 KB per second in both directions.
func TestTargetDeploymentReachesMajorityWithinBudget(t *testing.T) {
	const instances = 480
	var reached atomic.Int64
	var nodes sync.Map // by identifier
	configure := func(config *Config) {
		self := config.Self.ID
		config.OnPeerHead = func(_ contract.InstanceID, head int64) bool {
			if n, found := nodes.Load(self); found && n.(*node).adopt(head) {
				reached.Add(1)
			}
			return true
		}
	}
	withCluster(t, instances, configure, func(g *WithT, c *cluster) {
		for _, n := range c.nodes {
			nodes.Store(n.id, n)
		}
		advance(3 * time.Second)
		least := minContacted(c.nodes)
		t.Logf("fewest contacts after 3 s: %d of %d", least, instances)
		g.Expect(least).To(BeNumerically(">", instances/2))

		c.nodes[0].adopt(7)
		start := time.Now()
		for reached.Load() < instances-1 && time.Since(start) < 3*time.Second {
			advance(10 * time.Millisecond)
		}
		t.Logf("version reached %d instances after %s", reached.Load()+1, time.Since(start))
		g.Expect(reached.Load()).To(BeNumerically(">=", instances-1))

		for minHolders(c.nodes, 7) <= instances/2 && time.Since(start) < 6*time.Second {
			advance(10 * time.Millisecond)
		}
		t.Logf("every instance has reports of a majority that holds the version after %s", time.Since(start))
		g.Expect(time.Since(start)).To(BeNumerically("<", 3*time.Second))
		advance(3 * time.Second)
		g.Expect(minContacted(c.nodes)).To(BeNumerically(">", instances*9/10))
		checkTraffic(t, g, c.nodes)
	})
}

// Guards against a version that is lost when a failure domain crashes on lossy
// links before the peers are reselected, and against a lost majority.
func TestVersionArrivesDespiteLossOfFailureDomain(t *testing.T) {
	const instances, domains = 96, 12
	var nodes sync.Map // by identifier
	configure := func(config *Config) {
		self := config.Self.ID
		config.OnPeerHead = func(_ contract.InstanceID, head int64) bool {
			if n, found := nodes.Load(self); found {
				n.(*node).adopt(head)
			}
			return true
		}
	}
	withCluster(t, instances, configure, func(g *WithT, c *cluster) {
		for _, n := range c.nodes {
			nodes.Store(n.id, n)
		}
		advance(3 * time.Second)
		c.network.SetLoss(0.1)
		for i := range instances / domains {
			lost, _ := nodes.Load(memberNumber(i * domains).ID)
			c.crash(lost.(*node))
		}
		c.nodes[0].adopt(9)
		advance(3 * time.Second)
		for _, n := range c.nodes {
			n.mu.Lock()
			g.Expect(n.status.HeadVersion).To(Equal(int64(9)), "%s", n.id)
			n.mu.Unlock()
			g.Expect(n.majority(instances)).To(BeTrue(), "contacted %d of %d, peers %d", n.contactedCount(), n.knownCount(), len(n.View().Peers()))
			g.Expect(n.knownCount()).To(Equal(instances))
		}
	})
}

// Guards against section data that is lost without a report to its owner.
func TestSectionsAreDeliveredOrReported(t *testing.T) {
	type event struct {
		to        contract.InstanceID
		delivered bool
	}
	learned, settled := make(chan string, 1000), make(chan event, 1000)
	configure := func(config *Config) { config.Interval = time.Second }
	withCluster(t, 2, configure, func(g *WithT, c *cluster) {
		for _, n := range c.nodes {
			n.stop() // sections are registered before Run, so the running instances are replaced
			<-n.done
		}
		c.nodes = nil
		for i := range 2 {
			n := c.create(t, i)
			n.RegisterSection(Section{
				ID:      3,
				Collect: func(peer contract.InstanceID) []byte { return []byte(string(n.id) + ">" + string(peer)) },
				Receive: func(peer contract.InstanceID, data []byte) error {
					learned <- string(peer) + " sent " + string(data)
					return nil
				},
				OnResult: func(peer contract.InstanceID, delivered bool) { settled <- event{peer, delivered} },
			})
			c.run(n)
		}
		advance(3 * time.Second)
		g.Expect(<-learned).To(MatchRegexp("^instance-00(0 sent instance-000>instance-001|1 sent instance-001>instance-000)$"))
		g.Expect((<-settled).delivered).To(BeTrue())
		c.network.Partition(c.ids(0, 1), c.ids(1, 2))
		advance(3 * time.Second)
		var last event
		for len(settled) > 0 {
			last = <-settled
		}
		g.Expect(last.delivered).To(BeFalse())
	})
}

// Guards against evidence of a crash that waits for the next interval, also if
// it arrives while a heartbeat is in flight: until then a peer may place the
// same content.
func TestEarlyHeartbeatCarriesSections(t *testing.T) {
	var latest, learned atomic.Int64
	configure := func(config *Config) { config.Interval = time.Hour }
	withCluster(t, 2, configure, func(g *WithT, c *cluster) {
		for _, n := range c.nodes {
			n.stop() // sections are registered before Run, so the running instances are replaced
			<-n.done
		}
		c.nodes = nil
		for i := range 2 {
			n := c.create(t, i)
			n.RegisterSection(Section{
				ID:      3,
				Collect: func(contract.InstanceID) []byte { return binary.AppendVarint(nil, latest.Load()) },
				Receive: func(_ contract.InstanceID, data []byte) error {
					number, _ := binary.Varint(data)
					learned.Store(max(learned.Load(), number))
					return nil
				},
			})
			c.run(n)
		}
		advance(time.Minute)
		for range 5 {
			latest.Add(1)
			c.nodes[0].SendNow()
			advance(500 * time.Microsecond) // less than the round-trip time to the peer
		}
		advance(2*pushInterval + 10*time.Millisecond)
		g.Expect(learned.Load()).To(Equal(latest.Load()))
	})
}

// Guards against an entry in the instance list that outlives the instance or
// hides that it is leaving.
func TestListEntryFollowsTheInstance(t *testing.T) {
	withCluster(t, 2, nil, func(g *WithT, c *cluster) {
		leaving := c.nodes[1]
		entry := func() platform.ListEntry {
			list, _ := c.list.List(t.Context())
			for _, e := range list.Instances {
				if e.ID == string(leaving.id) {
					return e
				}
			}
			return platform.ListEntry{}
		}
		advance(time.Second)
		g.Expect(entry().State).To(Equal(platform.StateLive))
		g.Expect(entry().UpdatedAt).NotTo(BeZero())
		leaving.SetState(Draining)
		leaving.SetState(Ready) // draining is final
		advance(10 * time.Millisecond)
		g.Expect(entry().State).To(Equal(platform.StateLeaving))
		leaving.stop()
		<-leaving.done
		g.Expect(entry().ID).To(BeEmpty())
	})
}

// Guards against invalid heartbeats that have an effect.
func TestInvalidHeartbeatsAreRejected(t *testing.T) {
	withCluster(t, 1, nil, func(g *WithT, c *cluster) {
		for _, wrong := range []heartbeat{
			{Self: &entry{ID: "another", Region: "pohjola"}},
			{Self: &entry{ID: "peer", Region: "hokkaido"}},
			{Status: status{State: Draining + 1}},
			{Status: status{HeadVersion: -1}},
			{HaveEntries: maxMembers + 1},
		} {
			body, err := link.Encode(wrong)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = c.nodes[0].handleHeartbeat(t.Context(), "peer", body)
			g.Expect(err).To(MatchError(ErrHeartbeatInvalid))
		}
		_, err := c.nodes[0].handleHeartbeat(t.Context(), "peer", []byte("x"))
		g.Expect(err).To(MatchError(link.ErrMalformed))
		g.Expect(c.nodes[0].Stats().Rejected).To(Equal(int64(6)))
		g.Expect(c.nodes[0].knownCount()).To(Equal(1))
	})
}

// Guards against an instance that starts in a minority while the instance list
// is down and finds only the members of this minority.
func TestInstanceStartedInMinorityFindsAllMembers(t *testing.T) {
	const late = 9
	configure := func(config *Config) {
		if config.Self.ID == memberNumber(late).ID {
			config.Seeds = []Member{memberNumber(7), memberNumber(8)}
		}
	}
	withCluster(t, late, configure, func(g *WithT, c *cluster) {
		advance(3 * time.Second)
		c.list.setDown(true)
		c.network.Partition(c.ids(0, 6), append(c.ids(6, 9), memberNumber(late).ID))
		advance(time.Minute)
		c.start(t, late)
		started := c.nodes[late]
		g.Expect(started.majority(late + 1)).To(BeFalse())
		for range 100 {
			advance(100 * time.Millisecond)
			g.Expect(started.majority(late + 1)).To(BeFalse())
		}
		g.Expect(started.contactedCount()).To(Equal(4))
		g.Expect(started.knownCount()).To(Equal(10))
		c.network.Heal()
		advance(8 * time.Second)
		g.Expect(started.majority(late + 1)).To(BeTrue())
	})
}

// packetOverhead is the size in bytes of the headers of one heartbeat exchange:
// IP, UDP, QUIC short header and tag, frame headers, message header, for the
// request, the response and one acknowledgement (3 * 66 bytes).
const packetOverhead = 3 * 66

func checkTraffic(t *testing.T, g *WithT, nodes []*node) {
	const period = 3 * time.Second
	before := make([]Stats, len(nodes))
	for i, n := range nodes {
		before[i] = n.Stats()
	}
	advance(period)
	var largest, sum float64
	for i, n := range nodes {
		s := n.Stats()
		bytes := float64(s.BytesIn - before[i].BytesIn + s.BytesOut - before[i].BytesOut)
		exchanges := float64(s.MessagesIn-before[i].MessagesIn+s.MessagesOut-before[i].MessagesOut) / 2
		rate := (bytes + exchanges*packetOverhead) / period.Seconds()
		largest, sum = max(largest, rate), sum+rate
	}
	t.Logf("heartbeat traffic per instance, both directions, with estimated headers: mean %.0f B/s, largest %.0f B/s", sum/float64(len(nodes)), largest)
	g.Expect(largest).To(BeNumerically("<", 25_000))
}
