package notices

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/poison"
	"foxtailhub.example/foxtailhub/internal/pool"
)

// Fleet sizes and the most writes in a second after a return: a part of the store takes 200.
var (
	returnedFleetSizes  = []int{1, 6, 300}
	mostReturningWrites = 100
)

func forFleetSizes(t *testing.T, test func(t *testing.T, g Gomega, store *copiedNotices, size int)) {
	for _, size := range returnedFleetSizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, NewWithT(t), newCopiedNotices(t), size) })
		})
	}
}

func (s *copiedNotices) expectFewWrites(g Gomega, most int) {
	total, inSecond := s.writesSinceReturn()
	s.t.Log("writes since the return: ", total, " most in a second: ", inSecond)
	g.Expect(total).To(BeNumerically("<=", most))
	g.Expect(inSecond).To(BeNumerically("<=", mostReturningWrites))
}

// everyTenth checks each tenth of a second through some time.
func everyTenth(duration time.Duration, check func(since time.Duration)) {
	for began := time.Now(); time.Since(began) < duration; time.Sleep(100 * time.Millisecond) {
		check(time.Since(began))
	}
}

// Guards against a request rate that ends at all instances because a copy of the store lacks its
// notice, and against one that nobody writes again.
func TestRequestRateOutlastsAReturnThatLosesItsNotice(t *testing.T) {
	forFleetSizes(t, func(t *testing.T, g Gomega, store *copiedNotices, size int) {
		fleet := store.startNoticesFleet(size, ratedUpstream)
		fleet[0].respond(stated(3))
		time.Sleep(10 * time.Second)
		store.restore(nil)
		everyTenth(time.Minute, func(since time.Duration) {
			for _, i := range fleet {
				g.Expect(i.statedRate()).To(Equal(3.0), "after %s", since)
			}
		})
		g.Expect(store.count(rateKeyPrefix)).To(Equal(1))
		store.expectFewWrites(g, 20)
		g.Expect(store.startAndRead(ratedUpstream).statedRate()).To(Equal(3.0), "started after it")
	})
}

// Guards against request rates and verdicts that end, and evidence that nobody writes again, because
// the store was away again before the instances could write the notices that it had lost.
func TestNoticesOutlastOutageRightAfterAReturn(t *testing.T) {
	for _, away := range []time.Duration{10 * time.Second, settleTime, 40 * time.Second, 90 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			forFleetSizes(t, func(t *testing.T, g Gomega, store *copiedNotices, size int) {
				fleet := store.startNoticesFleet(size, ratedUpstream)
				fleet[0].respond(stated(3))
				store.convict(fleet)
				g.Expect(poisonRefusals(fleet)).To(Equal(size))
				store.setReadOnly(true)
				store.restore(nil)
				time.Sleep(copiedReturnDelay + copiedReadDelay)
				store.setDown(true)
				time.AfterFunc(away, func() {
					store.setReadOnly(false)
					store.forgetWrites()
					store.setDown(false)
				})
				everyTenth(away+time.Minute, func(since time.Duration) {
					for _, i := range fleet {
						g.Expect(i.statedRate()).To(Equal(3.0), "after %s", since)
					}
					g.Expect(poisonRefusals(fleet)).To(Equal(size), "after %s", since)
				})
				g.Expect(store.count(rateKeyPrefix)).To(Equal(1))
				g.Expect(store.count(verdictKeyPrefix)).To(Equal(1))
				g.Expect(store.count(evidenceKeyPrefix)).NotTo(BeZero())
				total, most := store.writesSinceReturn()
				t.Log("writes since the outage: ", total, " most in a second: ", most)
				g.Expect(most).To(BeNumerically("<=", mostReturningWrites))
			})
		})
	}
}

// startAndRead starts an instance that has read the store.
func (s *copiedNotices) startAndRead(upstreams ...pool.Upstream) *noticesInstance {
	i := s.startNotices("started", upstreams...)
	time.Sleep(time.Second)
	return i
}

