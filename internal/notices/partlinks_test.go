package notices

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/poison"
)

// partLinkTime is the longest time of a message over links.
const partLinkTime = 20 * time.Millisecond

// partNetwork passes rows from one instance to all others.
type partNetwork struct {
	t        *testing.T
	fleet    []*partInstance
	messages atomic.Int64 // spread, each to all instances
	sending  sync.WaitGroup
}

// partNetworkLink is the link of one instance.
type partNetworkLink struct {
	network *partNetwork
	self    *partInstance
}

func connect(t *testing.T, fleet []*partInstance) *partNetwork {
	n := &partNetwork{t: t, fleet: slices.Clone(fleet)} // the test may replace instances
	for _, i := range fleet {
		i.setLinks(partNetworkLink{n, i})
	}
	return n
}

func (l partNetworkLink) spread(_ context.Context, message partMessage) {
	l.network.messages.Add(1)
	body, err := link.Encode(message)
	if err != nil {
		l.network.t.Error(err)
	}
	for _, i := range l.network.fleet {
		if i == l.self {
			continue
		}
		l.network.sending.Go(func() {
			time.Sleep(time.Duration(rand.Float64() * float64(partLinkTime)))
			received, err := decodePartMessage(body)
			if err != nil {
				l.network.t.Error(err)
			}
			i.receive(received)
		})
	}
}

// Guards against a fleet that counts crashes apart, keeps a wrong verdict or forgets one because
// the store is away, and against a message of each instance meanwhile.
func TestEvidenceGoesOverLinksWhileTheStoreIsAway(t *testing.T) {
	for _, size := range []int{6, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := newPartStore()
				fleet := store.startFleet(t, size)
				network := connect(t, fleet)
				fleet[0].succeeds(soundPrompt(1))
				store.setDown(true)
				crashEach(fleet, 5)
				expectRefusedBy(g, fleet, size, "300 ms after the fifth crash")
				time.Sleep(time.Minute)
				expectRefusedBy(g, fleet, size, "a minute later")
				t.Log("messages to all instances in a minute: ", network.messages.Load(), ", calls of the store: ", store.takeCalls())
				g.Expect(network.messages.Load()).To(BeNumerically("<=", 120), "five writers and a verdict, each 10 s, and answers")

				fleet[1].succeeds(poison.Prompt{poisonPart})
				time.Sleep(time.Second)
				expectRefusedBy(g, fleet, 0, "lifted")
				for n := range 9 {
					fleet[n%size].sees(10+n, poisonPrompt(n))
					time.Sleep(300 * time.Millisecond)
					fleet[0].succeeds(soundPrompt(1))
				}
				expectRefusedBy(g, fleet, size, "convicted again")
				store.setDown(false)
				time.Sleep(5 * time.Second)
				before := network.messages.Load()
				time.Sleep(time.Minute)
				expectRefusedBy(g, fleet, size, "the store is back")
				g.Expect(network.messages.Load()).To(Equal(before), "the store works")
				network.sending.Wait()
				stopFleet(fleet)
				fleet = store.startFleet(t, size)
				time.Sleep(time.Second)
				expectRefusedBy(g, fleet, size, "restarted")
				stopFleet(fleet)
			})
		})
	}
}

// Guards against a malformed message over a link that is applied or passed on.
func TestInvalidPartMessagesAreRefused(t *testing.T) {
	g := NewWithT(t)
	for _, message := range []partMessage{
		{}, {Key: "rate/u"}, {Key: trialKeyPrefix + "x-1-0"}, {Key: verdictKeyPrefix + strings.Repeat("x", maxPartKey)},
		{Key: evidenceKeyPrefix + "x", Value: make([]byte, maxPartValue+1)},
	} {
		body, err := link.Encode(message)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = decodePartMessage(body)
		g.Expect(err).To(MatchError(errInvalidPartRow))
	}
	_, err := decodePartMessage([]byte("text"))
	g.Expect(err).To(HaveOccurred())
	i := newPartStore().newInstance("i")
	for _, key := range []string{evidenceKeyPrefix, verdictKeyPrefix} {
		i.receive(partMessage{Key: key, Value: []byte("{")})
	}
	g.Expect(i.ledger.Verdicts()).To(BeEmpty())
}
