package notices

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/poison"
)

// Guards against a part that crashes five upstreams of each instance because the instances do
// not share crashes, and against writes of every instance for each crash.
func TestCrashesOfOnePartAtFiveInstancesConvictItEverywhere(t *testing.T) {
	for _, size := range []int{6, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := newPartStore()
				fleet := store.startFleet(t, size)
				for _, i := range fleet {
					i.succeeds(soundPrompt(1))
				}
				crashEach(fleet, 5)
				expectRefusedBy(g, fleet, size, "after five crashes")
				time.Sleep(time.Minute)
				calls := store.takeCalls()
				t.Log("writes in a minute: ", calls)
				g.Expect(calls["evidence"]).To(BeNumerically("<=", 15), "five crashes and their answers")
				time.Sleep(3 * time.Minute)
				g.Expect(store.keys(evidenceKeyPrefix)).To(BeEmpty(), "expired rows are removed")
				stopFleet(fleet)
			})
		})
	}
}

// Guards against crashes that are lost because the store was away when they happened.
func TestCrashesAreSharedAfterTheStoreReturns(t *testing.T) {
	for _, size := range []int{6, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := newPartStore()
				fleet := store.startFleet(t, size)
				store.setDown(true)
				crashEach(fleet, 5)
				time.Sleep(30 * time.Second)
				expectRefusedBy(g, fleet, 0, "the store is away")
				t.Log("calls in 31.5 s without the store: ", store.takeCalls())
				store.setDown(false)
				time.Sleep(3 * time.Second)
				expectRefusedBy(g, fleet, size, "3 s after its return")
				stopFleet(fleet)
			})
		})
	}
}

// Guards against crashes of one moment that count as several, and several as one, because an
// instance reads them together later.
func TestCrashesThatAreReadTogetherKeepTheirDistance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newPartStore()
		fleet := store.startFleet(t, 6)
		crashEach(fleet, 2)
		time.Sleep(30 * time.Second)
		late := store.start(t, "late")
		time.Sleep(time.Second)
		late.sees(3, poisonPrompt(3))
		g.Expect(late.refuses(poisonPrompt(99))).To(BeTrue(), "three moments")

		other := newPartStore()
		moment := other.startFleet(t, 6)
		for n := range 3 {
			moment[n].sees(n, poisonPrompt(n))
		}
		time.Sleep(30 * time.Second)
		lateMoment := other.start(t, "late")
		time.Sleep(time.Second)
		lateMoment.sees(3, poisonPrompt(3))
		g.Expect(lateMoment.refuses(poisonPrompt(99))).To(BeFalse(), "two moments")
		stopFleet(append(append(fleet, moment...), late, lateMoment))
	})
}

// Guards against evidence of a process that has ended which stays in the store.
func TestRowsOfEndedInstancesAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newPartStore()
		fleet := store.startFleet(t, 300)
		crashEach(fleet, 1)
		stopFleet(fleet[:1])
		time.Sleep(foreignRowLifetime - time.Minute)
		g.Expect(store.keys(evidenceKeyPrefix)).To(HaveLen(1))
		store.takeCalls()
		time.Sleep(foreignRowSpread + time.Minute)
		g.Expect(store.keys(evidenceKeyPrefix)).To(BeEmpty())
		g.Expect(store.takeCalls()["removal"]).To(BeNumerically("<=", 5), "by few instances")
		stopFleet(fleet[1:])
	})
}

