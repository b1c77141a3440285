package storesync

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Guards against an instance that follows itself or an unhealthy peer, or that waits
// although a healthy peer ranks among the first, and against two instances that follow
// each other.
func TestChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var ranked []Member
		healthByPeer := map[contract.InstanceID]peerHealth{}
		for i := range rapid.IntRange(1, 12).Draw(t, "members") {
			id := contract.InstanceID(rune('a' + i))
			ranked = append(ranked, Member{ID: id})
			healthByPeer[id] = peerHealth(rapid.IntRange(0, 2).Draw(t, "condition"))
		}
		self := rapid.IntRange(0, len(ranked)-1).Draw(t, "self")
		storeFailing := rapid.Bool().Draw(t, "store fails")
		source := chooseSource(ranked[self].ID, ranked, healthByPeer, storeFailing)
		if len(ranked) < minDomainSize {
			g.Expect(source).To(Equal(dataSource{readStore: true}))
			return
		}
		if source.peer != "" {
			g.Expect(source.peer).NotTo(Equal(ranked[self].ID))
			g.Expect(healthByPeer[source.peer]).To(Equal(healthy))
			g.Expect(source.readStore).To(BeFalse())
		}
		staleCount := 0
		for i, m := range ranked {
			if staleCount == maxStaleSources {
				break
			}
			if i == self && !storeFailing {
				g.Expect(source).To(Equal(dataSource{readStore: true}), "no member of higher priority is healthy")
				break
			}
			if i != self && healthByPeer[m.ID] == healthy {
				g.Expect(source.peer).To(Equal(m.ID), "the first healthy member")
				break
			}
			if i == self || healthByPeer[m.ID] == stale {
				staleCount++
			}
		}
	})
}

// Guards against intervals that let rows exceed their maximum age: a read interval plus a
// held request must end before the follower reads directly, and a peer's rows must not
// count as stale before that.
func TestIntervalsKeepMaxAge(t *testing.T) {
	g := NewWithT(t)
	const responseAge = 0.3 // seconds, of a response to a long poll
	for _, bound := range []time.Duration{3 * time.Second, 4 * time.Second} {
		fresh := fractionOf(0.6, bound)
		maxAge := fractionOf(readIntervalShare, fresh) + fractionOf(pollHoldShare, fresh) + fractionOf(responseAge, time.Second)
		g.Expect(maxAge).To(BeNumerically("<", fractionOf(directReadShare, fresh)))
		g.Expect(fractionOf(readIntervalShare, fresh) + fractionOf(responseAge, time.Second)).To(BeNumerically("<", fractionOf(peerStaleShare, fresh)))
		// If the reader is lost just after a request was sent, the followers detect it and
		// poll another peer before the latest time of a direct read.
		g.Expect(fractionOf(readIntervalShare, fresh) + fractionOf(pollHoldShare, fresh) + responseTimeout).To(BeNumerically("<", fractionOf(directReadShare+directReadJitterShare, fresh)))
		g.Expect(fractionOf(directReadShare+directReadJitterShare, fresh) + fractionOf(directReadBackoffShare, fresh)).To(BeNumerically("<", bound))
		// A direct read may show a later era, whose rows are then awaited from peers.
		g.Expect(fractionOf(directReadShare+directReadJitterShare+catchUpShare, fresh) + responseTimeout).To(BeNumerically("<", bound))
	}
}

// Guards against an unresponsive peer that is polled again without a backoff.
func TestPeerFailureBackoff(t *testing.T) {
	g := NewWithT(t)
	now := time.Duration(0)
	var failure peerFailure
	for range 10 {
		failure = failure.nextFailure(unresponsive, now)
		now = failure.retryAt
	}
	g.Expect(failure.backoff).To(Equal(maxUnresponsiveBackoff))
	g.Expect(failure.nextFailure(stale, now).retryAt - now).To(Equal(stalePeerBackoff))
}
