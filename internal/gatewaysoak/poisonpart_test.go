//go:build e2e

package gatewaysoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
	"foxtailhub.example/foxtailhub/internal/testfleet"
)

const (
	// contact is the time after which gateways must know what others know.
	contact = 3 * time.Second
	// crashesUntilKnown is the number of crashes by a part after which it must be known, and
	// requestsAllowed is how many requests with it may reach servers later than contact
	// after that.
	crashesUntilKnown = 5
	requestsAllowed   = 3
	// soundMinimum is the number of sound requests, before and after, that a comparison requires.
	soundMinimum = 20
)

// poisonSeeds are the seeds of TestPoisonPartReachesFewServers.
var poisonSeeds = []uint64{1, 2}

// poisonPlan is the load of one seed.
type poisonPlan struct {
	parts    []string // IDs of the poison parts, each in requests of its own
	route    string   // of the sound requests too
	first    bool     // the poison part comes first in the prompt
	topics   int      // parts between the system prompt and the own part, which sound requests share
	gateways int
	interval time.Duration // between two requests with one poison part
}

func newPoisonPlan(rng *rand.Rand) poisonPlan {
	p := poisonPlan{first: rng.IntN(3) == 0, topics: 1 + rng.IntN(4), gateways: []int{3, 6, 9}[rng.IntN(3)]}
	for n := range 1 + rng.IntN(2) {
		p.parts = append(p.parts, fmt.Sprintf("%s-%d", emulator.PoisonPartPrefix, n))
	}
	p.interval = time.Duration(100+rng.IntN(300)) * time.Millisecond
	p.route = streamRoutes[rng.IntN(len(streamRoutes))]
	return p
}

// prompt returns the parts of a prompt with a poison part, without its last part. With an
// empty poison part, it returns those of a sound one.
func (p poisonPlan) prompt(poison string, topic int) []emulator.PromptPart {
	parts := []emulator.PromptPart{{ID: "system", Tokens: 400}, {ID: fmt.Sprint("topic-", topic), Tokens: 100}}
	if poison == "" {
		return parts
	}
	at := 1
	if p.first {
		at = 0
	}
	return slices.Insert(parts, at, emulator.PromptPart{ID: poison, Tokens: 100})
}

// soundRequest is when a sound request was sent and whether its first attempt began to answer.
type soundRequest struct {
	sentAt time.Time
	began  bool
}

// Guards against requests with one poison part, no two alike, that crash one server after
// another, and against gateways that refuse the sound requests with their other parts.
func TestPoisonPartReachesFewServers(t *testing.T) {
	for _, seed := range selectSeeds(poisonSeeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, seed))
			plan := newPoisonPlan(rng)
			h := newHarnessWith(t, testfleet.Options{
				EnginesPerDomain: 4, Gateways: plan.gateways, GatewayDomains: 2, WorkDuration: 300 * time.Millisecond,
			})
			const before, during = 4 * time.Second, 16 * time.Second
			ctx, cancel := context.WithTimeout(t.Context(), before+during)
			defer cancel()
			rec := newRecorder()
			var running sync.WaitGroup
			running.Go(func() { h.restartCrashedEngines(ctx) })
			var mu sync.Mutex // guards sound
			var sound []soundRequest
			for c := range 12 {
				running.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						sentAt := time.Now()
						result := h.StreamWith(context.Background(), testfleet.StreamSpec{
							ID: fmt.Sprintf("sound-%d-%d", c, n), Route: plan.route, Events: 20, Parts: plan.prompt("", n%plan.topics), Attempts: 4,
						})
						if result.Violation != "" {
							rec.violation("%s", result.Violation)
						}
						rec.count(fmt.Sprintf("sound complete=%t", result.Complete))
						mu.Lock()
						sound = append(sound, soundRequest{sentAt, result.BeganAtOnce})
						mu.Unlock()
					}
				})
			}
			sleep(ctx, before)
			poisonBegan := time.Now()
			for _, part := range plan.parts {
				running.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						running.Go(func() {
							result := h.StreamWith(context.Background(), testfleet.StreamSpec{
								ID: fmt.Sprintf("%s-%d", part, n), Route: plan.route, Events: 20, Parts: plan.prompt(part, n%plan.topics), Attempts: 2,
							})
							for _, a := range result.FailedAttempts {
								rec.count("poison " + a.Outcome)
							}
						})
						sleep(ctx, plan.interval)
					}
				})
			}
			running.Wait()
			knownAt := h.checkPoisonArrivals(rec, plan)
			checkSoundRequests(rec, sound, poisonBegan, knownAt)
			t.Logf("seed %d, %+v: %v", seed, plan, rec.counts)
			h.expectNoViolations(rec)
		})
	}
}