// Guards against a burst of crashes that costs a write each, or rows beyond the store's limit.
func TestManyCrashesMakeFewWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newPartStore()
		fleet := store.startFleet(t, 1)
		for n := range 1000 {
			var long poison.Prompt
			for p := range 2 * maxPromptParts {
				long = append(long, poison.Part(1<<63+uint64(n*1000+p)))
			}
			fleet[0].ShareCrash(poison.Crash{UpstreamID: fmt.Sprint("u", n/100), FailureDomain: "d", Prompts: []poison.Prompt{long}, At: time.Now()})
		}
		time.Sleep(20 * time.Second)
		g.Expect(store.takeCalls()["evidence"]).To(BeNumerically("<=", maxEvidenceRows))
		shared := 0
		for _, key := range store.keys(evidenceKeyPrefix) {
			value := store.value(key)
			g.Expect(len(value)).To(BeNumerically("<", 64<<10))
			row, err := decodeEvidence(time.Now(), value)
			g.Expect(err).NotTo(HaveOccurred())
			for _, crash := range row.crashes {
				shared += len(crash.Prompts)
			}
		}
		g.Expect(shared).To(Equal(maxPendingCrashes))
		time.Sleep(10 * time.Minute)
		g.Expect(store.keys(evidenceKeyPrefix)).To(BeEmpty())
		stopFleet(fleet)
	})
}

// Guards against a row of another program that ends the process, is applied, or hides others.
func TestInvalidEvidenceCostsOnlyItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newPartStore()
		fleet := store.startFleet(t, 2)
		now := time.Now()
		crash := func(change string) string {
			return `{"crashes":[{"upstream":"u","failure_domain":"d","age_ms":1,"prompts":[["bad"]]` + change + `}]}`
		}
		_, err := decodeEvidence(now, []byte(crash("")))
		g.Expect(err).NotTo(HaveOccurred())
		many := func(text string, n int) string { return strings.TrimSuffix(strings.Repeat(text+",", n), ",") }
		parts := ""
		for n := range maxPromptParts + 1 {
			parts += fmt.Sprintf(`"%x",`, n)
		}
		invalid := []string{
			"", "null1", "[]", `"x"`, "\x00\xff\xfe", strings.Repeat("[", 2_000_000), strings.Repeat(`{"crashes":`, 100_000), `{"crashes":1}`, `{"crashes":[[]]}`, `{"crashes":[null]}`,
			crash(`,"age_ms":-1`), crash(`,"age_ms":1e999`), crash(`,"age_ms":99999999999999999999`), crash(`,"age_ms":"1"`), crash(`,"upstream":""`),
			crash(`,"upstream":"` + strings.Repeat("u", maxUpstreamID+1) + `"`), crash(`,"failure_domain":"` + strings.Repeat("d", maxFailureDomainLength+1) + `"`),
			crash(`,"prompts":[]`), crash(`,"prompts":null`), crash(`,"prompts":[["bad","bad"]]`), crash(`,"prompts":[["x"]]`), crash(`,"prompts":[["-1"]]`), crash(`,"prompts":[["11111111111111111"]]`),
			crash(`,"prompts":[[7]]`), crash(`,"prompts":[[` + strings.TrimSuffix(parts, ",") + `]]`), crash(`,"prompts":[` + many(`["bad"]`, maxRowParts+1) + `]`),
			`{"crashes":[` + many(`{"upstream":"u","prompts":[["bad"]]}`, maxRowCrashes+1) + `]}`,
			`{"successes_age_ms":{"x":1}}`, `{"successes_age_ms":{"bad":-1}}`, `{"successes_age_ms":[]}`, `{"known_crashes_age_ms":{"":1}}`, `{"known_crashes_age_ms":{"u":-1}}`,
		}
		var rows []discovery.Row
		for n, value := range invalid {
			_, err := decodeEvidence(now, []byte(value))
			g.Expect(err).To(HaveOccurred(), "%.100s", value)
			rows = append(rows, discovery.Row{Key: fmt.Sprint(evidenceKeyPrefix, "other-", n), Value: []byte(value)})
		}
		rows = append(rows, discovery.Row{Key: partKeyPrefix}, discovery.Row{Key: partKeyPrefix + "other/"}, discovery.Row{Key: evidenceKeyPrefix})
		fleet[0].apply(rows, false)
		crashEach(fleet, 3)
		expectRefusedBy(g, fleet, 2, "sound rows beside invalid ones")
		stopFleet(fleet)
	})
}
