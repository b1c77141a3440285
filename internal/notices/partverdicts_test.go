package notices

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/poison"
)

// Guards against a verdict that is forgotten when all instances restart, and against a write
// of it by each instance.
func TestVerdictHoldsThroughARestartOfAllInstances(t *testing.T) {
	for _, size := range []int{6, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := newPartStore()
				fleet := store.startFleet(t, size)
				fleet[0].succeeds(soundPrompt(1))
				crashEach(fleet, 5)
				time.Sleep(time.Second)
				calls := store.takeCalls()
				t.Log("writes for five crashes and a verdict: ", calls)
				g.Expect(calls["verdict"]).To(BeNumerically("<=", min(size, 30)), "a tenth of a large fleet")
				for n := range 3 {
					stopFleet(fleet)
					time.Sleep(3 * time.Minute)
					fleet = store.startFleet(t, size)
					time.Sleep(time.Second)
					expectRefusedBy(g, fleet, size, fmt.Sprint("restart ", n))
				}
				stopFleet(fleet)
			})
		})
	}
}

// Guards against a verdict that ends while one instance still refuses by it, one that stays
// for good, and renewals by each instance.
func TestVerdictEndsWithTheLastRefusal(t *testing.T) {
	for _, size := range []int{6, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := newPartStore()
				fleet := store.startFleet(t, size)
				fleet[0].succeeds(soundPrompt(1))
				crashEach(fleet, 5)
				for range 7 { // one instance, rarely
					time.Sleep(verdictLifetime - 5*time.Second)
					g.Expect(fleet[2].refuses(poisonPrompt(9))).To(BeTrue())
				}
				for _, i := range fleet {
					_, refused := i.ledger.Refuses(poisonPrompt(9))
					g.Expect(refused).To(BeTrue())
				}
				store.takeCalls()
				for range 40 { // all instances, often
					expectRefusedBy(g, fleet, size, "in force")
					time.Sleep(15 * time.Second)
				}
				calls := store.takeCalls()
				t.Log("writes in ten minutes with refusals at all instances: ", calls)
				g.Expect(calls["verdict"]).To(BeNumerically("<=", 30), "three a minute")
				time.Sleep(verdictLifetime + verdictRenewInterval + verdictRenewSpread + verdictRemoveSpread)
				expectRefusedBy(g, fleet, 0, "no request for ten minutes")
				g.Expect(store.keys(partKeyPrefix)).To(BeEmpty())
				g.Expect(store.takeCalls()["removal"]).To(BeNumerically("<=", 10))
				stopFleet(fleet)
			})
		})
	}
}

// Guards against a verdict whose removal by another instance crosses a refusal.
func TestRemovedVerdictIsRestoredByAnInstanceThatRefusesByIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newPartStore()
		fleet := store.startFleet(t, 6)
		fleet[0].succeeds(soundPrompt(1))
		crashEach(fleet, 5)
		time.Sleep(5 * time.Minute)
		g.Expect(fleet[3].refuses(poisonPrompt(9))).To(BeTrue())
		for _, key := range store.keys(verdictKeyPrefix) {
			g.Expect(store.Remove(t.Context(), discovery.Notices, key)).To(Succeed())
		}
		time.Sleep(time.Second)
		expectRefusedBy(g, fleet, 6, "after the removal")
		stopFleet(fleet)
	})
}

// Guards against a verdict lifted by a success that comes back with a restart or a renewal,
// or that cannot come into force again.
func TestLiftedVerdictStaysLifted(t *testing.T) {
	for _, size := range []int{6, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := newPartStore()
				fleet := store.startFleet(t, size)
				fleet[0].succeeds(soundPrompt(1))
				crashEach(fleet, 5)
				time.Sleep(time.Second)
				expectRefusedBy(g, fleet, size, "convicted")
				key := store.keys(verdictKeyPrefix)[0]
				stale := store.value(key)
				fleet[1].succeeds(poison.Prompt{poisonPart})
				time.Sleep(time.Second)
				expectRefusedBy(g, fleet, 0, "lifted")
				g.Expect(store.Put(t.Context(), discovery.Notices, key, append(stale, ' '))).To(Succeed(), "a late renewal")
				time.Sleep(time.Second)
				expectRefusedBy(g, fleet, 0, "renewed late")
				stopFleet(fleet)
				fleet = store.startFleet(t, size)
				time.Sleep(time.Second)
				expectRefusedBy(g, fleet, 0, "restarted")
				fleet[0].succeeds(soundPrompt(1))
				for n := range 9 {
					fleet[n%size].sees(10+n, poisonPrompt(n))
					time.Sleep(300 * time.Millisecond)
				}
				time.Sleep(time.Second)
				expectRefusedBy(g, fleet, size, "convicted again")
				stopFleet(fleet)
				fleet = store.startFleet(t, size)
				time.Sleep(time.Second)
				expectRefusedBy(g, fleet, size, "convicted again and restarted")
				stopFleet(fleet)
			})
		})
	}
}