// Guards against a request rate that rises because a copy of the store has an older notice.
func TestOlderNoticeInACopyDoesNotRaiseARequestRate(t *testing.T) {
	forFleetSizes(t, func(t *testing.T, g Gomega, store *copiedNotices, size int) {
		fleet := store.startNoticesFleet(size, ratedUpstream)
		fleet[0].respond(stated(10))
		time.Sleep(5 * time.Second)
		copied := store.copyRows()
		fleet[0].respond(stated(2))
		time.Sleep(5 * time.Second)
		store.restore(copied)
		everyTenth(20*time.Second, func(since time.Duration) {
			for _, i := range fleet {
				g.Expect(i.statedRate()).To(Equal(2.0), "after %s", since)
			}
		})
		store.expectFewWrites(g, 20)
		g.Expect(store.startAndRead(ratedUpstream).statedRate()).To(Equal(2.0))
	})
}

// Guards against a request rate that is kept for good although nobody writes its notice again,
// and against a lower one in the copy, which may be newer, that is not applied.
func TestRequestRateOfAReturnedStoreEndsWithTheNextResponses(t *testing.T) {
	forFleetSizes(t, func(t *testing.T, g Gomega, store *copiedNotices, size int) {
		fleet := store.startNoticesFleet(size, ratedUpstream)
		fleet[0].respond(stated(2))
		time.Sleep(5 * time.Second)
		copied := store.copyRows()
		fleet[0].respond(stated(10))
		time.Sleep(5 * time.Second)
		store.restore(copied)
		time.Sleep(5 * time.Second)
		for _, i := range fleet {
			g.Expect(i.statedRate()).To(Equal(2.0))
		}
		fleet[0].respond(stated(10))
		time.Sleep(5 * time.Second)
		fleet[0].respond(pool.RequestRate{})
		time.Sleep(5 * time.Second)
		store.restore(copied)
		time.Sleep(5 * time.Second)
		fleet[0].respond(pool.RequestRate{})
		time.Sleep(5 * time.Second)
		for _, i := range fleet {
			g.Expect(i.statedRate()).To(Equal(-1.0))
		}
		g.Expect(store.count(rateKeyPrefix)).To(BeZero())
	})
}

// Guards against crashes that count again, which would keep content from upstreams for longer,
// because a copy shows their removed notices or their writer writes lost ones again.
func TestCrashOfAReturnedStoreIsNotANewOne(t *testing.T) {
	forFleetSizes(t, func(t *testing.T, g Gomega, store *copiedNotices, size int) {
		fleet := store.startNoticesFleet(size)
		for n := range 3 {
			fleet[n*size/3].crashes.ShareCrash(poison.RequestCrash{Content: "content", Process: fmt.Sprint(n)})
		}
		time.Sleep(10 * time.Second)
		quarantining := func() (n int) {
			for _, i := range fleet {
				if i.crashes.quarantine.Contains(time.Now(), "content") {
					n++
				}
			}
			return n
		}
		store.restore(nil)
		time.Sleep(10 * time.Second)
		g.Expect(quarantining()).To(Equal(size))
		g.Expect(store.count("content")).To(Equal(3), "written again")
		store.expectFewWrites(g, 3)
		g.Expect(store.startAndRead().crashes.quarantine.Contains(time.Now(), "content")).To(BeTrue())

		time.Sleep(poison.QuarantineIdle - time.Minute)
		copied := store.copyRows()
		g.Expect(copied).To(HaveLen(3), "quarantined contents keep their rows")
		time.Sleep(poison.QuarantineDuration + time.Minute)
		g.Expect(quarantining()).To(BeZero())
		g.Expect(store.count("content")).To(BeZero())
		store.restore(copied)
		time.Sleep(10 * time.Second)
		g.Expect(quarantining()).To(BeZero())
		g.Expect(store.count("content")).To(BeZero(), "removed again")
		store.expectFewWrites(g, 3)
	})
}

func poisonRefusals(fleet []*noticesInstance) (n int) {
	for _, i := range fleet {
		if i.refuses(poisonPrompt(99)) {
			n++
		}
	}
	return n
}

