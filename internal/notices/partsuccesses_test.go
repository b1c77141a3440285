package notices

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/poison"
)

// Guards against a verdict that names a sound part although one instance knows it as good.
func TestOneInstanceThatKnowsAPartAsGoodClearsItEverywhere(t *testing.T) {
	for _, size := range []int{6, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := newPartStore()
				fleet := store.startFleet(t, size)
				fleet[size-1].succeeds(soundPrompt(1))
				time.Sleep(5 * time.Minute)
				crashEach(fleet, 5)
				for _, i := range fleet {
					verdict, refused := i.ledger.Refuses(poisonPrompt(99))
					g.Expect(refused).To(BeTrue())
					g.Expect(verdict.Parts).To(Equal([]poison.Part{poisonPart}))
				}
				stopFleet(fleet)
			})
		})
	}
}

// Guards against sound requests that stay refused at other instances after an answer on
// them went on at one, and against a write of each instance for each success.
func TestSuccessAfterCrashesIsSharedOnce(t *testing.T) {
	for _, size := range []int{6, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := newPartStore()
				fleet := store.startFleet(t, size)
				crashEach(fleet, 5)
				g.Expect(refusing(fleet, poisonPrompt(99))).To(Equal(size))
				fleet[0].succeeds(poisonPrompt(0))
				time.Sleep(time.Second)
				g.Expect(refusing(fleet, poisonPrompt(99))).To(BeZero())

				store.takeCalls()
				fleet[1].sees(6, poisonPrompt(6))
				for range 60 {
					for _, i := range fleet {
						i.succeeds(poisonPrompt(1))
					}
					time.Sleep(time.Second)
				}
				calls := store.takeCalls()
				t.Log("writes in a minute with one crash and successes at all instances: ", calls)
				bound := min(1+2*size, 40) // the crash, and two successes of each instance that has not seen another's
				g.Expect(calls["evidence"]).To(BeNumerically("<=", bound))
				stopFleet(fleet)
			})
		})
	}
}

// Guards against a sound part that stays refused because the instance that knows it as good
// was informed of the crashes too late.
func TestLateKnowledgeOfASuccessLiftsTheVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newPartStore()
		fleet := store.startFleet(t, 6)
		fleet[5].succeeds(poisonPrompt(0))
		time.Sleep(time.Minute)
		store.setDown(true)
		for n := range 5 {
			fleet[0].sees(n, poisonPrompt(n))
			time.Sleep(300 * time.Millisecond)
		}
		expectRefusedBy(g, fleet, 1, "without the store")
		store.setDown(false)
		time.Sleep(3 * time.Second)
		g.Expect(refusing(fleet, poisonPrompt(99))).To(BeZero())
		stopFleet(fleet)
	})
}
