package instance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/workspace"
)

// Guards against a demand that a peer never gets after a lost heartbeat, a change
// or a restart, a steady demand that expires at the peer, and an unchanged demand
// that is sent in each heartbeat.
func TestDemandIsSentOnChange(t *testing.T) {
	g := NewWithT(t)
	s := newDemandSection(nil)
	steady := []workspace.WorkspaceDemand{{Workspace: "small", Rate: 2}, {Workspace: "large", Rate: 50}}
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	send := func(entries []workspace.WorkspaceDemand, delivered bool) []workspace.WorkspaceDemand {
		now = now.Add(500 * time.Millisecond)
		sent := s.unacknowledged("peer", entries, now)
		s.recordResult("peer", delivered)
		return sent
	}
	g.Expect(send(steady, false)).To(Equal(steady))
	g.Expect(send(steady, true)).To(Equal(steady))
	g.Expect(send(steady, true)).To(BeEmpty())
	changed := []workspace.WorkspaceDemand{{Workspace: "small", Rate: 3}, {Workspace: "large", Rate: 50}}
	g.Expect(send(changed, false)).To(Equal(changed[:1]))
	g.Expect(send(steady, true)).To(Equal(steady[:1]), "the peer may have received the unacknowledged change")
	now = now.Add(demandRefresh)
	g.Expect(send(steady, true)).To(Equal(steady))
	g.Expect(send(steady, true)).To(BeEmpty())
	s.resetPeer("peer")
	g.Expect(send(steady, true)).To(Equal(steady))
}

// Guards against a restarted peer that never gets the changes that it acknowledged
// before the restart, also if it acknowledges a partial digest after the restart.
func TestRestartedPeerGetsFullDigest(t *testing.T) {
	g := NewWithT(t)
	fleet := newTrafficFleet(3, 0)
	empty := func() *upstream.Upstreams {
		return upstream.New(upstream.Config{
			Self: upstream.Member{ID: "self"}, Configuration: fleet, List: fleet, Engines: trafficDialer{fleet: fleet},
			Instances: func() []upstream.Member { return nil },
		})
	}
	upstreams := empty()
	const contacted = "engine-oulu-a-0000"
	upstreams.ApplyDigest("other", upstream.Digest{Contacts: []upstream.ContactEntry{
		{Upstream: contacted, AtMS: time.Now().UnixMilli(), Incarnation: "p"}}})
	s := newUpstreamSection(upstreams)
	restarted := 0
	s.onRestart = func(contract.InstanceID) { restarted++ }
	g.Expect(s.recordRun("peer", 7)).To(BeFalse())
	g.Expect(s.collect("peer")).NotTo(BeEmpty())
	s.recordResult("peer", true)
	g.Expect(s.collect("peer")).To(BeEmpty())
	restartedPeer := newUpstreamSection(empty()) // the peer's process after the restart
	g.Expect(s.receive("peer", restartedPeer.collect("self"))).To(Succeed())
	g.Expect(restarted).To(Equal(1))
	s.recordResult("peer", true)
	g.Expect(s.startDigest("peer", time.Now())).To(BeZero())
	g.Expect(len(s.collect("peer"))).To(BeNumerically(">", len(contacted)))
}

// Guards against labeled entries that are lost or attributed to another workspace:
// after a restart of the peer, after a pause of the workspace, and if two names
// have the same label.
func TestDemandLabels(t *testing.T) {
	g := NewWithT(t)
	sender, receiver := newDemandSection(nil), newDemandSection(nil)
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	rate := 1.0
	send := func() (digest demandDigest, received []workspace.WorkspaceDemand) {
		now, rate = now.Add(time.Second), rate+1
		entries := []workspace.WorkspaceDemand{{Workspace: "small", Rate: rate}, {Workspace: "large", InUse: int(rate)}}
		digest = sender.buildDigest("receiver", sender.unacknowledged("receiver", entries, now))
		received = receiver.resolveNames("sender", digest)
		sender.recordResult("receiver", true)
		g.Expect(received).To(ConsistOf(entries))
		return digest, received
	}
	digest, _ := send()
	g.Expect(digest.Named).To(HaveLen(2))
	digest, _ = send()
	g.Expect(digest.Rate).To(HaveLen(2))
	now = now.Add(receivedNamesLifetime)
	digest, _ = send()
	g.Expect(digest.Named).To(HaveLen(2))
	receiver = newDemandSection(nil)
	labeled := func(name contract.WorkspaceID) (d demandDigest) {
		d.addLabeled(labelFor(name), workspace.WorkspaceDemand{Rate: 9})
		return d
	}
	g.Expect(receiver.resolveNames("sender", labeled("small"))).To(BeEmpty())
	sender.resetPeer("receiver")
	send()

	sender.peers["receiver"].labels[labelFor("small")] = "other"
	digest, _ = send()
	g.Expect(digest.Named).To(HaveLen(1))
	send()
	digest, _ = send()
	g.Expect(digest.Named).To(HaveLen(1), "a shared label identifies neither name")
	receiver.namesByPeer["sender"].byLabel[labelFor("large")] = ""
	g.Expect(receiver.resolveNames("sender", labeled("large"))).To(BeEmpty())
	truncated := labeled("small")
	truncated.Labels = truncated.Labels[1:]
	data, err := link.Encode(truncated)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(receiver.receive("sender", data)).To(MatchError(errInvalidDemandDigest))
}