// convict lets the instances see five crashes of the poison part.
func (s *copiedNotices) convict(fleet []*noticesInstance) {
	fleet[0].succeeds(soundPrompt(1))
	for n := range 5 {
		fleet[n*len(fleet)/5].sees(n, poisonPrompt(n))
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
}

// Guards against verdicts that end because a copy lacks them, against evidence that is lost with the
// store, and against writes of all instances at once.
func TestVerdictsAndEvidenceOutlastAReturn(t *testing.T) {
	forFleetSizes(t, func(t *testing.T, g Gomega, store *copiedNotices, size int) {
		fleet := store.startNoticesFleet(size)
		store.convict(fleet)
		g.Expect(poisonRefusals(fleet)).To(Equal(size))
		store.restore(nil)
		everyTenth(20*time.Second, func(since time.Duration) {
			g.Expect(poisonRefusals(fleet)).To(Equal(size), "after %s", since)
		})
		store.expectFewWrites(g, 30)
		g.Expect(store.count(verdictKeyPrefix)).To(Equal(1))
		g.Expect(store.count(evidenceKeyPrefix)).To(BeNumerically(">=", min(size, 5)), "of the instances that have seen the crashes")
		g.Expect(store.startAndRead().refuses(poisonPrompt(99))).To(BeTrue())
	})
}

// Guards against four of five crashes that are lost with the store, so that an instance that starts
// after its return needs five others.
func TestEvidenceIsWrittenAgainWithTheAgesThatItHas(t *testing.T) {
	forFleetSizes(t, func(t *testing.T, g Gomega, store *copiedNotices, size int) {
		fleet := store.startNoticesFleet(size)
		for n := range 4 {
			fleet[n*size/5].sees(n, poisonPrompt(n))
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		store.restore(nil)
		time.Sleep(20 * time.Second)
		started := store.startAndRead()
		started.sees(4, poisonPrompt(4))
		time.Sleep(2 * time.Second)
		g.Expect(poisonRefusals(append(fleet, started))).To(Equal(size + 1))

		// The crashes are not younger than they were.
		g.Expect(store.count(evidenceKeyPrefix)).NotTo(BeZero())
		time.Sleep(crashLifetime)
		late := store.startAndRead()
		late.sees(5, poisonPrompt(5))
		g.Expect(late.ledger.Verdicts()).To(HaveLen(1), "the verdict, not a new conviction")
	})
}

// Guards against a lifted verdict, or one whose row was removed, that is in force again because a
// copy shows it in force.
func TestVerdictThatHasEndedStaysEndedAfterAReturn(t *testing.T) {
	forFleetSizes(t, func(t *testing.T, g Gomega, store *copiedNotices, size int) {
		fleet := store.startNoticesFleet(size)
		store.convict(fleet)
		copied := store.copyRows()
		fleet[0].succeeds(poisonPrompt(98))
		time.Sleep(2 * time.Second)
		g.Expect(poisonRefusals(fleet)).To(BeZero(), "lifted")
		store.restore(copied)
		everyTenth(20*time.Second, func(since time.Duration) {
			g.Expect(poisonRefusals(fleet)).To(BeZero(), "after %s", since)
		})
		for key, value := range store.copyRows() {
			if strings.HasPrefix(key, verdictKeyPrefix) {
				g.Expect(string(value)).To(ContainSubstring(`"lifted":true`), key)
			}
		}
		g.Expect(store.startAndRead().refuses(poisonPrompt(99))).To(BeFalse())
		store.expectFewWrites(g, 30)
	})
}

// Guards against a verdict that has expired and refuses again because a copy has its row.
func TestExpiredVerdictInACopyIsRemovedAgain(t *testing.T) {
	forFleetSizes(t, func(t *testing.T, g Gomega, store *copiedNotices, size int) {
		fleet := store.startNoticesFleet(size)
		store.convict(fleet)
		time.Sleep(verdictLifetime - 5*time.Second)
		copied := store.copyRows()
		g.Expect(store.count(verdictKeyPrefix)).To(Equal(1))
		for store.count(verdictKeyPrefix) > 0 {
			copied = store.copyRows()
			time.Sleep(time.Second)
		}
		time.Sleep(time.Second)
		store.restore(copied)
		everyTenth(10*time.Second, func(since time.Duration) {
			for _, i := range fleet {
				_, refused := i.ledger.Refuses(poisonPrompt(99))
				g.Expect(refused).To(BeFalse(), "after %s", since)
			}
		})
		time.Sleep(2 * verdictLifetime)
		g.Expect(store.count(partKeyPrefix)).To(BeZero())
	})
}

// Guards against rows that nobody writes again because they were lost with the store before the
// responses to their writes arrived.
func TestNoticesThatAreLostBeforeTheirResponsesAreWrittenAgain(t *testing.T) {
	forFleetSizes(t, func(t *testing.T, g Gomega, store *copiedNotices, size int) {
		fleet := store.startNoticesFleet(size, ratedUpstream)
		copied := store.copyRows()
		store.setResponseDelay(1200 * time.Millisecond)
		fleet[0].sees(1, poisonPrompt(1))
		fleet[0].respond(stated(3))
		time.Sleep(100 * time.Millisecond)
		store.restore(copied)
		time.Sleep(1050 * time.Millisecond)
		store.setResponseDelay(0)
		time.Sleep(5 * time.Second)
		fleet[0].respond(stated(3))
		time.Sleep(5 * time.Second)
		g.Expect(store.count(evidenceKeyPrefix)).NotTo(BeZero())
		g.Expect(store.count(rateKeyPrefix)).To(Equal(1))
		store.convict(fleet)
		g.Expect(store.count(verdictKeyPrefix)).To(Equal(1))
	})
}

// Guards against a third trial of a verdict because the claim of one was lost with the store.
func TestClaimOfATrialIsWrittenAgain(t *testing.T) {
	forFleetSizes(t, func(t *testing.T, g Gomega, store *copiedNotices, size int) {
		fleet := store.startNoticesFleet(size)
		store.convict(fleet)
		trials := 0
		useFor := func(duration time.Duration) {
			for began := time.Now(); time.Since(began) < duration; time.Sleep(time.Second) {
				for _, i := range fleet {
					if verdict, refused := i.ledger.Refuses(poisonPrompt(99)); refused {
						i.Refused(verdict)
						if i.ClaimTrial(verdict) {
							trials++
						}
					}
				}
			}
		}
		useFor(time.Minute)
		g.Expect(trials).To(Equal(1))
		copied := store.copyRows()
		for key := range copied {
			if strings.HasPrefix(key, trialKeyPrefix) {
				delete(copied, key)
			}
		}
		store.restore(copied)
		useFor(time.Minute)
		g.Expect(store.count(trialKeyPrefix)).To(Equal(1))
		g.Expect(trials).To(Equal(1))
		useFor(15 * time.Minute)
		g.Expect(trials).To(Equal(2))
	})
}

// Guards against a crash that each started instance counts because a copy shows its removed notice and
// its writer has ended since.
func TestCrashOfAnEndedWriterInACopyIsRemovedByOthers(t *testing.T) {
	forFleetSizes(t, func(t *testing.T, g Gomega, store *copiedNotices, size int) {
		fleet := store.startNoticesFleet(size + 1)
		fleet[size].crashes.ShareCrash(poison.RequestCrash{Content: "content", Process: "u"})
		time.Sleep(poison.QuarantineDuration - time.Second)
		copied := store.copyRows()
		g.Expect(store.count("content")).To(Equal(1))
		time.Sleep(2 * time.Second)
		g.Expect(store.count("content")).To(BeZero())
		fleet[size].stop()
		store.restore(copied)
		time.Sleep(time.Minute)
		g.Expect(store.count("content")).To(Equal(1))
		time.Sleep(foreignRowLifetime + foreignRowSpread)
		g.Expect(store.count("content")).To(BeZero())
		store.expectFewWrites(g, 20)
	})
}
