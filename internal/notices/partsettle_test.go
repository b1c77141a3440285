package notices

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/poison"
)

// Guards against instances that adopt and lift verdicts in turn for ever, or of which one does not
// refuse a poison part, after crashes, successes, restarts and outages of the store in any order.
func TestVerdictsOfAllInstancesSettle(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				rng := rand.New(rand.NewPCG(seed, 1))
				store := newPartStore()
				fleet := store.startFleet(t, 6)
				linked := seed%2 == 0
				var networks []*partNetwork
				reconnect := func() {
					if linked {
						networks = append(networks, connect(t, fleet))
					}
				}
				reconnect()
				prompt := func(parts ...poison.Part) poison.Prompt {
					p := poison.Prompt{systemPart}
					for _, part := range []poison.Part{0x6, 0x7} {
						if rng.IntN(3) > 0 {
							p = append(p, part)
						}
					}
					return append(append(p, parts...), poison.Part(1000+rng.IntN(5)))
				}
				for n := range 200 {
					i := rng.IntN(len(fleet))
					switch rng.IntN(20) {
					case 0:
						stopFleet(fleet[i : i+1])
						fleet[i] = store.start(t, fmt.Sprint("instance-", i))
						reconnect()
					case 1:
						store.setDown(rng.IntN(2) == 0)
					case 2, 3, 4, 5:
						fleet[i].succeeds(prompt())
					case 6:
						fleet[i].refuses(prompt(poisonPart))
					case 7:
						fleet[i].sees(n, prompt()) // crash for another reason
					default:
						fleet[i].sees(n, prompt(poisonPart), prompt())
					}
					time.Sleep(time.Duration(rng.Float64() * float64(2*time.Second)))
				}
				store.setDown(false)
				time.Sleep(30 * time.Second)
				store.takeCalls()
				time.Sleep(5 * time.Minute)
				calls := store.takeCalls()
				g.Expect(calls["verdict"]+calls["evidence"]).To(BeNumerically("<=", 5), "%v", calls)
				restarted := store.start(t, "restarted")
				time.Sleep(time.Second)
				fleet = append(fleet, restarted)
				g.Expect(refusing(fleet, prompt(poisonPart))).To(Equal(len(fleet)))
				g.Expect(refusing(fleet, prompt())).To(BeZero())
				time.Sleep(30 * time.Minute)
				g.Expect(store.keys(partKeyPrefix)).To(BeEmpty())
				for _, network := range networks {
					network.sending.Wait()
				}
				stopFleet(fleet)
			})
		})
	}
}
