package notices

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/poison"
)

// trials sends a request with the poison part to each instance twice a second, and returns when
// one was let through.
func trials(fleet []*partInstance, duration time.Duration) (at []time.Duration) {
	for began := time.Now(); time.Since(began) < duration; time.Sleep(500 * time.Millisecond) {
		for _, i := range fleet {
			if verdict, refused := i.ledger.Refuses(poisonPrompt(9)); refused && !i.ClaimTrial(verdict) {
				i.Refused(verdict)
			} else {
				at = append(at, time.Since(began))
			}
		}
	}
	return at
}

// Guards against more than two trials of a verdict over a fleet, and against none.
func TestFleetTriesAVerdictTwice(t *testing.T) {
	for _, size := range []int{6, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := newPartStore()
				fleet := store.startFleet(t, size)
				fleet[0].succeeds(soundPrompt(1))
				crashEach(fleet, 5)
				store.takeCalls()
				at := trials(fleet, 10*time.Minute)
				calls := store.takeCalls()
				t.Log("trials at ", at, ", calls ", calls)
				g.Expect(at).To(HaveLen(2))
				g.Expect(at[0]).To(BeNumerically("~", trialDelays[0], 3*time.Second))
				g.Expect(at[1]).To(BeNumerically("~", trialDelays[1], 3*time.Second))
				g.Expect(calls["trial"]).To(BeNumerically("<=", 2*min(size, 30)), "claims of a tenth of a large fleet")
				stopFleet(fleet)
			})
		})
	}
}

// Guards against further trials after a restart of all instances.
func TestTrialsAreCountedThroughARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newPartStore()
		fleet := store.startFleet(t, 6)
		fleet[0].succeeds(soundPrompt(1))
		crashEach(fleet, 5)
		let := len(trials(fleet, time.Minute))
		g.Expect(let).To(Equal(1))
		for range 4 {
			stopFleet(fleet)
			fleet = store.startFleet(t, 6)
			time.Sleep(time.Second)
			let += len(trials(fleet, 6*time.Minute))
		}
		g.Expect(let).To(Equal(2))
		stopFleet(fleet)
	})
}

// Guards against trials of each instance while the store is away, and against a claim that is
// counted twice because its response was lost.
func TestTrialsNeedTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newPartStore()
		fleet := store.startFleet(t, 6)
		fleet[0].succeeds(soundPrompt(1))
		crashEach(fleet, 5)
		time.Sleep(time.Second)
		store.setDown(true)
		g.Expect(trials(fleet, 6*time.Minute)).To(BeEmpty())
		store.setDown(false)
		store.setMute(true)
		g.Expect(trials(fleet, 40*time.Second)).To(HaveLen(1))
		store.setMute(false)
		g.Expect(trials(fleet, 5*time.Minute)).To(HaveLen(1))
		g.Expect(trials(fleet, 20*time.Minute)).To(BeEmpty())
		stopFleet(fleet)
	})
}

// Guards against two more trials with each verdict that narrows an earlier one down.
func TestNarrowedVerdictInheritsTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newPartStore()
		fleet := store.startFleet(t, 6)
		crashEach(fleet, 5)
		g.Expect(trials(fleet, time.Minute)).To(HaveLen(1))
		fleet[0].succeeds(soundPrompt(1))
		time.Sleep(time.Second)
		verdict, _ := fleet[5].ledger.Refuses(poisonPrompt(9))
		g.Expect(verdict.Parts).To(Equal([]poison.Part{poisonPart}))
		g.Expect(trials(fleet, 10*time.Minute)).To(HaveLen(1))
		stopFleet(fleet)
	})
}

// Guards against a wrong verdict that stays in force after a trial has succeeded.
func TestSuccessfulTrialLiftsTheVerdictEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newPartStore()
		fleet := store.startFleet(t, 300)
		fleet[0].succeeds(soundPrompt(1))
		crashEach(fleet, 5)
		stopFleet(fleet)
		fleet = store.startFleet(t, 300)
		g.Expect(trials(fleet, 35*time.Second)).NotTo(BeEmpty())
		fleet[200].succeeds(poisonPrompt(9))
		time.Sleep(time.Second)
		expectRefusedBy(g, fleet, 0, "lifted")
		time.Sleep(30 * time.Minute)
		g.Expect(store.keys(partKeyPrefix)).To(BeEmpty())
		stopFleet(fleet)
	})
}

// Guards against a row of another program that lets requests through or ends the process.
func TestInvalidTrialsCostOnlyThemselves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newPartStore()
		fleet := store.startFleet(t, 6)
		fleet[0].succeeds(soundPrompt(1))
		crashEach(fleet, 5)
		for _, i := range fleet {
			i.apply([]discovery.Row{
				{Key: trialKeyPrefix}, {Key: trialKeyPrefix + "-"}, {Key: trialKeyPrefix + "x-1-0", Value: []byte("\x00\xff")},
				{Key: trialKeyPrefix + "x-99999999999999999999-0", Value: []byte(i.writer)}, {Key: trialKeyPrefix + "x", Deleted: true},
			}, false)
		}
		g.Expect(trials(fleet, 10*time.Minute)).To(HaveLen(2))
		stopFleet(fleet)
	})
}
