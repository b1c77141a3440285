package instance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	dto "github.com/prometheus/client_model/go"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/generation"
	"foxtailhub.example/foxtailhub/internal/membership"
	"foxtailhub.example/foxtailhub/internal/roster"
)

// Guards against an instance that is ready too early or leaves the draining state.
func TestLifecycleState(t *testing.T) {
	g := NewWithT(t)
	for _, confirmed := range []bool{false, true} {
		g.Expect(lifecycleState(false, false, confirmed)).To(Equal(StateStarting))
		g.Expect(lifecycleState(true, confirmed, confirmed)).To(Equal(StateDraining))
	}
	g.Expect(lifecycleState(false, true, false)).To(Equal(StateUnready))
	g.Expect(lifecycleState(false, true, true)).To(Equal(StateReady))
}

// Guards against an exit while requests are in progress or may still arrive.
func TestMayExit(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	idle := drainProgress{startedAt: start, lastRequest: start.Add(-time.Hour), linger: 5 * time.Second}
	g.Expect(mayExit(start.Add(5*time.Second-1), idle)).To(BeFalse())
	g.Expect(mayExit(start.Add(5*time.Second), idle)).To(BeTrue())
	lingering := idle
	lingering.lastRequest = start.Add(3 * time.Second)
	g.Expect(mayExit(start.Add(8*time.Second-1), lingering)).To(BeFalse())
	g.Expect(mayExit(start.Add(8*time.Second), lingering)).To(BeTrue())
	for _, busy := range []drainProgress{{startedAt: start, activeRequests: 1}, {startedAt: start, running: runningWork{generations: 1}}, {startedAt: start, running: runningWork{calls: 1}}} {
		g.Expect(mayExit(start.Add(24*time.Hour), busy)).To(BeFalse())
	}
}

// Guards against a workspace that uses a service without a rule, or a service of
// kind service as an engine.
func TestFindRule(t *testing.T) {
	document := testDocument()
	for _, c := range []struct {
		workspace contract.WorkspaceID
		service   contract.ServiceID
		kind      configuration.Kind
		reason    contract.Reason
	}{
		{"shop-a", "guides", configuration.KindEngine, ""},
		{"shop-a", "stock", configuration.KindService, ""},
		{"shop-a", "stock", configuration.KindEngine, contract.ReasonUnknownService},
		{"shop-a", "none", configuration.KindEngine, contract.ReasonUnknownService},
		{"shop-b", "guides", configuration.KindEngine, contract.ReasonUnknownService},
		{"shop-c", "guides", configuration.KindEngine, contract.ReasonUnknownWorkspace},
	} {
		g := NewWithT(t)
		_, verdict, ok := findRule(&document, c.workspace, c.service, c.kind)
		g.Expect(ok).To(Equal(c.reason == ""))
		g.Expect(verdict.Reason).To(Equal(c.reason))
		if !ok {
			g.Expect(verdict.Outcome).To(Equal(contract.NotRun))
		}
	}
}

// Guards against changes that a peer never gets because a heartbeat was lost or
// the peer was restarted.
func TestDigestProgress(t *testing.T) {
	g := NewWithT(t)
	s := newUpstreamSection(nil)
	now := time.Unix(1000, 0)
	s.recordResult("b", true) // nothing sent yet: no effect
	g.Expect(s.startDigest("b", now)).To(BeZero())
	s.peers["b"].sent = 7
	g.Expect(s.startDigest("b", now)).To(BeZero(), "sent is not acknowledged")
	s.recordResult("b", true)
	g.Expect(s.startDigest("b", now)).To(BeEquivalentTo(7))
	g.Expect(s.startDigest("c", now)).To(BeZero(), "peers are independent")
	s.peers["b"].sent = 9
	s.recordResult("b", false)
	g.Expect(s.startDigest("b", now)).To(BeEquivalentTo(7), "a lost heartbeat is not acknowledged")
	g.Expect(s.recordRun("b", 1)).To(BeFalse())
	g.Expect(s.recordRun("b", 2)).To(BeTrue())
	g.Expect(s.startDigest("b", now)).To(BeZero(), "the peer was restarted")
	s.peers["b"].sent = 7
	s.recordResult("b", true)
	g.Expect(s.startDigest("b", now.Add(fullDigestInterval-1))).To(BeEquivalentTo(7))
	g.Expect(s.startDigest("b", now.Add(fullDigestInterval))).To(BeZero())
}

// Guards against a resume latency that includes regular token gaps or misses a switch of engine.
func TestCallerLatency(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	p := &callerLatency{metrics: newMetrics(), receivedAt: now}
	for _, step := range []struct {
		after time.Duration
		kind  generation.EventKind
	}{
		{0, generation.EventStart}, {2 * time.Second, generation.EventToken}, {time.Second, generation.EventToken},
		{time.Second, generation.EventAttempt}, {2 * time.Second, generation.EventToken}, {time.Second, generation.EventToken},
		{0, generation.EventEnd},
	} {
		now = now.Add(step.after)
		p.observe(generation.Event{Kind: step.kind}, now)
	}
	var first, resume dto.Metric
	g.Expect(p.metrics.firstToken.Write(&first)).To(Succeed())
	g.Expect(p.metrics.resume.Write(&resume)).To(Succeed())
	g.Expect([]float64{float64(first.Histogram.GetSampleCount()), first.Histogram.GetSampleSum()}).To(Equal([]float64{1, 2}))
	g.Expect([]float64{float64(resume.Histogram.GetSampleCount()), resume.Histogram.GetSampleSum()}).To(Equal([]float64{1, 3}))
}

// Guards against a majority that counts instances which lack the version or are
// not in the roster, also if there was no contact with roster members for long.
func TestHolders(t *testing.T) {
	g := NewWithT(t)
	current := roster.Roster{Sequence: 1, Instances: []contract.InstanceID{"b", "c", "d", "e", "self"}}
	members := []membership.MemberView{
		{Member: membership.Member{ID: "a"}, HeldVersion: 5}, // not in the roster
		{Member: membership.Member{ID: "b"}, HeldVersion: 5, State: membership.Draining},
		{Member: membership.Member{ID: "c"}, HeldVersion: 6},
		{Member: membership.Member{ID: "d"}, HeldVersion: 4},
	}
	g.Expect(holders(members, 5, "self")).To(HaveExactElements(contract.InstanceID("self"), contract.InstanceID("a"), contract.InstanceID("b"), contract.InstanceID("c")))
	g.Expect(current.Majority(holders(members, 5, "self"))).To(BeTrue())
	g.Expect(current.Majority(holders(members, 5, "other"))).To(BeFalse(), "b and c only")
	g.Expect(current.Majority(holders(members, 6, "self"))).To(BeFalse())
	g.Expect(roster.Roster{}.Majority(holders(members, 5, "self"))).To(BeFalse())
}