// Guards against a narrower verdict that is forgotten by a restart after a success has cleared the
// other parts of the verdict.
func TestNarrowedVerdictHoldsThroughARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newPartStore()
		fleet := store.startFleet(t, 6)
		other := poison.Part(0x7)
		for n := range 5 {
			fleet[n].sees(n, poison.Prompt{systemPart, other, poisonPart, poison.Part(1000 + n)})
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(time.Second)
		fleet[0].succeeds(poison.Prompt{systemPart, other})
		time.Sleep(time.Second)
		expectRefusedBy(g, fleet, 6, "narrowed")
		stopFleet(fleet)
		fleet = store.startFleet(t, 6)
		time.Sleep(time.Second)
		expectRefusedBy(g, fleet, 6, "restarted")
		stopFleet(fleet)
	})
}

// Guards against writes of each instance while the store is away, and against a verdict that
// is forgotten because it could not be written.
func TestVerdictIsWrittenAfterTheStoreReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newPartStore()
		fleet := store.startFleet(t, 300)
		store.setDown(true)
		for n := range 5 {
			for _, i := range fleet { // over links
				i.ledger.AddCrash(time.Now(), poison.Crash{UpstreamID: fmt.Sprint(n), FailureDomain: fmt.Sprint(n), Prompts: []poison.Prompt{poisonPrompt(n)}, At: time.Now()})
			}
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		calls := store.takeCalls()
		t.Log("calls in a minute without the store: ", calls)
		g.Expect(calls["verdict"]).To(BeNumerically("<=", 60*250), "as often as an instance reads")
		store.setDown(false)
		time.Sleep(3 * time.Second)
		stopFleet(fleet)
		fleet = store.startFleet(t, 300)
		time.Sleep(time.Second)
		g.Expect(refusing(fleet, poisonPrompt(99))).To(Equal(300))
		stopFleet(fleet)
	})
}

// Guards against a row of another program that refuses requests, ends the process or hides others.
func TestInvalidVerdictsCostOnlyThemselves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newPartStore()
		fleet := store.startFleet(t, 1)
		key := verdictKeyPrefix + poison.Verdict{Parts: []poison.Part{systemPart}}.ID()
		empty := verdictKeyPrefix + poison.Verdict{}.ID()
		encode := func(row verdictRow) string {
			value, err := json.Marshal(row)
			g.Expect(err).NotTo(HaveOccurred())
			return string(value)
		}
		valid := encode(verdictRow{Parts: []string{"5"}, Epoch: 1})
		many := make([]poison.Part, maxPromptParts+1)
		for n := range many {
			many[n] = poison.Part(n)
		}
		var rows []discovery.Row
		for key, values := range map[string][]string{
			key: {
				"", "1", "[]", "\x00\xff", strings.Repeat("[", 2_000_000), encode(verdictRow{Parts: []string{"5"}}), encode(verdictRow{Parts: []string{"5"}, Epoch: -1}),
				encode(verdictRow{Parts: []string{"5"}, Epoch: maxEpoch + 1}), `{"parts":["5"],"epoch":1e999}`, `{"parts":["5"],"epoch":"1"}`, `{"parts":"5","epoch":1}`, `{"parts":[5],"epoch":1}`,
				encode(verdictRow{Parts: []string{"6"}, Epoch: 1}), encode(verdictRow{Parts: []string{"5", "5"}, Epoch: 1}), encode(verdictRow{Parts: []string{"6", "5"}, Epoch: 1}),
			},
			empty:                      {encode(verdictRow{Epoch: 1}), encode(verdictRow{Parts: []string{}, Epoch: 1})},
			verdictKeyPrefix:           {valid},
			verdictKeyPrefix + "other": {valid},
			key + "/":                  {valid},
			verdictKeyPrefix + poison.Verdict{Parts: many}.ID(): {encode(verdictRow{Parts: encodeParts(many), Epoch: 1})},
		} {
			for _, value := range values {
				rows = append(rows, discovery.Row{Key: key, Value: []byte(value)}, discovery.Row{Key: key, Deleted: true})
			}
		}
		fleet[0].apply(rows, false)
		g.Expect(fleet[0].ledger.Verdicts()).To(BeEmpty())
		fleet[0].apply(append(rows, discovery.Row{Key: key, Value: []byte(valid)}), false)
		g.Expect(fleet[0].ledger.Verdicts()).To(HaveLen(1))
		stopFleet(fleet)
	})
}