// restartCrashedEngines starts each engine that has exited again after some seconds, until ctx ends.
func (h *harness) restartCrashedEngines(ctx context.Context) {
	var engines sync.WaitGroup
	defer engines.Wait()
	for _, n := range h.Engines {
		engines.Go(func() {
			for {
				select {
				case <-n.Process().Exited():
				case <-ctx.Done():
					return
				}
				sleep(ctx, 2*time.Second)
				if err := n.Restart(); err != nil {
					h.t.Errorf("restart %s: %v", n.Name, err)
					return
				}
			}
		})
	}
}

var poisonLine = regexp.MustCompile(`(?m)^(arrived|crashed) request=(\S+) server=\S+ at_us=(\d+)$`)

// checkPoisonArrivals checks how many requests with each poison part reached servers after
// it had to be known. It returns the time of the crash after which the last part was known.
func (h *harness) checkPoisonArrivals(rec *recorder, plan poisonPlan) (knownAt time.Time) {
	times := map[string][]time.Time{} // by event and poison part
	for _, n := range h.Engines {
		log, err := os.ReadFile(filepath.Join(h.Dir, n.Name+".log"))
		h.g.Expect(err).NotTo(HaveOccurred())
		for _, match := range poisonLine.FindAllStringSubmatch(string(log), -1) {
			us, err := strconv.ParseInt(match[3], 10, 64)
			h.g.Expect(err).NotTo(HaveOccurred())
			for _, part := range plan.parts {
				if strings.HasPrefix(match[2], part+"-") {
					times[match[1]+part] = append(times[match[1]+part], time.UnixMicro(us))
				}
			}
		}
	}
	for _, part := range plan.parts {
		crashes := times["crashed"+part]
		slices.SortFunc(crashes, time.Time.Compare)
		h.t.Logf("%s: %d crashes, %d requests reached servers", part, len(crashes), len(times["arrived"+part]))
		if len(crashes) == 0 {
			rec.violation("no crash by %s", part)
			continue
		}
		at := crashes[min(len(crashes), crashesUntilKnown)-1]
		if at.After(knownAt) {
			knownAt = at
		}
		if len(crashes) < crashesUntilKnown {
			continue
		}
		late := 0
		for _, arrived := range times["arrived"+part] {
			if arrived.After(at.Add(contact)) {
				late++
			}
		}
		if late > requestsAllowed {
			rec.violation("%d requests with %s reached servers later than %v after its fifth crash, %d crashes in all", late, part, contact, len(crashes))
		}
	}
	return knownAt
}

// checkSoundRequests checks that sound requests begin at the first attempt at least half as
// often after the poison parts had to be known as before.
func checkSoundRequests(rec *recorder, sound []soundRequest, poisonBegan, knownAt time.Time) {
	share := func(from, to time.Time) (begun float64, count int) {
		for _, r := range sound {
			if !r.sentAt.Before(from) && r.sentAt.Before(to) {
				count++
				if r.began {
					begun++
				}
			}
		}
		return begun / float64(max(count, 1)), count
	}
	beforeShare, beforeCount := share(time.Time{}, poisonBegan)
	afterShare, afterCount := share(knownAt.Add(2*contact), time.Now())
	rec.count(fmt.Sprintf("sound began at once: %.2f of %d before, %.2f of %d after", beforeShare, beforeCount, afterShare, afterCount))
	if beforeCount < soundMinimum || afterCount < soundMinimum {
		rec.violation("too few sound requests to compare: %d and %d", beforeCount, afterCount)
	} else if afterShare < beforeShare/2 {
		rec.violation("sound requests begin at the first attempt in %.2f of %d cases, %.2f of %d before", afterShare, afterCount, beforeShare, beforeCount)
	}
}
